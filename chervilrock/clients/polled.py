"""Polling clients of model engines and of the host list."""

import sys
from typing import TypedDict

import msgspec
from returns.result import Result

from chervilrock.clients.base import HostListSource
from chervilrock.clients.errors import PlatformError
from chervilrock.clients.http import (
    DEFAULT_ENGINE_TIMEOUT_S,
    DEFAULT_TIMEOUT_S,
    HttpModelEngine,
    MAX_ENGINE_BYTES,
    MAX_LIST_BYTES,
)
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.polling import Poller
from chervilrock.decisions.decoding import Decoder
from chervilrock.generated.interfaces import (
    EngineLoad,
    EngineState,
    HostEntry,
    HostList,
    ServiceEntry,
)

_STATE_DECODER = Decoder(EngineState)
_LOAD_DECODER = Decoder(EngineLoad)
_HOST_DECODER = Decoder(HostEntry)


class _HostRegion(TypedDict):
    """The field of a host entry that holds its region."""

    region: str


class _RawHostList(TypedDict):
    """A host list with undecoded host entries."""

    hosts: tuple[msgspec.Raw, ...]
    services: tuple[ServiceEntry, ...]
    age_ms: int


_REGION_DECODER = Decoder(_HostRegion)
_RAW_HOST_LIST_DECODER = Decoder(_RawHostList)


class PolledModelEngine(HttpModelEngine):
    """Client of model engines that polls their states and loads.

    An unchanged state is returned as the same object as before.
    """

    def __init__(
        self,
        *,
        http: HttpClient,
        poller: Poller,
        timeout_s: float = DEFAULT_ENGINE_TIMEOUT_S,
    ) -> None:
        """Create a client.

        Args:
          http: client for all requests except the state and the load
          poller: client for the state and the load
          timeout_s: timeout of a request in seconds
        """
        super().__init__(http=http, timeout_s=timeout_s)
        self._poller = poller

    async def read_state(
        self, address: str
    ) -> Result[EngineState, PlatformError]:
        """See base class."""
        url = f"http://{address}/control/state"
        return await self._poller.poll(
            url, _STATE_DECODER, self._timeout_s, max_bytes=MAX_ENGINE_BYTES
        )

    async def read_load(
        self, address: str
    ) -> Result[EngineLoad, PlatformError]:
        """See base class."""
        url = f"http://{address}/control/load"
        return await self._poller.poll(
            url, _LOAD_DECODER, self._timeout_s, max_bytes=MAX_ENGINE_BYTES
        )


class RegionHostDecoder:
    """Decodes a host list and keeps only the hosts of one region.

    The list holds the hosts of all regions, and a node needs only its own.
    """

    def __init__(self, *, region: str) -> None:
        """Create a decoder for the hosts of a region."""
        self._region = region

    def decode(self, body: bytes, /) -> HostList:
        """Return the list with only the hosts of the region.

        Raises:
          UnreadableError: the body is not a valid host list.
        """
        raw_list = _RAW_HOST_LIST_DECODER.decode(body)
        return HostList(
            hosts=tuple(
                _share_strings(_HOST_DECODER.decode(raw))
                for raw in raw_list["hosts"]
                if _REGION_DECODER.decode(raw)["region"] == self._region
            ),
            services=raw_list["services"],
            age_ms=raw_list["age_ms"],
        )


def _share_strings(entry: HostEntry) -> HostEntry:
    """Intern the strings of a host, which are common to many hosts."""
    entry["host"] = sys.intern(entry["host"])
    entry["data_centre"] = sys.intern(entry["data_centre"])
    entry["domain"] = sys.intern(entry["domain"])
    entry["region"] = sys.intern(entry["region"])
    return entry


class PolledHostListSource(HostListSource):
    """Client of the host list, for the hosts of one region.

    An unchanged list is returned as the same object as before.
    """

    def __init__(
        self,
        *,
        poller: Poller,
        address: str,
        region: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Create a client.

        Args:
          poller: client that sends the requests
          address: IP:port of the host list
          region: region whose hosts are returned
          timeout_s: timeout of a request in seconds
        """
        self._poller = poller
        self._url = f"http://{address}/hosts"
        self._decoder = RegionHostDecoder(region=region)
        self._timeout_s = timeout_s

    async def fetch(self) -> Result[HostList, PlatformError]:
        """See base class."""
        return await self._poller.poll(
            self._url,
            self._decoder,
            self._timeout_s,
            max_bytes=MAX_LIST_BYTES,
        )

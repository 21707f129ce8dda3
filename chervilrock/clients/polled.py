"""Clients of model engines and of the host list that poll."""

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
)
from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.polling import Poller
from chervilrock.generated.interfaces import (
    EngineLoad,
    EngineState,
    HostEntry,
    HostList,
    ServiceEntry,
)

_STATE_DECODER = msgspec.json.Decoder(EngineState)
_LOAD_DECODER = msgspec.json.Decoder(EngineLoad)
_HOST_DECODER = msgspec.json.Decoder(HostEntry)


class _Region(TypedDict):
    """What tells whether a host is of a region."""

    region: str


class _RawHostList(TypedDict):
    """A host list whose hosts are not decoded yet."""

    hosts: tuple[msgspec.Raw, ...]
    services: tuple[ServiceEntry, ...]
    age_ms: int


_REGION_DECODER = msgspec.json.Decoder(_Region)
_RAW_HOST_LIST_DECODER = msgspec.json.Decoder(_RawHostList)


class PolledModelEngine(HttpModelEngine):
    """Client of model engines whose states and loads are read all the time.

    A state that has not changed is the very same value as before.
    """

    def __init__(
        self,
        *,
        http: HttpClient,
        poller: Poller,
        timeout_s: float = DEFAULT_ENGINE_TIMEOUT_S,
    ) -> None:
        """Make a client.

        Args:
          http: client for all but the state and the load
          poller: client for these
          timeout_s: longest time for a request in seconds
        """
        super().__init__(http=http, timeout_s=timeout_s)
        self._poller = poller

    async def read_state(
        self, address: str
    ) -> Result[EngineState, PlatformError]:
        """See base class."""
        url = f"http://{address}/control/state"
        return await self._poller.poll(url, _STATE_DECODER, self._timeout_s)

    async def read_load(
        self, address: str
    ) -> Result[EngineLoad, PlatformError]:
        """See base class."""
        url = f"http://{address}/control/load"
        return await self._poller.poll(url, _LOAD_DECODER, self._timeout_s)


class RegionHostDecoder:
    """Decodes the hosts of one region out of a host list.

    The list holds the hosts of all regions, which a node need not keep.
    """

    def __init__(self, *, region: str) -> None:
        """Make a decoder for the hosts of a region."""
        self._region = region

    def decode(self, body: bytes, /) -> HostList:
        """Return the list with the hosts of the region alone.

        Raises:
          msgspec.DecodeError: the body is no host list.
        """
        listed = _RAW_HOST_LIST_DECODER.decode(body)
        return HostList(
            hosts=tuple(
                _share_strings(_HOST_DECODER.decode(raw))
                for raw in listed["hosts"]
                if _REGION_DECODER.decode(raw)["region"] == self._region
            ),
            services=listed["services"],
            age_ms=listed["age_ms"],
        )


def _share_strings(entry: HostEntry) -> HostEntry:
    """Return a host whose strings are the same objects as those of others."""
    entry["host"] = sys.intern(entry["host"])
    entry["data_centre"] = sys.intern(entry["data_centre"])
    entry["domain"] = sys.intern(entry["domain"])
    entry["region"] = sys.intern(entry["region"])
    return entry


class PolledHostListSource(HostListSource):
    """Client of the host list, for the hosts of one region.

    A list that has not changed is the very same value as before.
    """

    def __init__(
        self,
        *,
        poller: Poller,
        address: str,
        region: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Make a client.

        Args:
          poller: client to send the requests with
          address: IP:port of the host list
          region: region whose hosts are wanted
          timeout_s: longest time for a request in seconds
        """
        self._poller = poller
        self._url = f"http://{address}/hosts"
        self._decoder = RegionHostDecoder(region=region)
        self._timeout_s = timeout_s

    async def fetch(self) -> Result[HostList, PlatformError]:
        """See base class."""
        return await self._poller.poll(
            self._url, self._decoder, self._timeout_s
        )

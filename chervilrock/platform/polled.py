"""Clients of model engines and of the host list that poll."""

import msgspec
from returns.result import Result

from chervilrock.generated.interfaces import EngineLoad, EngineState, HostList
from chervilrock.platform.base import HostListSource
from chervilrock.platform.errors import PlatformError
from chervilrock.platform.http import (
    DEFAULT_ENGINE_TIMEOUT_S,
    DEFAULT_TIMEOUT_S,
    HttpModelEngine,
)
from chervilrock.platform.httpclient import HttpClient
from chervilrock.platform.polling import Poller

_STATE_DECODER = msgspec.json.Decoder(EngineState)
_LOAD_DECODER = msgspec.json.Decoder(EngineLoad)
_HOST_LIST_DECODER = msgspec.json.Decoder(HostList)


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


class PolledHostListSource(HostListSource):
    """Client of the host list.

    A list that has not changed is the very same value as before.
    """

    def __init__(
        self,
        *,
        poller: Poller,
        address: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Make a client.

        Args:
          poller: client to send the requests with
          address: IP:port of the host list
          timeout_s: longest time for a request in seconds
        """
        self._poller = poller
        self._url = f"http://{address}/hosts"
        self._timeout_s = timeout_s

    async def fetch(self) -> Result[HostList, PlatformError]:
        """See base class."""
        return await self._poller.poll(
            self._url, _HOST_LIST_DECODER, self._timeout_s
        )

"""Stand-in of a backend server of a plain service."""

import asyncio
from collections import Counter
from typing import NamedTuple

from chervilrock.standin.faults import Faults
from chervilrock.standin.server import (
    REQUEST_ID_HEADER,
    Route,
    StandIn,
    StandInHandler,
)

_MS_PER_S = 1000.0


class ServiceOptions(NamedTuple):
    """Options of a service stand-in.

    Attributes:
      server: server name in its answers.
      latency_ms: time that each call takes.
    """

    server: str = "server-1"
    latency_ms: float = 0.0


class ServiceStandIn(StandIn):
    """A backend server that counts its calls.

    GET and HEAD are idempotent; POST, PUT, PATCH and DELETE are not. All
    are counted.

    Attributes:
      in_flight: calls in progress
      calls: how often each method and path took effect
    """

    def __init__(
        self,
        *,
        options: ServiceOptions | None = None,
        faults: Faults | None = None,
    ) -> None:
        """Creates a backend server that does not listen yet.

        Args:
          options: name and latency.
          faults: faults to inject.
        """
        super().__init__(faults=faults)
        self.options = options or ServiceOptions()
        self.in_flight = 0
        self.calls: Counter[str] = Counter()

    def _list_routes(self) -> list[Route]:
        return [(r"/.*", _CallHandler)]

    def _begin(self) -> None:
        self.in_flight = 0

    def _end(self) -> None:
        pass


class _CallHandler(StandInHandler):
    standin: ServiceStandIn

    async def _run(self) -> None:
        request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        standin = self.standin
        standin.executions[request_id] += 1
        standin.calls[f"{self.request.method} {self.request.path}"] += 1
        standin.in_flight += 1
        try:
            await asyncio.sleep(standin.options.latency_ms / _MS_PER_S)
        finally:
            standin.in_flight -= 1
        self.set_header(REQUEST_ID_HEADER, request_id)
        body = {
            "server": standin.options.server,
            "request_id": request_id,
            "method": self.request.method,
            "uri": self.request.uri,
            "body": self.request.body.decode(errors="replace"),
            "execution": standin.executions[request_id],
        }
        await self.reply_after_effect(200, body)

    get = _run
    head = _run
    post = _run
    put = _run
    patch = _run
    delete = _run

"""Servers that ask for pauses or leave, and checks that nodes obey them.

A node is identified by the requests that its callers sent to it, since the
servers of a run see all nodes at the same IP address.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
import random
import re
from typing import NamedTuple

from chervilrock.standin.site.servers import (
    Arrival,
    ServerFault,
    SiteServer,
)
from chervilrock.standin.site.site import PLAIN_SERVICE

GRACE_S = 0.5
"""Time after a rejection for requests that are on their way to the server."""

ALLOWED_IN_PAUSE = 2
"""Requests of one node that may reach a server during the rest of a pause."""

DRAIN_S = 2.0
"""Time after an answer of a leaving server was passed on to a caller; requests
that callers send later must not reach the server from the same node."""

LINK_SETTLE_S = 3.0
"""Time after a disturbance of a link until its packets are no longer late."""

LONG_PAUSE = "86400"
ODD_PAUSES = ("0", "-1", "soon", "nan", "1e9", LONG_PAUSE)
"""Pauses other than a few seconds, most of them no valid time."""

_DECIMAL = re.compile(r"\d+(\.\d+)?", re.ASCII)
_LEAVING_HEADER = "Server-Leaving"
_LEAVING = "1"
_STAMP_HEADER = "X-Server-Stamp"

IsDisturbed = Callable[[str, SiteServer, float, float], bool]
"""Returns whether a node, or its link to a server, was disturbed in the time
from the third argument to the fourth."""


class _Sent(NamedTuple):
    """A request of a caller.

    Attributes:
      node: name of the node that it was sent to.
      time: when it was sent, on the clock of the event loop.
    """

    node: str
    time: float


class CallerSends:
    """What callers sent to nodes, and which leaving servers answered them."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._sent: dict[str, _Sent] = {}
        self._left: dict[tuple[str, str], float] = {}

    def record_sent(self, request_id: str, node: str) -> None:
        """Record that a caller sends a request to a node now."""
        now = asyncio.get_running_loop().time()
        self._sent[request_id] = _Sent(node, now)

    def record_answer(
        self, request_id: str, headers: Mapping[str, str]
    ) -> None:
        """Record the answer that a caller received now."""
        stamp = headers.get(_STAMP_HEADER, "")
        if headers.get(_LEAVING_HEADER) != _LEAVING or not stamp:
            return
        server = stamp.partition(".")[0]
        key = (self._sent[request_id].node, server)
        self._left.setdefault(key, asyncio.get_running_loop().time())

    def find(self, request_id: str) -> _Sent | None:
        """Return a request of a caller, None if no caller sent it."""
        return self._sent.get(request_id)

    def find_departure(self, node: str, server: str) -> float | None:
        """Return when a node first passed on an answer of a leaving server."""
        return self._left.get((node, server))


def _is_never_disturbed(*_arguments: object) -> bool:
    return False


def find_broken_pauses(
    servers: Iterable[SiteServer],
    sends: CallerSends,
    is_disturbed: IsDisturbed = _is_never_disturbed,
) -> list[str]:
    """Return a description of each pause that a node did not obey.

    Only pauses that are stated as a plain number of seconds are checked.
    """
    broken = []
    for server in servers:
        for rejection in server.rejections:
            asked = rejection.arrival
            sent = sends.find(asked.request_id)
            pause_s = _read_seconds(rejection.pause)
            if sent is None or pause_s is None:
                continue
            begin, end = asked.time + GRACE_S, asked.time + pause_s
            if is_disturbed(sent.node, server, asked.time, end):
                continue
            count = sum(
                begin < arrival.time < end
                for arrival in _list_from_node(server, asked, sent.node, sends)
            )
            if count > ALLOWED_IN_PAUSE:
                broken.append(
                    f"{asked.server} asked {sent.node} for a pause of "
                    f"{pause_s} s at {asked.time:.3f} and got {count} requests"
                )
    return broken


def find_late_arrivals(
    servers: Iterable[SiteServer],
    sends: CallerSends,
    is_disturbed: IsDisturbed = _is_never_disturbed,
) -> list[str]:
    """Return a description of each request that a leaving server got late."""
    late = []
    for server in servers:
        for arrival in server.arrivals:
            sent = sends.find(arrival.request_id)
            if sent is None:
                continue
            left = sends.find_departure(sent.node, arrival.server)
            if left is None or sent.time <= left + DRAIN_S:
                continue
            if not is_disturbed(sent.node, server, left, arrival.time):
                late.append(
                    f"{arrival.server} leaves, and {sent.node} sent it "
                    f"{arrival.request_id} {sent.time - left:.3f} s later"
                )
    return late


def _list_from_node(
    server: SiteServer, asked: Arrival, node: str, sends: CallerSends
) -> list[Arrival]:
    """Return the requests of a node that reached the server that asked it."""
    found = []
    for arrival in server.arrivals:
        sent = sends.find(arrival.request_id)
        is_same = arrival.server == asked.server
        if is_same and sent is not None and sent.node == node:
            found.append(arrival)
    return found


def _read_seconds(pause: str) -> float | None:
    """Return a pause in seconds, None if it is not a plain decimal number."""
    return float(pause) if _DECIMAL.fullmatch(pause) else None


class Disturbances:
    """Restarts and freezes of nodes, and disturbances of links, of a run."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._intervals: dict[object, list[tuple[float, float]]] = {}

    def record(self, subject: object, begin: float, end: float) -> None:
        """Record that a node, or the link to a server, was disturbed.

        Args:
          subject: name of the node, or the server.
          begin: when it began.
          end: when it ended; the same for a restart.
        """
        self._intervals.setdefault(subject, []).append((begin, end))

    def list_intervals(self, subject: object) -> list[tuple[float, float]]:
        """Return when a subject was disturbed, in the order of the begins."""
        return sorted(self._intervals.get(subject, ()))

    def has_node(
        self, node: str, server: SiteServer, begin: float, end: float
    ) -> bool:
        """Return whether a node was disturbed within a time."""
        del server
        return any(
            first <= end and last >= begin
            for first, last in self._intervals.get(node, ())
        )

    def has_any(
        self, node: str, server: SiteServer, begin: float, end: float
    ) -> bool:
        """Return whether a node, or its link to a server, was disturbed."""
        return self.has_node(node, server, begin, end) or any(
            first <= end and last >= begin - LINK_SETTLE_S
            for first, last in self._intervals.get(server, ())
        )


class StatingServers:
    """Lets random servers ask for pauses, or say that they leave."""

    def __init__(self, *, servers: list[SiteServer], seed: int) -> None:
        """Create a run in which no server states anything yet.

        Args:
          servers: all servers of a run.
          seed: seed of the choices, for a generator of their own.
        """
        self._servers = servers
        self._generator = random.Random(f"statements of {seed}")
        self._forever: set[SiteServer] = set()

    async def run(self) -> None:
        """Let servers state something, several at a time, until cancelled."""
        actions = (self._ask, self._ask, self._shed, self._leave)
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._generator.choice(actions)())
                await asyncio.sleep(self._generator.uniform(0.3, 1.5))

    def end(self) -> None:
        """Let no server state anything any more."""
        for server in self._servers:
            server.pause = ""
            server.to_reject = 0
            if server.leaving or server in self._forever:
                server.depart()

    async def _ask(self) -> None:
        """Let servers reject some requests and go on to accept others."""
        for server in self._choose():
            server.pause = self._draw_pause(server)
            server.to_reject = self._generator.randint(1, 6)

    async def _shed(self) -> None:
        """Let servers reject all requests for a while."""
        chosen = self._choose()
        for server in chosen:
            server.pause = f"{self._generator.uniform(0.5, 4.0):.2f}"
            server.fault = ServerFault.FULL
        await asyncio.sleep(self._generator.uniform(0.5, 2.0))
        for server in chosen:
            server.fault = ServerFault.NONE

    async def _leave(self) -> None:
        """Let a server leave, with or without the word of the store."""
        generator = self._generator
        server = generator.choice(self._servers)
        name = server.server
        order = generator.choice(("before", "after", "without"))
        if order == "after":
            server.leave()
            await asyncio.sleep(generator.uniform(0.0, 1.0))
        server.leaving = "1"
        await asyncio.sleep(generator.uniform(0.0, 1.5))
        if order == "before":
            server.leave()
        await asyncio.sleep(generator.uniform(DRAIN_S, DRAIN_S + 2.0))
        if server.server == name:
            server.depart()

    def _choose(self) -> list[SiteServer]:
        """Return one server, several, all plain ones or all heads."""
        generator = self._generator
        match generator.choice(("one", "several", "plain", "heads")):
            case "one":
                return [generator.choice(self._servers)]
            case "several":
                return generator.sample(self._servers, 4)
            case "plain":
                return [
                    server
                    for server in self._servers
                    if server.service == PLAIN_SERVICE
                ]
            case _:
                return [server for server in self._servers if server.is_head]

    def _draw_pause(self, server: SiteServer) -> str:
        """Return a pause, in some cases an odd one."""
        odd = self._generator.choice((*[""] * 12, *ODD_PAUSES))
        if odd == LONG_PAUSE:
            self._forever.add(server)
        return odd or f"{self._generator.uniform(0.3, 4.0):.2f}"

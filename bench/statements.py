"""Checks that nodes obey the pauses and departures that servers state.

A node is identified by the requests that its callers sent to it, since the
servers of a run see all nodes at the same IP address.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from chervilrock.standin.site.servers import Arrival, SiteServer

GRACE_S = 0.5
"""Time after a rejection for requests that are on their way to the server."""

ALLOWED_IN_PAUSE = 2
"""Requests of one node that may reach a server during the rest of a pause."""

DRAIN_S = 2.0
"""Time after an answer of a leaving server was passed on to a caller; requests
that callers send later must not reach the server from the same node."""

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
    """Return a pause in seconds, None if it is not a plain number."""
    try:
        return float(pause)
    except ValueError:
        return None

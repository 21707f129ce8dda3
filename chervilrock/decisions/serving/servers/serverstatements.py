"""What each server last stated of itself, and what this node may send to it.

Servers state limits, pauses and departures in their answers, and the leader
announces which ones warm up. This is the one place where a node keeps them:
`find_wait` is asked when a server is chosen for a request, and `begin_send`
once more right before the request is sent.
"""

from collections.abc import Collection, Iterable
import math
from typing import NamedTuple

from chervilrock.decisions.serving.messages import ServerStatement
from chervilrock.decisions.serving.servers.departures import Departures
from chervilrock.decisions.serving.servers.pauses import ServerPauses
from chervilrock.decisions.serving.servers.serverlimits import (
    LimitChange,
    LimitedServer,
    SendPermit,
    ServerLimits,
)

MAX_ABSENT = 4096
"""Greatest number of pauses, and of departures, that are remembered of servers
that accept no requests. They still count if their server comes back."""


class StatementChange(NamedTuple):
    """What an answer changes in what is known of its server.

    Attributes:
      limit: how the limit changes, None for no change.
      pause_s: seconds until the end of the pause that the answer asks for, 0
        if it asks for none.
      is_departure_new: whether the server says for the first time that it
        leaves.
      has_new_unreadable: whether it states a pause or a departure with a value
        that is not valid and that was not seen of this server before.
    """

    limit: LimitChange | None = None
    pause_s: float = 0.0
    is_departure_new: bool = False
    has_new_unreadable: bool = False


class ServerStatements:
    """The statements of servers that one node has received and applies.

    Attributes:
      limits: rate limits, which bind all nodes together; also those of servers
        that warm up.
      pauses: pauses, which bind the node that was asked.
      departures: servers that leave.
    """

    def __init__(self, *, own: str) -> None:
        """Create a registry for a node that has received no statement.

        Args:
          own: name of this node.
        """
        self.limits = ServerLimits(own=own)
        self.pauses = ServerPauses()
        self.departures = Departures()
        self._unreadable: dict[str, tuple[str, str]] = {}

    def __bool__(self) -> bool:
        return bool(self.limits or self.pauses or self.departures)

    def record(
        self,
        server: str,
        statement: ServerStatement,
        nodes: Iterable[str],
        now: float,
    ) -> StatementChange:
        """Record what an answer states of its server.

        Args:
          server: the server.
          statement: what the answer states.
          nodes: names of the nodes that accept callers; only read when a limit
            is stated.
          now: current time.
        """
        change = StatementChange()
        if statement.limit is not None:
            change = change._replace(
                limit=self.limits.record_answer(
                    server, statement.limit, nodes, now
                )
            )
        if statement.pause.seconds > 0:
            pause_s = self.pauses.record(server, statement.pause.seconds, now)
            change = change._replace(pause_s=pause_s)
        if statement.departure.is_leaving:
            is_new = self.departures.record(server, now)
            change = change._replace(is_departure_new=is_new)
        unreadable = (
            statement.pause.unreadable,
            statement.departure.unreadable,
        )
        if any(unreadable):
            is_new = self._unreadable.get(server) != unreadable
            self._unreadable[server] = unreadable
            change = change._replace(has_new_unreadable=is_new)
        return change

    def list_servers(self) -> frozenset[str]:
        """Return the servers of which any statement is in force."""
        return frozenset(
            (
                *self.limits.list_limited(),
                *self.limits.list_cold(),
                *self.pauses.list_servers(),
                *self.departures.list_servers(),
            )
        )

    def refuses(self, server: str, now: float) -> bool:
        """Return whether a server wants no request of this node now."""
        is_leaving = server in self.departures
        return is_leaving or self.pauses.is_pausing(server, now)

    def may_send(self, server: str, now: float) -> bool:
        """Return whether a server may be chosen for a request now."""
        return self.find_wait(server, now) <= 0

    def find_wait(self, server: str, now: float) -> float:
        """Return the seconds until a server may be chosen, inf for never."""
        if server in self.departures:
            return math.inf
        return max(
            self.limits.find_wait(server, now),
            self.pauses.find_wait(server, now),
        )

    def consume(self, server: str, now: float) -> SendPermit | None:
        """Record that a server was chosen for a request.

        Returns:
          The permit to send it if the server warms up. It must be released
          when the send has ended, or did not begin.
        """
        self.pauses.consume(server, now)
        return self.limits.consume(server, now)

    def begin_send(
        self, server: str, permit: SendPermit | None, now: float
    ) -> bool:
        """Return whether a request may be sent now; called once per send.

        Args:
          server: the server.
          permit: what `consume` returned.
          now: current time.
        """
        if self.refuses(server, now):
            return False
        return self.limits.begin_send(server, permit, now)

    def apply_view(
        self,
        limited: Iterable[LimitedServer],
        present: Collection[str],
        now: float,
    ) -> None:
        """Apply what the leader announces.

        Args:
          limited: servers with a limit.
          present: servers that accept requests; statements of others are
            forgotten after a while.
          now: current time.
        """
        self.limits.apply_announcement(limited, now)
        self.limits.forget_absent(present, now)
        self.expire(now)
        for registry in (self.pauses, self.departures):
            _drop_excess(registry, present)
        for server in set(self._unreadable).difference(present):
            del self._unreadable[server]

    def forget(self, server: str) -> None:
        """Forget what a server stated before it started again."""
        self.limits.forget(server)
        self.pauses.forget(server)
        self.departures.forget(server)
        self._unreadable.pop(server, None)

    def expire(self, now: float) -> None:
        """Forget pauses and departures that have no effect any more."""
        self.pauses.expire(now)
        self.departures.expire(now)


def _drop_excess(
    registry: ServerPauses | Departures, present: Collection[str]
) -> None:
    """Forget the oldest statements of absent servers beyond MAX_ABSENT."""
    if len(registry) <= MAX_ABSENT:
        return
    listed = frozenset(present)
    absent = [name for name in registry.list_servers() if name not in listed]
    for server in absent[: max(0, len(absent) - MAX_ABSENT)]:
        registry.forget(server)

"""Tracking of orders and status queries in flight, so that none is doubled."""

from typing import NamedTuple

from chervilrock.decisions.serving.groups.effects import (
    Command,
    Effect,
    StatusQuery,
)
from chervilrock.decisions.serving.groups.orders import Order
from chervilrock.decisions.serving.site import BackendServer


class _Delay(NamedTuple):
    """An order that is not sent again before a given time."""

    order: Order
    until: float


class Dispatcher:
    """Sends each server at most one order and one status query at a time."""

    def __init__(self) -> None:
        """Create a dispatcher with nothing in flight."""
        self._pending: dict[str, Order] = {}
        self._delays: dict[str, _Delay] = {}
        self._queried_at: dict[str, float] = {}
        self._querying: set[str] = set()

    def command(
        self, server: BackendServer | None, order: Order, now: float
    ) -> list[Effect]:
        """Send an order unless it is in flight or its resend is delayed."""
        if server is None or self._pending.get(server.server) == order:
            return []
        delay = self._delays.get(server.server)
        if delay is not None and delay.order == order and delay.until > now:
            return []
        self._pending[server.server] = order
        return [Command(server, order)]

    def query(
        self, server: BackendServer | None, interval_s: float, now: float
    ) -> list[Effect]:
        """Query a server's status unless it was queried just before.

        Args:
          server: the server, None for an unknown one.
          interval_s: least time between two queries, in seconds.
          now: current time.
        """
        if server is None or server.server in self._querying:
            return []
        if now - self._queried_at.get(server.server, 0.0) < interval_s:
            return []
        self._querying.add(server.server)
        self._queried_at[server.server] = now
        return [StatusQuery(server)]

    def finish_order(self, server: str, order: Order) -> None:
        """Record that an order has ended, with or without an answer."""
        if self._pending.get(server) == order:
            del self._pending[server]

    def finish_query(self, server: str) -> None:
        """Record that a status query has ended, with or without an answer."""
        self._querying.discard(server)

    def delay(self, server: str, order: Order, until: float) -> None:
        """Delay the next send of the same order until a given time."""
        self._delays[server] = _Delay(order, until)

    def allow_resend(self, server: str) -> None:
        """Remove the delay of the next order to a server."""
        self._delays.pop(server, None)

    def forget(self, server: str) -> None:
        """Reset the state of a server, since it has restarted."""
        self._pending.pop(server, None)
        self._delays.pop(server, None)
        self._queried_at.pop(server, None)

    def allow_query(self, server: str) -> None:
        """Allow the next status query of a server at once."""
        self._queried_at.pop(server, None)

    def find_query_time(self, server: str, default: float) -> float:
        """Return when a server was last queried, or a default."""
        return self._queried_at.get(server, default)

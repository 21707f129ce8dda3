"""The limits of servers that a leader tells all nodes."""

from collections.abc import Iterable, Mapping, Sequence

from chervilrock.decisions.serving.serverlimits import (
    choose_senders,
    is_same_rate,
    LimitedServer,
    Sightings,
)


class LimitBook:
    """What servers said last of their limits, to whichever node.

    A limit holds until the server says otherwise, or is gone: nodes that send
    nothing to it hear nothing, which does not mean that it is over.
    """

    def __init__(self, *, known: Iterable[LimitedServer]) -> None:
        """Go on with what the last leader told."""
        self._rates = {one.server: one.rate for one in known}
        self._sightings = Sightings()

    def note(self, server: str, rate: float | None) -> bool:
        """Take what a node has heard of a server; None is no limit.

        Returns:
          Whether it is news.
        """
        if is_same_rate(self._rates.get(server), rate):
            return False
        if rate is None:
            del self._rates[server]
        else:
            self._rates[server] = rate
        return True

    def find_rates(self) -> Mapping[str, float]:
        """Return the limits by server."""
        return self._rates

    def list(
        self, present: Iterable[str], nodes: Sequence[str], now: float
    ) -> tuple[LimitedServer, ...]:
        """Return the servers with limits, and who may send to them.

        Args:
          present: servers that take requests; others are forgotten in time.
          nodes: names of the nodes to which callers come.
          now: present time.
        """
        for gone in self._sightings.forget(list(self._rates), present, now):
            del self._rates[gone]
        return tuple(
            LimitedServer(server, rate, choose_senders(server, rate, nodes))
            for server, rate in sorted(self._rates.items())
        )

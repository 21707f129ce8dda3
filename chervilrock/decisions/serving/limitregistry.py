"""Registry of the limits of servers that a leader announces to all nodes."""

from collections.abc import Iterable, Mapping, Sequence

from chervilrock.decisions.serving.serverlimits import (
    choose_senders,
    is_same_rate,
    LimitedServer,
    LimitObservations,
)


class LimitRegistry:
    """The limit that each server stated last, to whichever node.

    A limit holds until the server states another, or has been absent for too
    long: nodes that send nothing to it get no answers from it, which does not
    mean that its limit is over.
    """

    def __init__(self, *, known: Iterable[LimitedServer]) -> None:
        """Create a registry from what the last leader announced."""
        self._rates = {entry.server: entry.rate for entry in known}
        self._observations = LimitObservations()

    def record(self, server: str, rate: float | None) -> bool:
        """Record the limit that a node reports of a server; None is no limit.

        Returns:
          Whether it is a change.
        """
        if is_same_rate(self._rates.get(server), rate):
            return False
        if rate is None:
            del self._rates[server]
        else:
            self._rates[server] = rate
        return True

    def forget(self, server: str) -> None:
        """Forget the limit of a server that has started again."""
        self._rates.pop(server, None)

    def find_rates(self) -> Mapping[str, float]:
        """Return the limits by server."""
        return self._rates

    def list_servers(
        self, present: Iterable[str], nodes: Sequence[str], now: float
    ) -> tuple[LimitedServer, ...]:
        """Return the servers with limits, and who may send to them.

        Args:
          present: servers that accept requests; others are forgotten after
            some time.
          nodes: names of the nodes that accept callers.
          now: current time.
        """
        for absent in self._observations.forget(
            list(self._rates), present, now
        ):
            del self._rates[absent]
        return tuple(
            LimitedServer(server, rate, choose_senders(server, rate, nodes))
            for server, rate in sorted(self._rates.items())
        )

"""Registry of the limits of servers that a leader announces to all nodes.

A cold server has few senders, and at most two sets of them may be at work in
any second (see `warmups`). So a sender stays one while the server is cold, also
under a new leader, and is replaced only after it has been missing for
`REPLACE_DELAY_S`. So no sender is replaced within a second of its choice.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
import itertools
from types import MappingProxyType

from chervilrock.decisions.serving.servers.serverlimits import (
    choose_senders,
    is_same_rate,
    LimitedServer,
    LimitObservations,
    rank_nodes,
)
from chervilrock.decisions.serving.servers.warmups import (
    ColdServer,
    count_senders,
    find_total_rate,
)

REPLACE_DELAY_S = 1.5
"""Time for which a sender of a cold server must be missing before another one
replaces it: longer than a second, for which the bound of a cold server holds.
A new leader also knows few of the nodes at first."""

NONE_COLD: Mapping[str, ColdServer] = MappingProxyType({})


class LimitRegistry:
    """The limit that each server stated last, to whichever node.

    A limit holds until the server states another, or has been absent for too
    long: nodes that send nothing to it get no answers from it, which does not
    mean that its limit is over.
    """

    def __init__(self, *, known: Iterable[LimitedServer]) -> None:
        """Create a registry from what the last leader announced."""
        self._rates: dict[str, float] = {}
        self._cold_senders: dict[str, dict[str, float | None]] = {}
        for entry in known:
            if entry.limit is not None:
                self._rates[entry.server] = entry.limit
            if entry.warmup_rate is not None:
                self._cold_senders[entry.server] = dict.fromkeys(entry.senders)
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
        self,
        present: Iterable[str],
        nodes: Sequence[str],
        now: float,
        cold: Mapping[str, ColdServer] = NONE_COLD,
    ) -> tuple[LimitedServer, ...]:
        """Return the servers with limits, and who may send to them.

        Args:
          present: servers that accept requests; others are forgotten after
            some time.
          nodes: names of the nodes that accept callers.
          now: current time.
          cold: servers that warm up; those of them that are present are listed.
        """
        present = frozenset(present)
        for absent in self._observations.forget(
            list(self._rates), present, now
        ):
            del self._rates[absent]
        for server in set(self._cold_senders).difference(cold):
            del self._cold_senders[server]
        listed = {
            server: LimitedServer(
                server, rate, choose_senders(server, rate, nodes)
            )
            for server, rate in self._rates.items()
        }
        for server in present.intersection(cold):
            listed[server] = self._limit_cold(server, cold[server], nodes, now)
        return tuple(entry for _, entry in sorted(listed.items()))

    def _limit_cold(
        self, server: str, cold: ColdServer, nodes: Sequence[str], now: float
    ) -> LimitedServer:
        """Return what is announced of a cold server."""
        senders = self._choose_cold_senders(
            server, count_senders(cold.allowed), nodes, now
        )
        warmup_rate = find_total_rate(cold.allowed, len(senders))
        stated_rate = self._rates.get(server)
        return LimitedServer(
            server,
            warmup_rate
            if stated_rate is None
            else min(stated_rate, warmup_rate),
            senders,
            warmup_rate=warmup_rate,
            stated_rate=stated_rate,
        )

    def _choose_cold_senders(
        self, server: str, count: int, nodes: Sequence[str], now: float
    ) -> tuple[str, ...]:
        """Return the senders of a cold server, as far as possible the same."""
        seen = self._cold_senders.setdefault(server, {})
        for name, seen_at in list(seen.items()):
            if name in nodes or seen_at is None:
                seen[name] = now
            elif now - seen_at >= REPLACE_DELAY_S:
                del seen[name]
        if len(seen) < count:
            for name in self._rank_senders(server, nodes):
                if len(seen) < count:
                    seen.setdefault(name, now)
        return tuple(list(seen)[:count])

    def _rank_senders(self, server: str, nodes: Iterable[str]) -> list[str]:
        """Return nodes, first those that send to the fewest cold servers.

        When most servers are cold, a node that sends to none of them has to
        reject its requests.
        """
        counts = Counter(itertools.chain(*self._cold_senders.values()))
        return sorted(rank_nodes(server, nodes), key=lambda name: counts[name])

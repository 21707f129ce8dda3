"""Delayed and partly lost reports of modelled engines."""

from collections.abc import Callable
import random
from typing import Any, TYPE_CHECKING

from chervilrock.decisions.routing import base

if TYPE_CHECKING:
    from bench import entry_model

REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = (0.3, 1.5)
EVENT_INTERVAL_S = 1.0
PROGRESS_INTERVAL_S = 0.5
EVENT_LAG_S = (1.0, 3.0)
EVENT_LOSS = 0.2


class LateReports:
    """Delivers load reports, cache events and progress to the nodes."""

    def __init__(self, *, cluster: "entry_model.Cluster", seed: int) -> None:
        """Create the reports of a cluster.

        Args:
          cluster: nodes that receive the reports, and engines.
          seed: seed of the lags and losses.
        """
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._sequences = [0] * len(cluster.engines)

    def report_loads(self) -> None:
        """Send the load reports of all engines that are not lost."""
        for number, engine in enumerate(self._cluster.engines):
            if number in self._cluster.lost:
                continue
            group = self._cluster.endpoints[number].group
            for node in range(len(self._cluster.policies)):
                lag = self._rng.uniform(*REPORT_LAG_S)
                load: Any = {
                    "running": engine.running,
                    "waiting": engine.waiting,
                    "cache_used": engine.cache_used,
                    "tokens_per_s": 0.0,
                    "age_ms": int(lag * 1000.0),
                }
                self._cluster.at(
                    self._cluster.now + lag,
                    self._make_load_delivery(node, group, load),
                )

    def _make_load_delivery(
        self, node: int, group: str, load: Any
    ) -> Callable[[], None]:
        def deliver() -> None:
            self._cluster.policies[node].on_load_report(
                group, load, self._cluster.now
            )
            self._cluster.admissions[node].observe_load(
                group, load, self._cluster.now
            )

        return deliver

    def report_progress(self) -> None:
        """Report the number of tokens produced for each request."""
        for number, engine in enumerate(self._cluster.engines):
            if number in self._cluster.lost:
                continue
            for attempt, tokens in engine.progress():
                request = self._cluster.requests.get(attempt)
                if request is not None and attempt == request.winner:
                    self._cluster.policies[request.arrival.node].on_progress(
                        request.view,
                        request.attempts[attempt],
                        self._cluster.now,
                        tokens,
                    )

    def report_caches(self) -> None:
        """Send the cache events since the previous call."""
        for number, engine in enumerate(self._cluster.engines):
            changes = [(block, True) for block in engine.cache.stored]
            changes += [(block, False) for block in engine.cache.dropped]
            engine.cache.stored.clear()
            engine.cache.dropped.clear()
            events: list[Any] = []
            for block, stored in changes:
                self._sequences[number] += 1
                events.append(
                    {
                        "sequence": self._sequences[number],
                        "block": base.format_block(block),
                        "stored": stored,
                    }
                )
            for node in range(len(self._cluster.policies)):
                if self._rng.random() < EVENT_LOSS:
                    continue
                lag = self._rng.uniform(*EVENT_LAG_S)
                self._cluster.at(
                    self._cluster.now + lag,
                    self._make_event_delivery(node, number, events),
                )

    def _make_event_delivery(
        self, node: int, number: int, events: list[Any]
    ) -> Callable[[], None]:
        def deliver() -> None:
            policy = self._cluster.policies[node]
            group = self._cluster.endpoints[number].group
            for event in events:
                policy.on_cache_event(group, event, self._cluster.now)

        return deliver

"""Plain policies that the product's policy is compared with."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from chervilrock.decisions.routing import base
from chervilrock.decisions.routing import flights as flight_counts

if TYPE_CHECKING:
    import random


class RoundRobin(base.RoutingPolicy):
    """Takes the groups in turn."""

    def __init__(self) -> None:
        """Start with the first group."""
        self._turn = 0

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose the group whose turn it is."""
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class RandomChoice(base.RoutingPolicy):
    """Takes any group with the same probability."""

    def __init__(self, *, rng: "random.Random") -> None:
        """Keep the generator that makes the choices."""
        self._rng = rng

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose a group at random."""
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        return self._rng.choice(candidates)


class _CountingPolicy(base.RoutingPolicy):
    """Keeps the node's own attempts in progress."""

    def __init__(self, *, rng: "random.Random") -> None:
        """Keep the generator that makes the choices."""
        self._rng = rng
        self._flights = flight_counts.Flights()

    def on_sent(
        self, request: base.RequestView, endpoint: base.Endpoint, now: float
    ) -> None:
        """Count an attempt."""
        self._flights.add(request.request_id, endpoint.group)

    def on_done(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        ok: bool,
        tokens: int,
    ) -> None:
        """Count an attempt no longer."""
        self._flights.discard(request.request_id, endpoint.group)

    def _least_loaded(
        self, candidates: Sequence[base.Endpoint]
    ) -> base.Endpoint:
        least = min(self._flights.count(entry.group) for entry in candidates)
        return self._rng.choice(
            [
                entry
                for entry in candidates
                if self._flights.count(entry.group) == least
            ]
        )


class TwoChoices(_CountingPolicy):
    """Takes the less loaded of two random groups, by own attempts."""

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose the less loaded of two groups."""
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return self._least_loaded(pair)


class LeastInFlight(_CountingPolicy):
    """Takes the group with the fewest own attempts in progress."""

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose the least loaded group; ties are broken at random."""
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        return self._least_loaded(candidates)

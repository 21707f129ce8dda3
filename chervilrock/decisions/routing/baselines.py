"""Simple routing policies that prefix affinity is compared with."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from chervilrock.decisions.routing import base
from chervilrock.decisions.routing import inflight as inflight_counts

if TYPE_CHECKING:
    import random


class RoundRobin(base.RoutingPolicy):
    """Chooses the groups in turn."""

    def __init__(self) -> None:
        """Create a policy that has not chosen a group yet."""
        self._next_index = 0

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose the next group in turn."""
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


class RandomChoice(base.RoutingPolicy):
    """Chooses each group with the same probability."""

    def __init__(self, *, rng: "random.Random") -> None:
        """Create a policy.

        Args:
          rng: generator that makes the random choices.
        """
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


class _InFlightPolicy(base.RoutingPolicy):
    """Counts the node's own attempts in progress at each group."""

    def __init__(self, *, rng: "random.Random") -> None:
        """Create a policy.

        Args:
          rng: generator that makes the random choices.
        """
        self._rng = rng
        self._in_flight = inflight_counts.InFlightAttempts()

    def on_sent(
        self, request: base.RequestView, endpoint: base.Endpoint, now: float
    ) -> None:
        """Add an attempt to the counts."""
        self._in_flight.add(request.request_id, endpoint.group)

    def on_done(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        ok: bool,
        tokens: int,
    ) -> None:
        """Remove an attempt from the counts."""
        self._in_flight.discard(request.request_id, endpoint.group)

    def _choose_least_loaded(
        self, candidates: Sequence[base.Endpoint]
    ) -> base.Endpoint:
        min_count = min(
            self._in_flight.count(endpoint.group) for endpoint in candidates
        )
        return self._rng.choice(
            [
                endpoint
                for endpoint in candidates
                if self._in_flight.count(endpoint.group) == min_count
            ]
        )


class TwoChoices(_InFlightPolicy):
    """Chooses the one of two random groups with fewer own attempts."""

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose the less loaded of two random groups; break ties at random."""
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return self._choose_least_loaded(pair)


class LeastInFlight(_InFlightPolicy):
    """Chooses the group with the fewest own attempts in progress."""

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose the least loaded group; break ties at random."""
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        return self._choose_least_loaded(candidates)

"""The routing policy of nodes: prefix affinity with bounded load.

Each candidate gets a cost (`costs`) that approximates its time to the first
token. The policy chooses the candidate of least cost among the groups whose
load is within a multiple of the mean, so that requests for a popular prefix
spread over several groups and don't overload one. Ejected groups receive only
single requests as probes.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

import xxhash

from chervilrock.decisions.routing import (
    attempts,
    base,
    costs,
    known_groups,
    loads,
    prefixes,
    stragglers,
)
from chervilrock.generated import interfaces

if TYPE_CHECKING:
    import random

LOAD_FACTOR = 1.25
LOAD_SLACK_ATTEMPTS = 2.0
"""Bound on the load of a group: this multiple of the mean, plus the slack."""

HOLDER_SAMPLES = 6
"""Groups sampled among those with about the longest cached prefix."""

OTHER_SAMPLES = 6
"""Other groups sampled, plus the samples that holders leave unused."""

SIMILAR_BLOCKS = 4
"""Difference in depth below which cached prefixes count as equally long."""

LONG_PROMPT_TOKENS = 4096
"""Least length of a prompt that is too long for a probe."""


class PrefixAffinity(base.RoutingPolicy):
    """Prefers groups that cache the prefix and are local, fast and not full."""

    def __init__(self, *, rng: "random.Random", data_centre: str) -> None:
        """Create a policy without data on any group.

        Args:
          rng: generator that samples the candidates when there are many.
          data_centre: data centre of this node.
        """
        self._rng = rng
        self._data_centre = data_centre
        self._prefix_index = prefixes.PrefixIndex()
        self._loads = loads.GroupLoads()
        self._stragglers = stragglers.StragglerDetector()
        self._known_groups = known_groups.KnownGroups()
        self._attempts = attempts.AttemptTracker()

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose a group due for a probe, or else the one of least cost."""
        for group in self._known_groups.update(endpoints, now):
            self._forget(group)
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        self._stragglers.check(now)
        probe_target = self._choose_probe_target(request, candidates, now)
        if probe_target is not None:
            return probe_target
        ejected = self._stragglers.ejected()
        healthy = [
            candidate
            for candidate in candidates
            if candidate.group not in ejected
        ]
        depths = self._prefix_index.match(request.prefix_blocks, now)
        sampled = self._sample_candidates(healthy or candidates, depths)
        sampled = self._bound_load(sampled, now)
        return min(
            sampled,
            key=lambda candidate: self._estimate_cost(
                request, candidate, depths.get(candidate.group, 0), now
            ),
        )

    def on_sent(
        self, request: base.RequestView, endpoint: base.Endpoint, now: float
    ) -> None:
        """Record an attempt, and its prefix as cached by the group."""
        group = endpoint.group
        depths = self._prefix_index.match(request.prefix_blocks, now)
        uncached_tokens = costs.count_uncached(
            request.prompt_tokens, depths.get(group, 0)
        )
        expected_s = self._attempts.start(
            request.request_id, group, uncached_tokens
        )
        self._loads.add(request.request_id, group, now)
        self._stragglers.on_sent(group, request.request_id, expected_s, now)
        self._prefix_index.add_prompt(request.prefix_blocks, group, now)

    def on_first_token(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        waited_s: float,
    ) -> None:
        """Update the prefill speed of the group."""
        group = endpoint.group
        if self._attempts.record_first_token(
            request.request_id, group, waited_s, now
        ):
            self._stragglers.on_first_token(
                group, request.request_id, waited_s, now
            )

    def on_progress(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        tokens: int,
    ) -> None:
        """Update the decoding speed of the group."""
        s_per_token = self._attempts.record_progress(
            request.request_id, endpoint.group, tokens, now
        )
        if s_per_token is not None:
            self._stragglers.on_decoded(endpoint.group, s_per_token, now)

    def on_done(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        ok: bool,
        tokens: int,
    ) -> None:
        """Remove an attempt, and update the decoding speed of the group."""
        group = endpoint.group
        if ok:
            self.on_progress(request, endpoint, now, tokens)
        if not self._attempts.finish(request.request_id, group):
            return
        self._loads.discard(request.request_id, group, now)
        self._stragglers.on_end(group, request.request_id, ok, now)
        if not ok:
            self._prefix_index.discard_group(group)

    def on_load_report(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Record the report as a hint that expires."""
        self._loads.on_report(group, load, now)

    def on_cache_event(
        self, group: str, event: interfaces.CacheEvent, now: float
    ) -> None:
        """Record the event as a hint that expires."""
        block = base.parse_block(event["block"])
        if block is None or not prefixes.is_sampled(block):
            return
        if event["stored"]:
            self._prefix_index.add(block, group, now)
        else:
            self._prefix_index.discard(block, group)

    def _forget(self, group: str) -> None:
        """Discard the data on a group that has other hosts or is unlisted."""
        self._prefix_index.discard_group(group)
        self._stragglers.forget(group)
        self._loads.forget(group)

    def _choose_probe_target(
        self,
        request: base.RequestView,
        candidates: Sequence[base.Endpoint],
        now: float,
    ) -> base.Endpoint | None:
        if (
            not request.idempotent
            or request.prompt_tokens >= LONG_PROMPT_TOKENS
        ):
            return None
        due = self._stragglers.due_probes(now)
        if not due:
            return None
        for endpoint in candidates:
            if endpoint.group in due:
                return endpoint
        return None

    def _sample_candidates(
        self, candidates: list[base.Endpoint], depths: dict[str, int]
    ) -> list[base.Endpoint]:
        """Sample groups with the longest cached prefix, and other groups.

        Sampling bounds the work when there are many groups. It also prevents
        herding, where all nodes choose the group that the load reports show
        as the best.
        """
        if len(candidates) <= HOLDER_SAMPLES + OTHER_SAMPLES:
            return candidates
        depth_bound = max(depths.values(), default=0) - SIMILAR_BLOCKS
        holder_names = {
            name
            for name, depth in depths.items()
            if depth > max(0, depth_bound)
        }
        holders = [
            candidate
            for candidate in candidates
            if candidate.group in holder_names
        ]
        sampled_holders = self._rng.sample(
            holders, min(HOLDER_SAMPLES, len(holders))
        )
        sampled_others = [
            candidate
            for candidate in self._rng.sample(
                candidates, HOLDER_SAMPLES + OTHER_SAMPLES
            )
            if candidate.group not in holder_names
        ]
        return (
            sampled_holders
            + sampled_others[
                : HOLDER_SAMPLES + OTHER_SAMPLES - len(sampled_holders)
            ]
        )

    def _bound_load(
        self, candidates: list[base.Endpoint], now: float
    ) -> list[base.Endpoint]:
        """Keep the groups whose load is within the bound, or all if none is."""
        own_counts = [
            float(self._loads.count(candidate.group))
            for candidate in candidates
        ]
        estimates = [
            self._loads.estimate(candidate.group, now)
            for candidate in candidates
        ]
        reported = [estimate for estimate in estimates if estimate is not None]
        mean_estimate = sum(reported) / len(reported) if reported else 0.0
        max_own = (
            LOAD_FACTOR * sum(own_counts) / len(own_counts)
            + LOAD_SLACK_ATTEMPTS
        )
        max_estimate = LOAD_FACTOR * mean_estimate + LOAD_SLACK_ATTEMPTS
        kept = [
            endpoint
            for endpoint, own_count, estimate in zip(
                candidates, own_counts, estimates, strict=True
            )
            if own_count <= max_own
            and (estimate is None or estimate <= max_estimate)
        ]
        return kept or candidates

    def _estimate_cost(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        depth: int,
        now: float,
    ) -> float:
        group = endpoint.group
        own_count = self._loads.count(group)
        total = self._loads.estimate(group, now)
        return costs.estimate_cost(
            costs.GroupState(
                uncached_tokens=costs.count_uncached(
                    request.prompt_tokens, depth
                ),
                pending_tokens=self._attempts.count_pending_tokens(group),
                own_attempts=own_count,
                total_attempts=float(own_count) if total is None else total,
                waiting_requests=self._loads.waiting(group, now),
                is_full=self._loads.is_full(group, now),
                slowness=self._stragglers.slowness(group, now),
                is_remote=endpoint.data_centre != self._data_centre,
                rendezvous=_hash_rendezvous(request, group),
            )
        )


def _hash_rendezvous(request: base.RequestView, group: str) -> float:
    """Return the rendezvous hash of a prefix and a group, from 0 to 1.

    All nodes compute the same number. A prompt shorter than a block is hashed
    by its request instead.
    """
    if request.prefix_blocks:
        seed = request.prefix_blocks[0]
    else:
        seed = xxhash.xxh3_64_intdigest(request.request_id.encode())
    return xxhash.xxh3_64_intdigest(group.encode(), seed=seed) / 2.0**64

"""The product's routing policy: prefix affinity with bounded load.

Each candidate gets a cost (`costs`), which stands for the time to the first
token there. The least cost wins among the groups whose load is bounded by a
multiple of the mean, so that a popular prefix spreads over more groups
instead of burying one. Ejected groups get only single requests as probes.
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
LOAD_SLACK = 2.0
"""A group may have this multiple of the mean load, plus the slack."""

HOLDERS = 6
"""Groups with about the longest cached prefix that are weighed."""

OTHERS = 6
"""Other groups that are weighed."""

SIMILAR_BLOCKS = 4
"""Blocks by which prefixes count as about equally long."""

LONG_TOKENS = 4096
"""Length from which a prompt is too long for a probe."""


class PrefixAffinity(base.RoutingPolicy):
    """Prefers groups that hold the prefix and are near, fast and not full."""

    def __init__(self, *, rng: "random.Random", data_centre: str) -> None:
        """Start without knowledge of any group.

        Args:
          rng: generator for the draw of groups when there are many.
          data_centre: data centre of this node.
        """
        self._rng = rng
        self._data_centre = data_centre
        self._index = prefixes.PrefixIndex()
        self._loads = loads.Loads()
        self._stragglers = stragglers.Stragglers()
        self._known = known_groups.KnownGroups()
        self._attempts = attempts.Attempts()

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose the group with the least cost, or one that is to be probed."""
        for group in self._known.follow(endpoints, now):
            self._forget(group)
        candidates = base.filter_endpoints(request, endpoints, exclude)
        if not candidates:
            return None
        self._stragglers.check(now)
        probe = self._choose_probe(request, candidates, now)
        if probe is not None:
            return probe
        ejected = self._stragglers.ejected()
        healthy = [each for each in candidates if each.group not in ejected]
        depths = self._index.match(request.prefix_blocks, now)
        weighed = self._draw(healthy or candidates, depths)
        weighed = self._bound_load(weighed, now)
        return min(
            weighed,
            key=lambda each: self._estimate_cost(
                request, each, depths.get(each.group, 0), now
            ),
        )

    def on_sent(
        self, request: base.RequestView, endpoint: base.Endpoint, now: float
    ) -> None:
        """Count an attempt, and expect its prefix in the cache."""
        group = endpoint.group
        depths = self._index.match(request.prefix_blocks, now)
        uncached = costs.count_uncached(
            request.prompt_tokens, depths.get(group, 0)
        )
        expected = self._attempts.start(request.request_id, group, uncached)
        self._loads.add(request.request_id, group, now)
        self._stragglers.on_sent(group, request.request_id, expected, now)
        self._index.add_prompt(request.prefix_blocks, group, now)

    def on_first_token(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        waited: float,
    ) -> None:
        """Learn how fast the group computes prompts."""
        group = endpoint.group
        if self._attempts.note_first_token(
            request.request_id, group, waited, now
        ):
            self._stragglers.on_first_token(
                group, request.request_id, waited, now
            )

    def on_progress(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        tokens: int,
    ) -> None:
        """Learn how fast the tokens of an answer come."""
        pace = self._attempts.note_progress(
            request.request_id, endpoint.group, tokens, now
        )
        if pace is not None:
            self._stragglers.on_decoded(endpoint.group, pace, now)

    def on_done(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        ok: bool,
        tokens: int,
    ) -> None:
        """Count an attempt no longer, and learn how fast its tokens came."""
        group = endpoint.group
        if ok:
            self.on_progress(request, endpoint, now, tokens)
        if not self._attempts.finish(request.request_id, group):
            return
        self._loads.discard(request.request_id, group, now)
        self._stragglers.on_end(group, request.request_id, ok, now)
        if not ok:
            self._index.discard_group(group)

    def on_load_report(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Take the report as a hint that expires."""
        self._loads.on_report(group, load, now)

    def on_cache_event(
        self, group: str, event: interfaces.CacheEvent, now: float
    ) -> None:
        """Take the event as a hint that expires."""
        block = base.parse_block(event["block"])
        if block is None or not prefixes.is_sampled(block):
            return
        if event["stored"]:
            self._index.add(block, group, now)
        else:
            self._index.discard(block, group)

    def _forget(self, group: str) -> None:
        """Forget what was learnt of a group that has other hosts now."""
        self._index.discard_group(group)
        self._stragglers.forget(group)
        self._loads.forget(group)

    def _choose_probe(
        self,
        request: base.RequestView,
        candidates: Sequence[base.Endpoint],
        now: float,
    ) -> base.Endpoint | None:
        if not request.idempotent or request.prompt_tokens >= LONG_TOKENS:
            return None
        due = self._stragglers.due_probes(now)
        if not due:
            return None
        for endpoint in candidates:
            if endpoint.group in due:
                return endpoint
        return None

    def _draw(
        self, candidates: list[base.Endpoint], depths: dict[str, int]
    ) -> list[base.Endpoint]:
        """Draw some of the groups with the longest prefix, and some others.

        It bounds the work when there are many groups, and keeps the nodes
        from all running to the group that the reports show as the best.
        """
        if len(candidates) <= HOLDERS + OTHERS:
            return candidates
        near = max(depths.values(), default=0) - SIMILAR_BLOCKS
        deep = {name for name, depth in depths.items() if depth > max(0, near)}
        holders = [each for each in candidates if each.group in deep]
        drawn = self._rng.sample(holders, min(HOLDERS, len(holders)))
        others = [
            each
            for each in self._rng.sample(candidates, HOLDERS + OTHERS)
            if each.group not in deep
        ]
        return drawn + others[: HOLDERS + OTHERS - len(drawn)]

    def _bound_load(
        self, candidates: list[base.Endpoint], now: float
    ) -> list[base.Endpoint]:
        """Keep the groups whose load is at most a multiple of the mean."""
        own = [float(self._loads.count(each.group)) for each in candidates]
        known = [self._loads.estimate(each.group, now) for each in candidates]
        fresh = [each for each in known if each is not None]
        mean_known = sum(fresh) / len(fresh) if fresh else 0.0
        most_own = LOAD_FACTOR * sum(own) / len(own) + LOAD_SLACK
        most_known = LOAD_FACTOR * mean_known + LOAD_SLACK
        kept = [
            endpoint
            for endpoint, mine, estimate in zip(
                candidates, own, known, strict=True
            )
            if mine <= most_own and (estimate is None or estimate <= most_known)
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
        own = self._loads.count(group)
        streams = self._loads.estimate(group, now)
        return costs.estimate_cost(
            costs.GroupState(
                uncached=costs.count_uncached(request.prompt_tokens, depth),
                pending=self._attempts.pending_tokens(group),
                own=own,
                streams=float(own) if streams is None else streams,
                waiting=self._loads.waiting(group, now),
                full=self._loads.is_full(group, now),
                slowness=self._stragglers.slowness(group, now),
                remote=endpoint.data_centre != self._data_centre,
                spread=_spread(request, group),
            )
        )


def _spread(request: base.RequestView, group: str) -> float:
    """Return a number from 0 to 1 that all nodes draw alike for a prefix."""
    if request.prefix_blocks:
        seed = request.prefix_blocks[0]
    else:
        seed = xxhash.xxh3_64_intdigest(request.request_id.encode())
    return xxhash.xxh3_64_intdigest(group.encode(), seed=seed) / 2.0**64

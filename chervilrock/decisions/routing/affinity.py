"""The product's routing policy: prefix affinity with bounded load.

Each candidate gets a cost, the time in which it would give the first token:
the prompt tokens that are not cached there, the tokens of own prompts that
wait before it, and its streams, times the slowness that it has shown, plus
the distance to its data centre. The least cost wins among the groups whose
load is bounded by a multiple of the mean, so that a popular prefix spreads
over more groups instead of burying one.
"""

from collections.abc import Sequence
from typing import NamedTuple, TYPE_CHECKING

import xxhash

from chervilrock.decisions.routing import base, loads, prefixes, stragglers
from chervilrock.generated import interfaces

if TYPE_CHECKING:
    import random

BLOCK_TOKENS = 64
"""Tokens taken for a prefix block of `base.BLOCK_CHARS` characters."""

LOAD_FACTOR = 1.25
LOAD_SLACK = 2.0
"""A group may have this multiple of the mean load, plus the slack."""

STREAM_TOKENS = 20.0
"""Cost of a stream in progress, in prompt tokens."""

OWN_TOKENS = 200.0
"""Cost of an own stream in progress, in prompt tokens."""

WAITING_TOKENS = 400.0
"""Cost of a request that waits at the engine, in prompt tokens."""

FULL_TOKENS = 600.0
"""Cost of a full batch or memory, in prompt tokens."""

REMOTE_TOKENS = 15.0
"""Cost of another data centre, in prompt tokens (about a millisecond)."""

SPREAD_TOKENS = 32.0
"""Greatest cost by which hashing prefers one group to another.

It makes nodes that know nothing of a prefix choose the same group for it.
"""

HOLDERS = 6
"""Groups with about the longest cached prefix that are weighed."""

OTHERS = 6
"""Other groups that are weighed."""

SIMILAR_BLOCKS = 4
"""Blocks by which prefixes count as about equally long."""

BASE_S = 0.03
INITIAL_S_PER_TOKEN = 1e-4
RATE_WEIGHT = 0.02
MIN_TOKENS = 4
"""Tokens from which the time between them is measured."""

LONG_TOKENS = 4096
"""Length from which a prompt is too long for a probe."""


class _Attempt(NamedTuple):
    group: str
    uncached: float
    progress_at: float | None
    progress: int


class PrefixAffinity(base.RoutingPolicy):
    """Prefers groups that hold the prefix and are near, fast and not full."""

    def __init__(self, *, rng: "random.Random", data_centre: str) -> None:
        """Start without knowledge of any group.

        Args:
          rng: generator for subsets and ties.
          data_centre: data centre of this node.
        """
        self._rng = rng
        self._data_centre = data_centre
        self._index = prefixes.PrefixIndex()
        self._loads = loads.Loads()
        self._stragglers = stragglers.Stragglers()
        self._fences: dict[str, int] = {}
        self._attempts: dict[tuple[str, str], _Attempt] = {}
        self._pending_tokens: dict[str, float] = {}
        self._s_per_token = INITIAL_S_PER_TOKEN

    def choose(
        self,
        request: base.RequestView,
        endpoints: Sequence[base.Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> base.Endpoint | None:
        """Choose the group with the least cost, or one that is to be probed."""
        self._follow_fences(endpoints)
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
        weighed = self._take_subset(healthy or candidates, depths)
        weighed = self._bound_load(weighed, now)
        return min(
            weighed,
            key=lambda each: self._cost(
                request, each, depths.get(each.group, 0), now
            ),
        )

    def on_sent(
        self, request: base.RequestView, endpoint: base.Endpoint, now: float
    ) -> None:
        """Count an attempt, and expect its prefix in the cache."""
        group = endpoint.group
        depths = self._index.match(request.prefix_blocks, now)
        tokens = _uncached_tokens(request, depths.get(group, 0))
        before = self._pending_tokens.get(group, 0.0)
        expected = BASE_S + self._s_per_token * (tokens + before)
        self._loads.add(request.request_id, group, now)
        self._attempts[request.request_id, group] = _Attempt(
            group, tokens, None, 0
        )
        self._pending_tokens[group] = before + tokens
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
        key = (request.request_id, endpoint.group)
        attempt = self._attempts.get(key)
        if attempt is None or attempt.progress_at is not None:
            return
        self._attempts[key] = attempt._replace(progress_at=now, progress=1)
        self._discount(attempt)
        if attempt.uncached > BLOCK_TOKENS:
            seconds = max(0.0, waited - BASE_S) / attempt.uncached
            self._s_per_token += RATE_WEIGHT * (
                min(seconds, 10.0 * self._s_per_token) - self._s_per_token
            )
        self._stragglers.on_first_token(
            endpoint.group, request.request_id, waited, now
        )

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
        attempt = self._attempts.pop((request.request_id, group), None)
        if attempt is None:
            return
        self._loads.discard(request.request_id, group, now)
        if attempt.progress_at is None:
            self._discount(attempt)
        elif ok:
            self._learn_decoding(attempt, tokens, now)
        self._stragglers.on_end(group, request.request_id, ok, now)
        if not ok:
            self._index.discard_group(group)

    def on_progress(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        now: float,
        tokens: int,
    ) -> None:
        """Learn how fast the tokens of an answer come."""
        key = (request.request_id, endpoint.group)
        attempt = self._attempts.get(key)
        if attempt is None or tokens <= attempt.progress:
            return
        self._learn_decoding(attempt, tokens, now)
        self._attempts[key] = attempt._replace(progress_at=now, progress=tokens)

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
        if block is None:
            return
        if event["stored"]:
            self._index.add(block, group, now)
        else:
            self._index.discard(block, group)

    def _follow_fences(self, endpoints: Sequence[base.Endpoint]) -> None:
        """Forget what was learnt of a group with other hosts than now."""
        for endpoint in endpoints:
            known = self._fences.get(endpoint.group)
            if known == endpoint.fence:
                continue
            self._fences[endpoint.group] = endpoint.fence
            if known is not None:
                self._index.discard_group(endpoint.group)
                self._stragglers.forget(endpoint.group)
                self._loads.forget(endpoint.group)

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

    def _take_subset(
        self, candidates: list[base.Endpoint], depths: dict[str, int]
    ) -> list[base.Endpoint]:
        """Draw some of the groups with the longest prefix, and some others.

        Load reports are old, and the same for all nodes. If every node took
        the best of all groups, all would run to the same one until the next
        report; a draw spreads them.
        """
        deepest = max(
            (depths.get(each.group, 0) for each in candidates), default=0
        )
        near = deepest - SIMILAR_BLOCKS
        holders = [
            each for each in candidates if depths.get(each.group, 0) > near
        ]
        others = [
            each for each in candidates if depths.get(each.group, 0) <= near
        ]
        drawn = self._rng.sample(holders, min(HOLDERS, len(holders)))
        return drawn + self._rng.sample(others, min(OTHERS, len(others)))

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

    def _cost(
        self,
        request: base.RequestView,
        endpoint: base.Endpoint,
        depth: int,
        now: float,
    ) -> float:
        """Return the cost of a group in prompt tokens."""
        group = endpoint.group
        streams = self._loads.estimate(group, now)
        if streams is None:
            streams = float(self._loads.count(group))
        cost = (
            _uncached_tokens(request, depth)
            + self._pending_tokens.get(group, 0.0)
            + STREAM_TOKENS * streams
            + OWN_TOKENS * self._loads.count(group)
            + WAITING_TOKENS * self._loads.waiting(group, now)
        )
        if self._loads.is_full(group, now):
            cost += FULL_TOKENS
        slowness = min(4.0, max(1.0, self._stragglers.slowness(group, now)))
        remote = endpoint.data_centre != self._data_centre
        return (
            cost * slowness
            + (REMOTE_TOKENS if remote else 0.0)
            + SPREAD_TOKENS * _spread(request, group)
        )

    def _learn_decoding(
        self, attempt: _Attempt, tokens: int, now: float
    ) -> None:
        count = tokens - attempt.progress
        if attempt.progress_at is None or count < MIN_TOKENS:
            return
        seconds = (now - attempt.progress_at) / count
        self._stragglers.on_decoded(attempt.group, seconds, now)

    def _discount(self, attempt: _Attempt) -> None:
        left = self._pending_tokens.get(attempt.group, 0.0) - attempt.uncached
        if left > 0.5:
            self._pending_tokens[attempt.group] = left
        else:
            self._pending_tokens.pop(attempt.group, None)


def _uncached_tokens(request: base.RequestView, depth: int) -> float:
    return float(max(1, request.prompt_tokens - depth * BLOCK_TOKENS))


def _spread(request: base.RequestView, group: str) -> float:
    """Return a number from 0 to 1 that all nodes draw alike for a prefix."""
    if request.prefix_blocks:
        seed = request.prefix_blocks[0]
    else:
        seed = xxhash.xxh3_64_intdigest(request.request_id.encode())
    return xxhash.xxh3_64_intdigest(group.encode(), seed=seed) / 2.0**64

"""Estimates how long requests take from a send to the end of the answer.

Load pattern: all nodes are restarted within a few seconds, so that callers
have no address but those of stopping nodes. Each of these may accept only what
it can still answer, and how long that takes differs by route, load and length:
of one route, the longest streams take ten times as long as the shortest ones.
"""

from collections import deque
from collections.abc import Collection, Hashable
import statistics
from typing import NamedTuple

from chervilrock.decisions.serving.site import EngineProfile

MAX_SAMPLES = 64
"""Recent requests of a route, or of a pool, that are kept."""

MIN_SAMPLES = 16
"""Requests that an estimate needs; the longest of fewer is often much shorter
than others."""

MARGIN_FACTOR = 1.25
"""Factor on the slowest recent request: servers become slower while their load
moves to fewer nodes."""

MIN_TOKENS = 32
"""Output tokens as which a shorter stream counts, since the time to its first
event does not depend on its length."""


class RequestKind(NamedTuple):
    """What the duration of a request depends on.

    Attributes:
      route: name of the route.
      pool: model or plain service; it stands in for a route that is new.
      output_tokens: greatest number of tokens to generate, 0 for a request of
        a plain service.
    """

    route: str
    pool: str
    output_tokens: int

    @property
    def size(self) -> int:
        """Factor of its duration."""
        if not self.output_tokens:
            return 1
        return max(MIN_TOKENS, self.output_tokens)


class _Sent(NamedTuple):
    kind: RequestKind
    at: float


class RequestDurations:
    """How long the requests of this node took recently for their size."""

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._by_route: dict[str, deque[float]] = {}
        self._by_pool: dict[str, deque[float]] = {}
        self._running: dict[Hashable, _Sent] = {}

    def record_sent(
        self, request: Hashable, kind: RequestKind, now: float
    ) -> None:
        """Record that a request was sent to a server."""
        self._running[request] = _Sent(kind, now)

    def record_ended(
        self, request: Hashable, now: float, *, is_complete: bool
    ) -> None:
        """Record the end of a send.

        Args:
          request: what `record_sent` was called with.
          now: current time.
          is_complete: whether the answer was complete; others show nothing
            about how long it takes.
        """
        sent = self._running.pop(request, None)
        if sent is None or not is_complete:
            return
        pace = max(0.0, now - sent.at) / sent.kind.size
        for samples, name in (
            (self._by_route, sent.kind.route),
            (self._by_pool, sent.kind.pool),
        ):
            samples.setdefault(name, deque(maxlen=MAX_SAMPLES)).append(pace)

    def estimate_usual(self, kind: RequestKind, default_s: float) -> float:
        """Return the median in seconds.

        Args:
          kind: kind of the request.
          default_s: estimate while too few requests are known.
        """
        samples = self._list_samples(kind)
        if len(samples) < MIN_SAMPLES:
            return default_s
        return kind.size * statistics.median(samples)

    def estimate_longest(
        self, kind: RequestKind, default_s: float, now: float
    ) -> float:
        """Return a time in seconds within which nearly all requests end.

        Requests that are still running count as well, so that a server that
        has just become slow is noticed before its requests end.

        Args:
          kind: kind of the request.
          default_s: least estimate while too few requests are known.
          now: current time.
        """
        samples = self._list_samples(kind)
        running = (
            (now - sent.at) / sent.kind.size
            for sent in self._running.values()
            if sent.kind.route == kind.route
        )
        pace = max(
            MARGIN_FACTOR * max(samples, default=0.0),
            max(running, default=0.0),
        )
        least_s = default_s if len(samples) < MIN_SAMPLES else 0.0
        return max(least_s, kind.size * pace)

    def _list_samples(self, kind: RequestKind) -> Collection[float]:
        """Return the samples of the route, or of its pool if they are few."""
        samples = self._by_route.get(kind.route, ())
        if len(samples) < MIN_SAMPLES:
            return self._by_pool.get(kind.pool, ())
        return samples


def compute_full_load_duration(
    engine: EngineProfile,
    *,
    time_factor: float,
    output_tokens: int,
    target_s: float,
) -> float:
    """Return how long a stream takes at a group that runs all its slots.

    Args:
      engine: timing of the engine.
      time_factor: time factor of the model.
      output_tokens: greatest number of tokens to generate.
      target_s: time to the first event that counts as on time, in seconds.

    Returns:
      Seconds from the send to the last event.
    """
    step_s = engine.step_s + engine.per_request_s * engine.slots
    return target_s + MARGIN_FACTOR * time_factor * step_s * output_tokens

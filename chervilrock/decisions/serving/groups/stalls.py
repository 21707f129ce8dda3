"""Detects groups whose streams have all stalled.

A group that lost a host stalls without an error: its head accepts requests and
no stream produces an event, for seconds. The streams of one group run in one
batch, so that all of them have an event every pass; when none has one for
several passes, the group has stalled. A single stalled stream proves nothing,
as the engine may have preempted it.

A node that stands still itself, on a host that is too busy or while a large
configuration is put in force, reads no events either. Such time does not count.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.serving.site import EngineProfile

STALL_MARGIN_S = 0.08
"""Time beyond two passes before a group counts as stalled: network links, late
timers and a node under sudden load."""

FIRST_EVENT_MARGIN_S = 0.15
"""Additional time for a group without any event yet, beyond the time to read
the earlier prompts."""


class StallDetector:
    """Progress of the streams of this node at one group.

    Attributes:
      is_stall_logged: whether its present stall was logged.
    """

    def __init__(self) -> None:
        """Create a detector for a group without streams."""
        self._sent_at: dict[str, float] = {}
        self._last_progress_at = float("-inf")
        self.is_stall_logged = False

    @property
    def running(self) -> int:
        """Number of streams."""
        return len(self._sent_at)

    def record_sent(self, request_id: str, now: float) -> None:
        """Record a stream that was sent to the group."""
        self._sent_at[request_id] = now

    def record_progress(self, now: float) -> None:
        """Record an event or the end of any stream."""
        self._last_progress_at = max(self._last_progress_at, now)
        self.is_stall_logged = False

    def record_end(self, request_id: str) -> None:
        """Remove a stream that ended or was moved away."""
        self._sent_at.pop(request_id, None)

    def exclude(self, seconds: float) -> None:
        """Leave out a time that just ended, in which this node read nothing."""
        self._last_progress_at += seconds
        for request_id in self._sent_at:
            self._sent_at[request_id] += seconds

    def is_stalled(self, limits: "StallLimits", now: float) -> bool:
        """Return whether no stream had an event for longer than the limits."""
        if not self._sent_at:
            return False
        oldest_sent_at = min(self._sent_at.values())
        if self._last_progress_at >= oldest_sent_at:
            return now - self._last_progress_at > limits.between_events_s
        return now - oldest_sent_at > limits.first_event_s

    def list_streams(self) -> Iterable[str]:
        """Return the requests whose streams are at the group."""
        return tuple(self._sent_at)


class StandstillMeter:
    """Measures by a periodic check how long this node stood still."""

    def __init__(self, *, interval_s: float) -> None:
        """Create a meter before the first check.

        Args:
          interval_s: interval of the checks in seconds.
        """
        self._interval_s = interval_s
        self._checked_at: float | None = None

    def measure(self, now: float) -> float:
        """Return for how many seconds it stood still since the last check.

        A check that is late by less than an interval shows no standstill.
        """
        before, self._checked_at = self._checked_at, now
        if before is None:
            return 0.0
        late_s = now - before - self._interval_s
        return late_s if late_s >= self._interval_s else 0.0


class StallLimits(NamedTuple):
    """Longest times without an event at a healthy group, in seconds.

    Attributes:
      between_events_s: between two events.
      first_event_s: from a request to the first event.
    """

    between_events_s: float
    first_event_s: float


def compute_stall_limits(
    engine: EngineProfile, *, time_factor: float, running: int
) -> StallLimits:
    """Return the longest times without an event at a healthy group.

    Streams that are moved within their longest pause, 0.2 s or 0.3 s with the
    time to read the prompt again, are still on time; so the bound depends on
    the load of the group instead of its worst case, which is 0.35 s.

    Args:
      engine: timing of the engine.
      time_factor: time factor of the model.
      running: requests that run at the group.
    """
    step_s = engine.step_s + engine.per_request_s * min(running, engine.slots)
    chunk_s = engine.prompt_chunk / engine.prompt_tokens_per_s
    two_passes_s = 2 * engine.steps_per_pass * step_s + 2 * chunk_s
    between_events_s = time_factor * two_passes_s + STALL_MARGIN_S
    # After an outage all prompts arrive at once and are read one by one; an
    # allowance of 0.15 s for all of them moves streams away from groups that
    # are still reading.
    prompt_s = engine.usual_prompt_tokens / engine.prompt_tokens_per_s
    reading_s = time_factor * prompt_s * running
    return StallLimits(
        between_events_s, between_events_s + FIRST_EVENT_MARGIN_S + reading_s
    )

"""Finds groups whose streams have all stopped.

A group that lost a host stops in silence: its head accepts requests and no
stream makes an event, for seconds. The streams of one group run in one batch,
so that all of them have an event every pass; when none has one for several
passes, the group has stopped. A single stream that is silent proves nothing,
as the engine may have preempted it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.serving.site import EngineProfile

SLACK_S = 0.08
"""Time beyond two passes before a group counts as silent: links, late timers
and a node that just got much to do."""

FIRST_EVENT_SLACK_S = 0.15
"""Additional time for a group that has not made an event yet, beside that for
the prompts before it."""


class GroupWatch:
    """Progress of the streams of this node at one group.

    Attributes:
      is_reported: whether its present silence was logged.
    """

    def __init__(self) -> None:
        """Watch a group without streams."""
        self._sent: dict[str, float] = {}
        self._progress = float("-inf")
        self.is_reported = False

    @property
    def running(self) -> int:
        """Number of streams."""
        return len(self._sent)

    def note_sent(self, request_id: str, now: float) -> None:
        """Count a stream that was sent to the group."""
        self._sent[request_id] = now

    def note_progress(self, now: float) -> None:
        """Note an event or the end of any stream."""
        self._progress = max(self._progress, now)
        self.is_reported = False

    def note_end(self, request_id: str) -> None:
        """Count a stream that ended or was taken away."""
        self._sent.pop(request_id, None)

    def is_silent(self, limits: "SilenceLimits", now: float) -> bool:
        """Tell whether no stream had an event for some time."""
        if not self._sent:
            return False
        oldest = min(self._sent.values())
        if self._progress >= oldest:
            return now - self._progress > limits.between_s
        return now - oldest > limits.first_s

    def list_streams(self) -> Iterable[str]:
        """Return the requests whose streams are at the group."""
        return tuple(self._sent)


class SilenceLimits(NamedTuple):
    """Longest times without an event at a sound group, in seconds.

    Attributes:
      between_s: between two events.
      first_s: from a request to the first event.
    """

    between_s: float
    first_s: float


def bound_silence(
    engine: EngineProfile, *, pace: float, running: int
) -> SilenceLimits:
    """Return the longest times without an event at a sound group.

    Streams that are moved within their longest pause, 0.2 s or 0.3 s with the
    time to read the prompt again, are still on time; so the bound follows the
    load of the group instead of its worst case, which is 0.35 s.

    Args:
      engine: how the engine works.
      pace: factor on the times of the model.
      running: requests that run at the group.
    """
    step = engine.step_s + engine.per_request_s * min(running, engine.slots)
    chunk = engine.prompt_chunk / engine.prompt_tokens_per_s
    two_passes = 2 * engine.steps_per_pass * step + 2 * chunk
    between_s = pace * two_passes + SLACK_S
    # After an outage all prompts come at once and are read one by one; with
    # 0.15 s for all of them streams were taken from groups that still read.
    prompt = engine.usual_prompt_tokens / engine.prompt_tokens_per_s
    reading = pace * prompt * running
    return SilenceLimits(between_s, between_s + FIRST_EVENT_SLACK_S + reading)

"""Decides what a stopping node still does for its callers.

Load pattern: a process has some seconds between SIGTERM and SIGKILL. Callers
keep its address for a while after it was withdrawn, and when all nodes stop at
once they have no other. A request is accepted as long as it should be answered
before the process exits, and is rejected as soon as that cannot be expected.

A server may fall silent or slow down after the request was accepted, so that no
estimate bounds how long it takes. A stream that is late would be cut. So it is
accepted only while most of the grace period is left, or if its own time limit
ends before the process exits.
"""

import math

from chervilrock.decisions.serving.admission.waiting import (
    MAX_RETRY_AFTER_S,
    RETRY_AFTER_JITTER,
    START_RETRY_AFTER_S,
)

STOP_MARGIN_S = 0.8
"""Margin before the end of the grace period at which the last requests are
answered."""

EXIT_MARGIN_S = 0.6
"""Margin before the end of the grace period at which the process exits, even
if answers are still being sent. Closing all connections takes half a second on
a busy host."""

RESERVE_FRACTION = 1 / 6
"""Part of the grace period in which no accepted request is expected to run, for
servers that fall silent or slow down."""

ACCEPT_S = 2.8
"""Time for which a stopping node accepts requests that may outlast it. Most
callers stop using its address within three times the announced lifetime."""

MIN_STOP_S = 3.2
"""Minimum time for which a stopping node continues to serve while others do.
Callers may cache its address for three times the announced lifetime."""

UNREAD_PATIENCE_S = 2.0
"""Time without progress after which a caller that does not read its answer no
longer delays the exit."""

NEXT_NODE_SPREAD_S = 0.1
"""Time over which rejected callers are spread that may turn to other nodes."""


class Shutdown:
    """Whether a node is stopping, and until when it may answer requests.

    Attributes:
      begun_at: time at which the node began to stop, inf unless it is
        stopping.
      accepts_until: time up to which requests are accepted that may last longer
        than the process, inf unless it is stopping.
      planned_end: time by which requests that are accepted should end, inf
        unless it is stopping.
      serves_until: time up to which an accepted request has to end, inf unless
        it is stopping.
      answers_until: time at which requests without an answer get one, inf
        unless it is stopping.
      exits_at: time at which it exits at the latest, inf unless it is stopping.
    """

    def __init__(self) -> None:
        """Create the state of a node that is not stopping."""
        self.accepts_until = math.inf
        self.planned_end = math.inf
        self.serves_until = math.inf
        self.answers_until = math.inf
        self.exits_at = math.inf
        self.begun_at = math.inf

    @property
    def is_begun(self) -> bool:
        """Whether the node is stopping."""
        return not math.isinf(self.begun_at)

    def begin(self, grace_s: float, now: float, *, may_serve: bool) -> None:
        """Begin to stop; a second call changes nothing.

        Args:
          grace_s: time until the process is killed, in seconds.
          now: current time.
          may_serve: whether requests may still be accepted.
        """
        if self.is_begun:
            return
        self.begun_at = now
        self.answers_until = now + grace_s - STOP_MARGIN_S
        self.serves_until = self.answers_until if may_serve else now
        self.accepts_until = min(now + ACCEPT_S, self.serves_until)
        self.planned_end = self.serves_until - RESERVE_FRACTION * grace_s
        self.exits_at = now + grace_s - EXIT_MARGIN_S

    def end_serving(self, now: float) -> None:
        """Record that no request is accepted any more."""
        self.accepts_until = min(self.accepts_until, now)
        self.serves_until = min(self.serves_until, now)

    def find_latest_send(
        self, expected_s: float, expires: float, *, trusts_estimate: bool
    ) -> float:
        """Return until when a request may be sent to a server.

        Args:
          expected_s: time until its answer is complete, in seconds.
          expires: latest time at which its caller gets an answer.
          trusts_estimate: whether the estimate alone decides: the request was
            accepted and may have run, or its caller has no other node and gets
            an error instead of a cut answer if it is late.
        """
        if expires <= self.serves_until:
            return self.serves_until
        if trusts_estimate:
            return self.serves_until - expected_s
        return min(self.planned_end - expected_s, self.accepts_until)

    def may_exit(
        self, now: float, *, is_busy: bool, has_other_nodes: bool
    ) -> bool:
        """Return whether the process may exit before the end of its grace.

        Without other nodes, callers wait for the process that replaces it.

        Args:
          now: current time.
          is_busy: whether it has requests, unsent answers or a duty.
          has_other_nodes: whether other nodes accept callers.
        """
        if is_busy:
            return False
        may_serve = self.serves_until > now
        is_awaited = has_other_nodes and may_serve
        return not is_awaited or now - self.begun_at >= MIN_STOP_S

    def find_retry_after(
        self, now: float, draw: float, *, has_other_nodes: bool
    ) -> float:
        """Return after how many seconds a rejected caller may retry.

        Args:
          now: current time.
          draw: random number from 0 to 1, which spreads the callers.
          has_other_nodes: whether other nodes accept callers.
        """
        if has_other_nodes:
            return NEXT_NODE_SPREAD_S * draw
        remaining_s = max(0.0, min(self.exits_at, self.serves_until) - now)
        retry_after_s = min(
            MAX_RETRY_AFTER_S, remaining_s + START_RETRY_AFTER_S
        )
        return retry_after_s * (1.0 + RETRY_AFTER_JITTER * draw)

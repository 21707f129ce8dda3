"""Outages of the store, and when pending reads have to be restarted after them.

Reads of the store are long polls that are answered when there is a change. A
long poll that was pending when the store stopped answering, or that was begun
during the outage, is never answered, not even after the store has recovered,
and ends only by its own timeout. A node therefore cancels and restarts its
reads as soon as it knows that the store has recovered: from the first answer
that it gets itself, or from the leader, which reads the store several times a
second.
"""

from typing import NamedTuple

from chervilrock.decisions.serving.nodes.leadership import STORE_TIMEOUT_S

MIN_OUTAGE_S = 1.0
"""Least time without an answer after which pending reads are restarted if calls
failed at once. A store that rejects single calls answers others between them,
and nodes that restarted their reads each time would make twice as many
calls."""

MAX_READ_S = 30.0
"""Time after which all reads have ended that were begun before the store
recovered, since no long poll lasts longer."""


class StoreStatus(NamedTuple):
    """State of the store as a leader announces it.

    Attributes:
      term: term of the leader.
      recoveries: how often the store has recovered from an outage that the
        leader observed, in this term or shortly before.
    """

    term: int
    recoveries: int


class StoreMonitor:
    """Tracks outages of the store from the results of all calls of a node.

    Attributes:
      answered_at: when the store last answered.
      unavailable_since: when a call first failed since the last answer, None
        if none has.
      recovered_at: when it last answered after calls had failed for
        `MIN_OUTAGE_S`; one failed read is no outage.
      recoveries: how often it recovered from an outage, in the current term
        or shortly before.
    """

    def __init__(self, *, now: float) -> None:
        """Create a monitor of a store that is available."""
        self.answered_at = now
        self.unavailable_since: float | None = None
        self.recovered_at = float("-inf")
        self.recoveries = 0
        self._unreliable_at = float("-inf")
        self._timed_out_topics: set[str] = set()
        self._leader_status: StoreStatus | None = None

    def is_unreachable(self, now: float) -> bool:
        """Return whether a leader that gets no answer has to be replaced."""
        return now - self.answered_at > STORE_TIMEOUT_S

    def record_answer(self, topic: str, now: float) -> bool:
        """Record an answer for a topic; return whether the store has recovered.

        If so, reads that were begun earlier have to be restarted. If only some
        topics are not answered, answers for others do not count as a recovery.
        """
        gap_s = now - self.answered_at
        self.answered_at = now
        # An earlier answer for another topic may have shown that the store is
        # available, which implies nothing for the reads of this topic.
        had_timed_out = topic in self._timed_out_topics
        if self.unavailable_since is None and not had_timed_out:
            return False
        has_recovered = had_timed_out or gap_s >= MIN_OUTAGE_S
        since = (
            now if self.unavailable_since is None else self.unavailable_since
        )
        if now - since >= MIN_OUTAGE_S:
            self.recovered_at = now
        self.unavailable_since = None
        if has_recovered:
            self.recoveries += 1
            self._unreliable_at = now
            self._timed_out_topics.clear()
        return has_recovered

    def record_failure(
        self, topic: str, now: float, *, is_timeout: bool
    ) -> None:
        """Record that a call got no usable answer.

        Args:
          topic: topic of the call.
          now: current time.
          is_timeout: whether it timed out, rather than being rejected or
            losing its connection.
        """
        if is_timeout:
            self._timed_out_topics.add(topic)
        if self.unavailable_since is None:
            self.unavailable_since = now

    def record_restore(self, now: float) -> None:
        """Record that the store was restored from a backup.

        A pending long poll then waits for an offset that may be far ahead.
        """
        self.recoveries += 1
        self.recovered_at = now
        self._unreliable_at = now
        self._timed_out_topics.clear()

    def record_leader_outage(self, now: float) -> None:
        """Record that the leader gets no answer of the store."""
        self._unreliable_at = now

    def begin_term(self, now: float) -> None:
        """Start to count recoveries for a term of this node as the leader.

        An outage shortly before counts, even one of the former leader alone,
        since its end has not been announced. Counting each new leader as a
        recovery would cost 77 nodes 155 more calls whenever a leader is
        replaced.
        """
        self.recoveries = int(now - self._unreliable_at < MAX_READ_S)

    def record_status(self, status: StoreStatus) -> bool:
        """Record an announced status; return whether the store recovered."""
        known = 0
        if (
            self._leader_status is not None
            and self._leader_status.term == status.term
        ):
            known = self._leader_status.recoveries
        self._leader_status = status
        return status.recoveries > known

"""Log events for the loss and recovery of a dependency of a node."""

from chervilrock.events import emit, Event


class Dependency:
    """Availability of a system that a node depends on.

    Attributes:
      name: name for the log.
      answered_at: time of its last answer.
    """

    def __init__(self, *, name: str, now: float) -> None:
        """Create a dependency that counts as available."""
        self.name = name
        self.answered_at = now
        self._lost_at: float | None = None

    def record_answer(self, now: float) -> None:
        """Record an answer; log the recovery after a loss."""
        self.answered_at = now
        if self._lost_at is not None:
            seconds = round(now - self._lost_at, 3)
            emit(
                Event.DEPENDENCY_REGAINED, dependency=self.name, seconds=seconds
            )
            self._lost_at = None

    def record_failure(self, reason: str, now: float) -> None:
        """Record a failed call; log the first one as a loss."""
        if self._lost_at is None:
            self._lost_at = now
            emit(Event.DEPENDENCY_LOST, dependency=self.name, reason=reason)

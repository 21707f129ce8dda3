"""A log line when something that a node depends on is lost or back."""

from chervilrock.events import emit, Event


class Dependency:
    """Whether something a node depends on answers.

    Attributes:
      name: name for the log.
      answered: when it last answered.
    """

    def __init__(self, *, name: str, now: float) -> None:
        """Count it as there."""
        self.name = name
        self.answered = now
        self._lost_at: float | None = None

    def note_answer(self, now: float) -> None:
        """Note an answer."""
        self.answered = now
        if self._lost_at is not None:
            seconds = round(now - self._lost_at, 3)
            emit(
                Event.DEPENDENCY_REGAINED, dependency=self.name, seconds=seconds
            )
            self._lost_at = None

    def note_failure(self, reason: str, now: float) -> None:
        """Note that there was no answer."""
        if self._lost_at is None:
            self._lost_at = now
            emit(Event.DEPENDENCY_LOST, dependency=self.name, reason=reason)

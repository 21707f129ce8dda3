"""What a node depends on, and a log line when it is lost or back."""

from chervilrock.events import emit, Event


class Dependency:
    """Whether something a node depends on answers.

    Attributes:
      name: name for the log.
      answered: when it last answered.
      lost_at: since when it does not answer, None while it does.
      back_at: when it last came back.
    """

    def __init__(self, *, name: str, now: float) -> None:
        """Count it as there."""
        self.name = name
        self.answered = now
        self.lost_at: float | None = None
        self.back_at = float("-inf")

    def note_answer(self, now: float) -> None:
        """Note an answer."""
        self.answered = now
        if self.lost_at is not None:
            seconds = round(now - self.lost_at, 3)
            emit(
                Event.DEPENDENCY_REGAINED, dependency=self.name, seconds=seconds
            )
            self.lost_at = None
            self.back_at = now

    def note_failure(self, reason: str, now: float) -> None:
        """Note that there was no answer."""
        if self.lost_at is None:
            self.lost_at = now
            emit(Event.DEPENDENCY_LOST, dependency=self.name, reason=reason)

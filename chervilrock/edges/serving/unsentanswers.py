"""Answers that a process still has to send before it may exit.

Tornado takes an answer at once and sends it when the caller reads. What it has
not sent is discarded when the connection is closed.
"""

from chervilrock.decisions.serving.admission.shutdown import UNREAD_PATIENCE_S
from chervilrock.edges.serving.connection import CallerConnection


class UnsentAnswers:
    """Answers to requests that were read, until their last byte is sent."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._answers: set[CallerConnection] = set()
        self._unsent: dict[CallerConnection, int] = {}
        self._read_at: dict[CallerConnection, float] = {}

    def __len__(self) -> int:
        return len(self._answers)

    def add(self, answer: CallerConnection) -> None:
        """Add an answer that will be given."""
        self._answers.add(answer)

    def update(self) -> None:
        """Drop the answers that were sent."""
        for answer in [answer for answer in self._answers if answer.is_sent]:
            self._answers.discard(answer)
            self._unsent.pop(answer, None)
            self._read_at.pop(answer, None)

    def count_awaited(self, now: float) -> int:
        """Return how many answers their callers are still waiting for.

        A caller that reads nothing for some time is not waited for.
        """
        self.update()
        for answer in self._answers:
            unsent = answer.count_unsent()
            if not unsent or unsent != self._unsent.get(answer):
                self._unsent[answer] = unsent
                self._read_at[answer] = now
        return sum(
            now - self._read_at[answer] < UNREAD_PATIENCE_S
            for answer in self._answers
        )

"""Whether the store answers a node at all, whatever the topic."""


class StoreWatch:
    """What the ends of all calls to the store come to.

    Attributes:
      answered: when the store last answered.
      lost_at: since when it does not answer, None while it does.
      back_at: when it last came back.
    """

    def __init__(self, *, now: float) -> None:
        """Count the store as there."""
        self.answered = now
        self.lost_at: float | None = None
        self.back_at = float("-inf")

    def note_answer(self, now: float) -> None:
        """Note an answer to any call."""
        self.answered = now
        if self.lost_at is not None:
            self.lost_at = None
            self.back_at = now

    def note_failure(self, now: float) -> None:
        """Note that a call got no answer."""
        if self.lost_at is None:
            self.lost_at = now

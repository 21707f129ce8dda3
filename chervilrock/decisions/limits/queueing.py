"""Queueing times of an engine, estimated from times to first tokens.

The time to the first token holds the time to compute the prompt, which an
entry node cannot tell apart. The least time seen for prompts of about the
same length, among all groups of a model, serves as that part; the rest is
taken for queueing. The least time is forgotten after a while, as a model, its
engines or their hosts may change.
"""

MEMORY_S = 60.0
"""Least time for which a least time is kept."""


class QueueingEstimator:
    """Estimates the queueing time of requests for one model."""

    def __init__(self) -> None:
        """Start without any sample."""
        self._recent: dict[int, float] = {}
        self._earlier: dict[int, float] = {}
        self._turn_at = float("-inf")

    def observe(self, prompt_tokens: int, waited: float, now: float) -> float:
        """Learn the time to a first token and return its queueing part.

        Args:
          prompt_tokens: length of the prompt.
          waited: time from sending to the first token in seconds.
          now: present time.

        Returns:
          Estimated queueing time in seconds; zero for the first sample of a
          length.
        """
        if now >= self._turn_at:
            self._earlier = self._recent
            self._recent = {}
            self._turn_at = now + MEMORY_S
        size = prompt_tokens.bit_length()
        least = min(waited, self._recent.get(size, waited))
        self._recent[size] = least
        return waited - min(least, self._earlier.get(size, least))

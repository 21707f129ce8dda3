"""Queueing times of an engine, estimated from times to first tokens.

The time to the first token includes the time to compute the prompt, which an
entry node cannot measure separately. The minimum for prompts of about the
same length, over all groups of a model, is the estimate of that part; the
remainder counts as queueing. The minimum expires, since a model, its engines
or their hosts may change.
"""

MIN_RETENTION_S = 60.0
"""Minimum time for which a minimum is retained."""


class QueueingEstimator:
    """Estimates the queueing time of requests for one model."""

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._recent: dict[int, float] = {}
        self._earlier: dict[int, float] = {}
        self._rotate_at = float("-inf")

    def observe(self, prompt_tokens: int, waited_s: float, now: float) -> float:
        """Record the time to a first token and return its queueing part.

        Args:
          prompt_tokens: length of the prompt.
          waited_s: time from sending to the first token in seconds.
          now: present time.

        Returns:
          Estimated queueing time in seconds; zero for the first sample of a
          length.
        """
        if now >= self._rotate_at:
            self._earlier = self._recent
            self._recent = {}
            self._rotate_at = now + MIN_RETENTION_S
        size = prompt_tokens.bit_length()
        min_waited_s = min(waited_s, self._recent.get(size, waited_s))
        self._recent[size] = min_waited_s
        return waited_s - min(
            min_waited_s, self._earlier.get(size, min_waited_s)
        )

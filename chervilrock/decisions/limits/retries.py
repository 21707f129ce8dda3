"""Budget that keeps retries to a share of the load."""

INITIAL_TOKENS = 1.0
MAX_TOKENS = 5.0
"""Retries that may follow each other after a long time without any."""


class RetryBudget:
    """Token bucket that first attempts fill and further attempts empty.

    Over any time, further attempts are at most the ratio times the first
    attempts, plus what the bucket held before.
    """

    def __init__(self) -> None:
        """Start with a single token and no ratio."""
        self._ratio = 0.0
        self._tokens = INITIAL_TOKENS

    @property
    def tokens(self) -> float:
        """Further attempts allowed now; not a whole number."""
        return self._tokens

    def set_ratio(self, ratio: float) -> None:
        """Set how many further attempts are allowed for each first one."""
        self._ratio = ratio

    def on_request(self) -> None:
        """Learn of a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def take(self, *, reserve: float = 0.0) -> bool:
        """Take a token for a further attempt.

        Args:
          reserve: tokens that must be left afterwards.

        Returns:
          Whether the attempt is allowed.
        """
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

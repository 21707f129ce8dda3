"""Budget that limits retries to a fraction of the load."""

INITIAL_TOKENS = 1.0
MAX_TOKENS = 5.0
"""Maximum burst of retries after a long time without any."""


class RetryBudget:
    """Token bucket refilled by first attempts and drained by further ones.

    Over any period, further attempts are at most the ratio times the first
    attempts, plus the tokens in the bucket at its start.
    """

    def __init__(self) -> None:
        """Create a budget with a single token and a ratio of 0."""
        self._ratio = 0.0
        self._tokens = INITIAL_TOKENS

    @property
    def tokens(self) -> float:
        """Further attempts allowed now, not rounded to an integer."""
        return self._tokens

    def set_ratio(self, ratio: float) -> None:
        """Set how many further attempts are allowed for each first one."""
        self._ratio = ratio

    def on_request(self) -> None:
        """Refill the bucket for a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def consume(self, *, reserve: float = 0.0) -> bool:
        """Consume a token for a further attempt.

        Args:
          reserve: tokens that must remain afterwards.

        Returns:
          Whether the attempt is allowed.
        """
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

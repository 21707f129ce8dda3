"""Hedging: a second attempt while the first has returned no token.

A hedge is sent only for an idempotent request, after a delay that few
requests exceed, while there is spare capacity, and only as long as hedges win
often enough to justify their load.
"""

QUANTILE = 0.95
"""Quantile of the time to the first token from which the delay follows."""

FACTOR = 1.5
"""Delay of a hedge as a multiple of the quantile."""

LEARNING_RATE = 0.05
MIN_SAMPLES = 50
"""First tokens of a prompt length needed before its quantile is used."""

MIN_DELAY_S = 0.1
MAX_LOAD = 0.75
"""Share of the limit in use above which no hedge is sent."""

MIN_WIN_RATIO = 0.3
"""Share of hedges that must win for hedging to continue."""

WIN_SMOOTHING = 0.1
TRIAL_INTERVAL_S = 10.0
"""Time between trial hedges while too few hedges win."""


class _Quantile:
    """Estimate of a quantile that is updated by each sample."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def observe(self, sample: float) -> None:
        self.samples += 1
        if self.samples == 1:
            self.value = sample
        elif sample > self.value:
            self.value *= 1.0 + LEARNING_RATE * QUANTILE
        else:
            self.value *= 1.0 - LEARNING_RATE * (1.0 - QUANTILE)


class Hedging:
    """Decides when a second attempt is worthwhile, for one model."""

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._quantiles: dict[int, _Quantile] = {}
        self._wins = 1.0
        self._next_trial_at = float("-inf")

    @property
    def wins(self) -> float:
        """Recent share of hedges that returned the first token."""
        return self._wins

    def observe_first_token(self, prompt_tokens: int, waited_s: float) -> None:
        """Record the time to a first token in seconds."""
        size = prompt_tokens.bit_length()
        self._quantiles.setdefault(size, _Quantile()).observe(waited_s)

    def observe_hedge(self, won: bool) -> None:
        """Record whether a hedge returned the first token."""
        self._wins += WIN_SMOOTHING * ((1.0 if won else 0.0) - self._wins)

    def delay(self, prompt_tokens: int) -> float | None:
        """Return the delay in seconds after which to consider a hedge.

        Returns:
          The delay, or None while there are too few samples of this length.
        """
        quantile = self._quantiles.get(prompt_tokens.bit_length())
        if quantile is None or quantile.samples < MIN_SAMPLES:
            return None
        return max(MIN_DELAY_S, quantile.value * FACTOR)

    def is_worthwhile(self, load: float, now: float) -> bool:
        """Return whether a hedge may be sent now.

        Args:
          load: share of the limit that is in use.
          now: present time.
        """
        if load > MAX_LOAD:
            return False
        if self._wins >= MIN_WIN_RATIO:
            return True
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + TRIAL_INTERVAL_S
        return True

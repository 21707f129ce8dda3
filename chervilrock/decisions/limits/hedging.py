"""Decision on a second attempt while the first gives no token.

A hedge is sent only for an idempotent request, after a time that few requests
wait, while there is room, and only as long as hedges win often enough to be
worth their load.
"""

QUANTILE = 0.95
"""Share of the first tokens that come before a hedge is thought of."""

FACTOR = 1.5
"""Multiple of the quantile after which a hedge is sent."""

LEARNING_RATE = 0.05
MIN_SAMPLES = 50
"""First tokens of a prompt length before its quantile is used."""

MIN_DELAY_S = 0.1
MAX_LOAD = 0.75
"""Share of the limit in use above which no hedge is sent."""

MIN_WINS = 0.3
"""Share of hedges that have to win."""

WIN_MEMORY = 0.1
TRIAL_INTERVAL_S = 10.0
"""Time between trial hedges while hedges win too seldom."""


class _Quantile:
    """Estimate of a quantile that moves with each sample."""

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
    """Decides when a second attempt pays, for one model."""

    def __init__(self) -> None:
        """Start without any sample."""
        self._quantiles: dict[int, _Quantile] = {}
        self._wins = 1.0
        self._trial_at = float("-inf")

    @property
    def wins(self) -> float:
        """Share of the hedges that gave the first token, lately."""
        return self._wins

    def observe_first_token(self, prompt_tokens: int, waited: float) -> None:
        """Learn the time to a first token in seconds."""
        size = prompt_tokens.bit_length()
        self._quantiles.setdefault(size, _Quantile()).observe(waited)

    def observe_hedge(self, won: bool) -> None:
        """Learn whether a hedge gave the first token."""
        self._wins += WIN_MEMORY * ((1.0 if won else 0.0) - self._wins)

    def delay(self, prompt_tokens: int) -> float | None:
        """Return the time in seconds after which to think of a hedge.

        Returns:
          None while too little is known of prompts of this length.
        """
        quantile = self._quantiles.get(prompt_tokens.bit_length())
        if quantile is None or quantile.samples < MIN_SAMPLES:
            return None
        return max(MIN_DELAY_S, quantile.value * FACTOR)

    def pays(self, load: float, now: float) -> bool:
        """Tell whether a hedge may be sent now.

        Args:
          load: share of the limit that is in use.
          now: present time.
        """
        if load > MAX_LOAD:
            return False
        if self._wins >= MIN_WINS:
            return True
        if now < self._trial_at:
            return False
        self._trial_at = now + TRIAL_INTERVAL_S
        return True

"""Own attempts in progress: their prompts, first tokens and pace."""

from typing import NamedTuple

BASE_S = 0.03
"""Time to the first token of a fully cached prompt."""

INITIAL_S_PER_TOKEN = 1e-4
RATE_WEIGHT = 0.02
"""Weight of a new sample of the time for a prompt token."""

MAX_RATE_SAMPLE = 10.0
"""Greatest sample, in multiples of the mean; waiting makes them great."""

MIN_RATE_TOKENS = 64
MIN_PACE_TOKENS = 4
"""Tokens from which a time for each of them is measured."""


class _Attempt(NamedTuple):
    uncached: float
    progress_at: float | None
    progress: int


class Attempts:
    """Attempts by request and group."""

    def __init__(self) -> None:
        """Start without any attempt."""
        self._attempts: dict[tuple[str, str], _Attempt] = {}
        self._pending: dict[str, float] = {}
        self._s_per_token = INITIAL_S_PER_TOKEN

    def pending_tokens(self, group: str) -> float:
        """Return the tokens of own prompts that have no first token yet."""
        return self._pending.get(group, 0.0)

    def start(self, request_id: str, group: str, uncached: float) -> float:
        """Add an attempt.

        Args:
          request_id: identity of the request.
          group: group that it is sent to.
          uncached: prompt tokens that the group has to compute.

        Returns:
          The expected time to the first token in seconds.
        """
        total = self.pending_tokens(group) + uncached
        self._attempts[request_id, group] = _Attempt(uncached, None, 0)
        self._pending[group] = total
        return BASE_S + self._s_per_token * total

    def note_first_token(
        self, request_id: str, group: str, waited: float, now: float
    ) -> bool:
        """Note the first token, and tell whether it was not known yet."""
        attempt = self._attempts.get((request_id, group))
        if attempt is None or attempt.progress_at is not None:
            return False
        self._attempts[request_id, group] = attempt._replace(
            progress_at=now, progress=1
        )
        self._discount(group, attempt.uncached)
        if attempt.uncached > MIN_RATE_TOKENS:
            self._learn_rate(max(0.0, waited - BASE_S) / attempt.uncached)
        return True

    def note_progress(
        self, request_id: str, group: str, tokens: int, now: float
    ) -> float | None:
        """Note how many tokens have come.

        Returns:
          The mean time between tokens since the last call in seconds, or
          None when too few have come.
        """
        attempt = self._attempts.get((request_id, group))
        if attempt is None or attempt.progress_at is None:
            return None
        count = tokens - attempt.progress
        if count < MIN_PACE_TOKENS:
            return None
        self._attempts[request_id, group] = attempt._replace(
            progress_at=now, progress=tokens
        )
        return (now - attempt.progress_at) / count

    def finish(self, request_id: str, group: str) -> bool:
        """Take out an attempt, and tell whether it was in progress."""
        attempt = self._attempts.pop((request_id, group), None)
        if attempt is None:
            return False
        if attempt.progress_at is None:
            self._discount(group, attempt.uncached)
        return True

    def _learn_rate(self, seconds: float) -> None:
        sample = min(seconds, MAX_RATE_SAMPLE * self._s_per_token)
        self._s_per_token += RATE_WEIGHT * (sample - self._s_per_token)

    def _discount(self, group: str, tokens: float) -> None:
        left = self._pending.get(group, 0.0) - tokens
        if left > 0.5:
            self._pending[group] = left
        else:
            self._pending.pop(group, None)

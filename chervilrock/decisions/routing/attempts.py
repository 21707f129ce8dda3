"""Own attempts in progress, and the token times that they show."""

from typing import NamedTuple

CACHED_FIRST_TOKEN_S = 0.03
"""Time to the first token of a prompt that is fully cached."""

INITIAL_PREFILL_S_PER_TOKEN = 1e-4
PREFILL_WEIGHT = 0.02
"""Weight of a new sample in the moving mean of the time per prompt token."""

MAX_PREFILL_SAMPLE_RATIO = 10.0
"""Greatest sample, in multiples of the mean.

A sample includes the time that the prompt waited at the engine, which is not
time of computation.
"""

MIN_PREFILL_TOKENS = 64
MIN_DECODED_TOKENS = 4
"""Least number of tokens from which the time per token is computed."""


class _Attempt(NamedTuple):
    uncached_tokens: float
    progress_at: float | None
    answer_tokens: int


class AttemptTracker:
    """Attempts in progress by request and group, with the prefill speed."""

    def __init__(self) -> None:
        """Create a tracker without attempts."""
        self._attempts: dict[tuple[str, str], _Attempt] = {}
        self._pending_tokens: dict[str, float] = {}
        self._prefill_s_per_token = INITIAL_PREFILL_S_PER_TOKEN

    def count_pending_tokens(self, group: str) -> float:
        """Return the uncached tokens of own prompts without a first token."""
        return self._pending_tokens.get(group, 0.0)

    def start(
        self, request_id: str, group: str, uncached_tokens: float
    ) -> float:
        """Add an attempt.

        Args:
          request_id: identity of the request.
          group: group that it is sent to.
          uncached_tokens: prompt tokens that the group has to compute.

        Returns:
          The expected time to the first token in seconds.
        """
        pending_tokens = self.count_pending_tokens(group) + uncached_tokens
        self._attempts[request_id, group] = _Attempt(uncached_tokens, None, 0)
        self._pending_tokens[group] = pending_tokens
        return CACHED_FIRST_TOKEN_S + self._prefill_s_per_token * pending_tokens

    def record_first_token(
        self, request_id: str, group: str, waited_s: float, now: float
    ) -> bool:
        """Record the first token; return False if it was recorded already.

        It also returns False for an unknown attempt.
        """
        attempt = self._attempts.get((request_id, group))
        if attempt is None or attempt.progress_at is not None:
            return False
        self._attempts[request_id, group] = attempt._replace(
            progress_at=now, answer_tokens=1
        )
        self._subtract_pending(group, attempt.uncached_tokens)
        if attempt.uncached_tokens > MIN_PREFILL_TOKENS:
            self._update_prefill_speed(
                max(0.0, waited_s - CACHED_FIRST_TOKEN_S)
                / attempt.uncached_tokens
            )
        return True

    def record_progress(
        self, request_id: str, group: str, tokens: int, now: float
    ) -> float | None:
        """Record how many tokens of the answer have come.

        Returns:
          The mean time between tokens in seconds since the last progress
          that was recorded, or None when fewer than `MIN_DECODED_TOKENS`
          tokens have come since then.
        """
        attempt = self._attempts.get((request_id, group))
        if attempt is None or attempt.progress_at is None:
            return None
        count = tokens - attempt.answer_tokens
        if count < MIN_DECODED_TOKENS:
            return None
        self._attempts[request_id, group] = attempt._replace(
            progress_at=now, answer_tokens=tokens
        )
        return (now - attempt.progress_at) / count

    def finish(self, request_id: str, group: str) -> bool:
        """Remove an attempt, and return whether it was in progress."""
        attempt = self._attempts.pop((request_id, group), None)
        if attempt is None:
            return False
        if attempt.progress_at is None:
            self._subtract_pending(group, attempt.uncached_tokens)
        return True

    def _update_prefill_speed(self, s_per_token: float) -> None:
        sample = min(
            s_per_token, MAX_PREFILL_SAMPLE_RATIO * self._prefill_s_per_token
        )
        self._prefill_s_per_token += PREFILL_WEIGHT * (
            sample - self._prefill_s_per_token
        )

    def _subtract_pending(self, group: str, tokens: float) -> None:
        remaining = self._pending_tokens.get(group, 0.0) - tokens
        if remaining > 0.5:
            self._pending_tokens[group] = remaining
        else:
            self._pending_tokens.pop(group, None)

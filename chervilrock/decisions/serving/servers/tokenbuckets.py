"""Token buckets of one process under a bound that all processes share.

A restarted process has lost what its predecessor used, so its bucket starts
empty and refills anew. What a chain of processes uses in any window is then no
more than the maximum balance and what was refilled within the window, however
often and whenever they restart.
"""

from typing import NamedTuple

MIN_MAX_BALANCE = 1.0
"""Lower bound of the maximum balance; with less, no token could ever be
used."""

BALANCE_FRACTION = 0.75
"""Fraction of a share that may be saved up and used at once; the rest is
refilled evenly over the window. So the number of processes may grow by a third
before the others are informed, and all stay within the bound."""


class Share(NamedTuple):
    """A process's share of what all may use in a window.

    Attributes:
      max_balance: maximum balance of its bucket.
      refill_per_window: tokens that it gets over a window.
    """

    max_balance: float
    refill_per_window: float


def divide_equally(amount: float, processes: int) -> Share:
    """Return the equal share of one process.

    Args:
      amount: what all processes together may use in a window.
      processes: number of the processes.
    """
    share = amount / max(1, processes)
    max_balance = max(MIN_MAX_BALANCE, BALANCE_FRACTION * share)
    return Share(
        max_balance=max_balance,
        refill_per_window=max(0.0, share - max_balance),
    )


class TokenBucket:
    """A token bucket that starts empty, with reserved tokens.

    A token is often used some time after the decision to use it, and sometimes
    never: such a token is reserved, and counts in the balance until it is spent
    or released.
    """

    def __init__(self) -> None:
        """Create an empty bucket."""
        self._balance = 0.0
        self._reserved = 0

    @property
    def available(self) -> float:
        """Tokens that may still be reserved, a fraction included."""
        return self._balance - self._reserved

    def refill(self, amount: float, max_balance: float) -> None:
        """Add to the balance, up to its maximum."""
        self._balance = min(self._balance + amount, max_balance)

    def reserve(self) -> bool:
        """Reserve one token; return whether one was available."""
        if self.available < 1:
            return False
        self._reserved += 1
        return True

    def spend(self) -> None:
        """Consume a reserved token."""
        self._reserved -= 1
        self._balance -= 1

    def release(self) -> None:
        """Give up a reserved token."""
        self._reserved -= 1

    def refund(self, max_balance: float) -> None:
        """Return a token that was spent but not used after all."""
        self.refill(1.0, max_balance)

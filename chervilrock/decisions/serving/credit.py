"""Credit of one process under a bound that all processes share.

A process that starts again has forgotten what its predecessor used, so it
starts with nothing and earns anew. What a chain of processes uses in any
window is then no more than the greatest balance and what was earned within the
window, however often and whenever they start again.
"""

from typing import NamedTuple

LEAST_BALANCE = 1.0
"""Least balance that may be kept; with less, nothing could ever be used."""

KEPT_PART = 0.75
"""Part of a share that may be kept for later and used at once; the rest comes
evenly over the window. So a third more processes may come, while the others do
not hear of it, and all stay within the bound."""


class Share(NamedTuple):
    """A process's share of what all may use in a window.

    Attributes:
      kept: greatest balance.
      earned: what it earns over a window.
    """

    kept: float
    earned: float


def deal_share(amount: float, sharers: int) -> Share:
    """Return the equal share of one process.

    Args:
      amount: what all processes together may use in a window.
      sharers: number of the processes.
    """
    share = amount / max(1, sharers)
    kept = max(LEAST_BALANCE, KEPT_PART * share)
    return Share(kept=kept, earned=max(0.0, share - kept))


class Credit:
    """A token bucket that starts empty, with tokens held for later.

    What is decided now is often used later, and sometimes never: such a token
    is held, and counts in the balance until it is spent or released.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self._balance = 0.0
        self._held = 0

    @property
    def left(self) -> float:
        """What may still be held, a fraction included."""
        return self._balance - self._held

    def earn(self, amount: float, most: float) -> None:
        """Add to the balance, up to the greatest one that may be kept."""
        self._balance = min(self._balance + amount, most)

    def hold(self) -> bool:
        """Hold one token if one is left."""
        if self.left < 1:
            return False
        self._held += 1
        return True

    def spend(self) -> None:
        """Use a token that is held."""
        self._held -= 1
        self._balance -= 1

    def release(self) -> None:
        """Give up a token that is held."""
        self._held -= 1

    def refund(self, most: float) -> None:
        """Take back a token that was spent and not used after all."""
        self.earn(1.0, most)

"""How long a request may wait at a node for a place, and what it is told.

Load pattern: a group falls out and all requests of its model find the other
groups full, or find none at all for the second that a repair takes; bursts
last seconds. A request that waits a moment for a place is served late but
served; one that is sent away comes back once, later still. So a request waits
while a place may be expected in time, and otherwise is refused at once.
"""

from typing import NamedTuple

REPAIR_S = 1.5
"""Usual time until a lost group serves again: it is known after 0.4 s, its
hosts join within 0.2 s to 0.6 s and open in 0.3 s."""

LONGEST_WAIT_PART = 0.35
"""Part of the time limit for which a request waits at most, so that enough
is left to serve it: the longest answers take about half of their limit."""

FULL_WAIT_PART = 0.5
"""Part of the target for which a request waits for a place in full groups; a
place comes free within some tens of milliseconds unless they stay full."""

RETRY_AFTER_S = 0.8
"""Time after which a refused caller is asked back, a little more than half
of a repair. Callers wait up to a third of the time that they have left."""


class Patience(NamedTuple):
    """How long a request waits.

    Attributes:
      wait_s: longest wait for a place in seconds; 0 refuses at once.
      retry_after_s: when the caller is asked back if none comes.
    """

    wait_s: float
    retry_after_s: float


def decide_patience(
    *,
    limit_s: float,
    target_s: float,
    has_endpoints: bool,
    is_forming: bool,
    is_late: bool = False,
) -> Patience:
    """Return how long a request without a place waits.

    Args:
      limit_s: time until the request must have its answer.
      target_s: time to the first event that counts as on time.
      has_endpoints: whether any endpoint serves what is asked for.
      is_forming: whether one is about to.
      is_late: whether it can no longer be on time; it waits for a group that
        is less than half full.
    """
    longest = LONGEST_WAIT_PART * limit_s
    if has_endpoints and is_late:
        return Patience(longest, RETRY_AFTER_S)
    if has_endpoints:
        wait_s = min(FULL_WAIT_PART * target_s, longest)
        return Patience(wait_s, RETRY_AFTER_S)
    if is_forming:
        return Patience(min(REPAIR_S, longest), RETRY_AFTER_S)
    return Patience(0.0, REPAIR_S)

"""How long a request may wait at a node for a place, and what it is told.

Load pattern: a group falls out and all requests of its model find the other
groups full, or find none at all for the second that a repair takes; bursts
last seconds. A request that waits a moment for a place is served late but
served; one that is sent away comes back once, later still. So a request waits
while a place may be expected in time, and otherwise is refused at once.
"""

from typing import NamedTuple

from chervilrock.decisions.serving.lateness import Standing

REPAIR_S = 1.5
"""Usual time until a lost group serves again: it is known after 0.4 s, its
hosts join within 0.2 s to 0.6 s and open in 0.3 s."""

LONGEST_WAIT_PART = 0.35
"""Part of the time limit for which a request waits at most, so that enough
is left to serve it: the longest answers take about half of their limit."""

FULL_WAIT_PART = 0.5
"""Part of the target for which a request waits for a place in full groups; a
place comes free within some tens of milliseconds unless they stay full."""

LATE_WAIT_PART = 0.6
"""Part of its time limit for which a late request waits. It has come back once
mostly, and its caller does not come again; an answer takes a quarter of the
limit."""

BEGUN_WAIT_S = 2.0
"""Longest wait of a stream that was cut; callers give it up then."""

RETRY_AFTER_S = 0.8
"""Time after which a refused caller is asked back, a little more than half
of a repair. Callers wait up to a third of the time that they have left."""


START_RETRY_AFTER_S = 1.5
"""Time after which a caller is asked back that came to a node without a
configuration: all nodes have just started, or the store is away as well, and
groups serve a second after that. In 2.5 s in which 232 nodes waited for the
store, callers that were asked back after 0.5 s got 3,459 refusals."""


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
    standing: Standing = Standing.ON_TIME,
) -> Patience:
    """Return how long a request without a place waits.

    Args:
      limit_s: time until the request must have its answer.
      target_s: time to the first event that counts as on time.
      has_endpoints: whether any endpoint serves what is asked for.
      is_forming: whether one is about to.
      standing: how the request stands; a late one waits for a group that is
        less than half full.
    """
    if not has_endpoints and not is_forming:
        return Patience(0.0, REPAIR_S)
    if standing is Standing.BEGUN:
        return Patience(min(BEGUN_WAIT_S, limit_s), RETRY_AFTER_S)
    if standing is Standing.LATE:
        return Patience(LATE_WAIT_PART * limit_s, RETRY_AFTER_S)
    longest = LONGEST_WAIT_PART * limit_s
    wait_s = FULL_WAIT_PART * target_s if has_endpoints else REPAIR_S
    return Patience(min(wait_s, longest), RETRY_AFTER_S)

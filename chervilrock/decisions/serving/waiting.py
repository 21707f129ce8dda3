"""How long a request may wait at a node for a place, and what it is told.

Load pattern: a group falls out and all requests of its model find the other
groups full, or find none at all for the second that a repair takes; bursts
last seconds. A request waits while it can be on time. After that it waits as a
late one, for places that nobody needs who can be on time, until its caller
would give up; but when the groups that there are have been full for longer than
a repair takes, callers are better told at once, and asked back later.
"""

import math
from typing import NamedTuple

from chervilrock.decisions.serving.lateness import Standing

REPAIR_S = 1.5
"""Usual time until a lost group serves again: it is known after 0.4 s, its
hosts join within 0.2 s to 0.6 s and open in 0.3 s."""

LATE_WAIT_PART = 0.6
"""Part of its time limit for which a late request waits at most, so that
enough is left to serve it."""

GIVE_UP_S = 2.0
GIVE_UP_TARGETS = 4.0
GIVE_UP_PAUSES = 8.0
"""Callers give a stream up when it makes no event, not even a first one, for
the longest of this time, so many targets and so many longest pauses."""

LINK_S = 0.1
"""Time beside the wait until the caller has the first event: links, and a node
that has much to do."""

LEAST_WAIT_S = 0.005
"""Shortest wait; what is left of the time to be on time may be next to
nothing."""

BEGUN_WAIT_S = 2.0
"""Longest wait of a stream that was cut; callers give it up then."""

RETRY_AFTER_S = 0.8
"""Time after which a refused caller is asked back, a little more than half
of a repair. Callers wait up to a third of the time that they have left."""

LONGEST_RETRY_AFTER_S = 4.0
"""Longest time after which a caller is asked back when places are short."""

SPREAD = 0.25
"""Part of this time by which it differs between callers, so that those who
were refused together do not come back together."""

START_RETRY_AFTER_S = 1.5
"""Time after which a caller is asked back that came to a node without a
configuration: all nodes have just started, or the store is away as well, and
groups serve a second after that."""


class Patience(NamedTuple):
    """How long a request waits.

    Attributes:
      wait_s: longest wait for a place in seconds; 0 refuses at once.
      retry_after_s: when the caller is asked back if none comes.
    """

    wait_s: float
    retry_after_s: float


class Prospect(NamedTuple):
    """What a request without a place can expect.

    Attributes:
      has_endpoints: whether any endpoint serves what is asked for.
      is_forming: whether one is about to.
      short_s: for how long places have been short, in seconds.
      limited_s: time until this node may send a request, where all endpoints
        limit how many they get; infinite for never, 0 without limits.
    """

    has_endpoints: bool
    is_forming: bool
    short_s: float = 0.0
    limited_s: float = 0.0


class Wait(NamedTuple):
    """A request that has no place.

    Attributes:
      standing: how it stands.
      limit_s: time until it must have its answer, in seconds.
      on_time_s: time for which it can wait and still be on time.
      gives_up_s: time after which its caller gives up, if it has no event.
    """

    standing: Standing
    limit_s: float
    on_time_s: float
    gives_up_s: float


def find_give_up(target_s: float, pause_s: float) -> float:
    """Return when a caller gives up a stream without an event, in seconds.

    Args:
      target_s: time to the first event that counts as on time.
      pause_s: longest pause between two events that counts as on time.
    """
    return max(GIVE_UP_S, GIVE_UP_TARGETS * target_s, GIVE_UP_PAUSES * pause_s)


def decide_patience(wait: Wait, prospect: Prospect, draw: float) -> Patience:
    """Return how long a request without a place waits.

    Args:
      wait: the request.
      prospect: what it can expect.
      draw: random number from 0 to 1.
    """
    if not prospect.has_endpoints and not prospect.is_forming:
        return Patience(0.0, REPAIR_S)
    if not _can_outlast_limit(wait, prospect):
        return Patience(0.0, _find_limited_return(prospect, draw))
    if wait.standing is Standing.BEGUN:
        return Patience(min(BEGUN_WAIT_S, wait.limit_s), RETRY_AFTER_S)
    longest_s = max(0.0, min(LATE_WAIT_PART * wait.limit_s, wait.gives_up_s))
    if wait.standing is Standing.ON_TIME:
        wait_s = REPAIR_S
        if prospect.has_endpoints:
            wait_s = max(LEAST_WAIT_S, wait.on_time_s)
        return Patience(min(wait_s, longest_s), RETRY_AFTER_S)
    is_short = prospect.has_endpoints and prospect.short_s >= REPAIR_S
    if not is_short:
        return Patience(longest_s, RETRY_AFTER_S)
    retry_after_s = min(LONGEST_RETRY_AFTER_S, prospect.short_s)
    return Patience(0.0, _spread(retry_after_s, draw))


def _can_outlast_limit(wait: Wait, prospect: Prospect) -> bool:
    """Tell whether a request may get one of the few sends of limited servers.

    Streams that were cut do, and those that can still be on time.
    """
    if not prospect.limited_s:
        return True
    if wait.standing is Standing.BEGUN:
        return prospect.limited_s <= min(BEGUN_WAIT_S, wait.limit_s)
    is_in_time = prospect.limited_s <= wait.on_time_s
    return wait.standing is Standing.ON_TIME and is_in_time


def _find_limited_return(prospect: Prospect, draw: float) -> float:
    """Return when a caller is asked back that limited servers cannot serve.

    It comes to any node, so a node that never sends to them asks it back as
    soon as usual.
    """
    if math.isinf(prospect.limited_s):
        return _spread(RETRY_AFTER_S, draw)
    return _spread(
        max(RETRY_AFTER_S, min(LONGEST_RETRY_AFTER_S, prospect.limited_s)),
        draw,
    )


def _spread(retry_after_s: float, draw: float) -> float:
    """Return a time near another one, not the same for all callers."""
    return retry_after_s * (1.0 + SPREAD * (2.0 * draw - 1.0))

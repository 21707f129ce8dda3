"""How long a request may wait at a node for a slot, and when to retry later.

Load pattern: a group fails and all requests of its model find the other groups
full, or find none at all for the second that a repair takes; bursts last
seconds. A request waits while it can be on time. After that it waits as a late
one, for slots that no request needs that can still be on time, until its caller
would give up; but when the existing groups have been full for longer than a
repair takes, it is better to reject callers at once and ask them to retry
later.

An interrupted stream is different: its caller has a part of the answer, which
is lost if the stream ends. It waits until its time limit, also while all
servers pause for longer: groups that form meanwhile have not stated a pause.
"""

import math
from typing import NamedTuple

from chervilrock.decisions.serving.admission.lateness import Timeliness

REPAIR_S = 1.5
"""Usual time until a lost group serves again: the loss is detected after 0.4 s,
the hosts join within 0.2 s to 0.6 s and open in 0.3 s."""

LATE_WAIT_FRACTION = 0.6
"""Fraction of its time limit for which a late request waits at most, so that
enough time remains to serve it."""

MIN_GIVE_UP_S = 2.0
GIVE_UP_TARGETS = 4.0
GIVE_UP_PAUSES = 8.0
"""Callers give up a stream that produces no event, not even a first one, for
the longest of this time, this many targets and this many longest pauses."""

DELIVERY_MARGIN_S = 0.1
"""Time in addition to the wait until the caller has the first event: network
links, and a busy node."""

MIN_WAIT_S = 0.005
"""Shortest wait; the time left to be on time may be close to zero."""

RETRY_AFTER_S = 0.8
"""Time after which a rejected caller is asked to retry, a little more than
half of a repair. Callers wait up to a third of the time that they have
left."""

MAX_RETRY_AFTER_S = 4.0
"""Longest time after which a caller is asked to retry during a shortage of
slots, or while servers pause. Another node may serve it before."""

MIN_RETRY_AFTER_S = 0.3
"""Shortest time after which a caller is asked to retry that servers have
rejected."""

RETRY_AFTER_JITTER = 0.25
"""Fraction of the retry time by which it varies between callers, so that
callers that were rejected together do not retry together."""

START_RETRY_AFTER_S = 1.5
"""Time after which a caller of a node without a configuration is asked to
retry: all nodes have just started, or the store is unavailable as well, and
groups serve a second after that."""


class WaitDecision(NamedTuple):
    """How long a request waits.

    Attributes:
      wait_s: longest wait for a slot in seconds; 0 rejects at once.
      retry_after_s: seconds after which the caller is asked to retry if no
        slot becomes free.
    """

    wait_s: float
    retry_after_s: float


class Availability(NamedTuple):
    """Availability of endpoints for a request without a slot.

    Attributes:
      has_endpoints: whether any endpoint serves what is requested.
      is_forming: whether one is about to.
      shortage_s: for how long there has been a shortage of slots, in seconds.
      limit_wait_s: seconds until this node may send a request, where all
        endpoints limit how many they get; infinite for never, 0 without
        limits.
      pause_wait_s: seconds until the first endpoint takes requests of this
        node again, where all pause; 0 otherwise.
      has_evacuation: whether a data centre is evacuated, whose endpoints are
        not counted.
      hopeless_s: for how long requests of its priority have got no slot, in
        seconds, if it cannot expect one in time; 0 otherwise.
    """

    has_endpoints: bool
    is_forming: bool
    shortage_s: float = 0.0
    limit_wait_s: float = 0.0
    pause_wait_s: float = 0.0
    has_evacuation: bool = False
    hopeless_s: float = 0.0


class WaitingRequest(NamedTuple):
    """A request that has no slot.

    Attributes:
      timeliness: whether it has begun, can be on time or is late.
      limit_s: time until it must have its answer, in seconds.
      on_time_s: seconds for which it can wait and still be on time.
      gives_up_s: seconds after which its caller gives up without an event.
    """

    timeliness: Timeliness
    limit_s: float
    on_time_s: float
    gives_up_s: float


def find_give_up(target_s: float, pause_s: float) -> float:
    """Return after how many seconds a caller gives up without an event.

    Args:
      target_s: time to the first event that counts as on time.
      pause_s: longest pause between two events that counts as on time.
    """
    return max(
        MIN_GIVE_UP_S, GIVE_UP_TARGETS * target_s, GIVE_UP_PAUSES * pause_s
    )


def decide_wait(
    request: WaitingRequest, availability: Availability, draw: float
) -> WaitDecision:
    """Return how long a request without a slot waits.

    Args:
      request: the request.
      availability: endpoints that it can expect.
      draw: random number from 0 to 1.
    """
    if request.timeliness is Timeliness.BEGUN:
        return WaitDecision(request.limit_s, RETRY_AFTER_S)
    if not availability.has_endpoints and not availability.is_forming:
        return WaitDecision(0.0, REPAIR_S)
    if not _can_wait_for_limit(request, availability):
        return WaitDecision(0.0, _find_limited_retry_after(availability, draw))
    max_wait_s = _find_max_wait(request)
    if availability.pause_wait_s > max_wait_s:
        return WaitDecision(0.0, find_pause_retry_after(availability, draw))
    if availability.hopeless_s and availability.has_endpoints:
        return WaitDecision(0.0, _spread_retry(availability.hopeless_s, draw))
    if request.timeliness is Timeliness.ON_TIME:
        wait_s = REPAIR_S
        if availability.has_endpoints:
            wait_s = max(MIN_WAIT_S, request.on_time_s)
        return WaitDecision(min(wait_s, max_wait_s), RETRY_AFTER_S)
    is_short_of_capacity = (
        availability.has_endpoints
        and availability.shortage_s >= REPAIR_S
        and not availability.pause_wait_s
    )
    if not is_short_of_capacity:
        return WaitDecision(max_wait_s, RETRY_AFTER_S)
    retry_after_s = min(MAX_RETRY_AFTER_S, availability.shortage_s)
    return WaitDecision(0.0, _add_jitter(retry_after_s, draw))


def _find_max_wait(request: WaitingRequest) -> float:
    """Return the longest time for which a request may wait, in seconds."""
    return max(
        0.0, min(LATE_WAIT_FRACTION * request.limit_s, request.gives_up_s)
    )


def find_pause_retry_after(availability: Availability, draw: float) -> float:
    """Return the retry time of a caller that pausing servers cannot serve.

    It is not before the end of the first pause, unless that is far away.

    Args:
      availability: endpoints that the request can expect.
      draw: random number from 0 to 1.
    """
    wait_s = min(MAX_RETRY_AFTER_S, availability.pause_wait_s)
    return max(MIN_RETRY_AFTER_S, wait_s) * (1.0 + RETRY_AFTER_JITTER * draw)


def _can_wait_for_limit(
    request: WaitingRequest, availability: Availability
) -> bool:
    """Return whether a request may get one of the few sends to limited servers.

    Only requests that can still be on time may.
    """
    if not availability.limit_wait_s:
        return True
    is_in_time = availability.limit_wait_s <= request.on_time_s
    return request.timeliness is Timeliness.ON_TIME and is_in_time


def _find_limited_retry_after(availability: Availability, draw: float) -> float:
    """Return the retry time of a caller that limited servers cannot serve.

    It may retry at any node, so a node that never sends to these servers asks
    it to retry after the usual time.
    """
    if math.isinf(availability.limit_wait_s):
        return _add_jitter(RETRY_AFTER_S, draw)
    return _add_jitter(
        max(RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, availability.limit_wait_s)),
        draw,
    )


def _spread_retry(hopeless_s: float, draw: float) -> float:
    """Return the retry time of a caller that is rejected for its priority.

    Many are rejected within a second, so they are spread over a time as long
    as the time after which they return.
    """
    base_s = max(RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, hopeless_s))
    return base_s * (0.5 + draw)


def _add_jitter(retry_after_s: float, draw: float) -> float:
    """Return a retry time with random jitter."""
    return retry_after_s * (1.0 + RETRY_AFTER_JITTER * (2.0 * draw - 1.0))

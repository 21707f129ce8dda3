"""The clock of a process."""

from collections.abc import Callable
import time

Clock = Callable[[], float]
"""Returns seconds of a monotonic clock that also counts while suspended."""


def read_clock() -> float:
    """Return the present time of this host in seconds.

    CLOCK_BOOTTIME counts while the host is suspended, which CLOCK_MONOTONIC
    does not: a lease must not look young after a suspend.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_day() -> str:
    """Return the present day of the year as MM-DD, in UTC.

    It only selects the costs of the calendar; nothing else depends on it.
    """
    return time.strftime("%m-%d", time.gmtime())

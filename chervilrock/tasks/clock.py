"""The clock of a process."""

from collections.abc import Callable
import time

Clock = Callable[[], float]
"""Returns seconds of a monotonic clock that also counts during a suspend."""


def read_clock() -> float:
    """Return the current time of this host in seconds.

    CLOCK_BOOTTIME keeps counting while the host is suspended. CLOCK_MONOTONIC
    stops, so that an expired lease would look valid after a suspend.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_unix_time() -> float:
    """Return the time of day of this host in seconds since the epoch.

    It may jump, so it only serves to compare dates of other hosts.
    """
    return time.time()


def read_day() -> str:
    """Return the current day of the year as MM-DD, in UTC.

    The day only selects the costs of the calendar.
    """
    return time.strftime("%m-%d", time.gmtime())

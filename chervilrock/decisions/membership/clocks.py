"""Estimates of the age of updates from counters that run like clocks.

Hosts have no common clock, but each counter of the exchange counts tenths of
a second. The smallest observed difference between the local clock and a
counter belongs to an update without delay; the age of later updates follows
from it.
"""

TICK_S = 0.1
"""Unit of a counter in seconds."""

MAX_COUNTER = 2**53
MAX_DRIFT = 0.001
"""Maximum relative difference between the rates of two clocks."""


class ClockEstimate:
    """Estimates when a counter of another node had a value, in local time."""

    __slots__ = ("_offset", "_sampled_at")

    def __init__(self, *, counter: int, now: float) -> None:
        """Create an estimate that assumes no delay for the first value."""
        self._offset = now - counter * TICK_S
        self._sampled_at = now

    def update(self, counter: int, now: float) -> float:
        """Add a value and return the estimated time at which it was sent."""
        drifted = self._offset + MAX_DRIFT * (now - self._sampled_at)
        self._offset = min(drifted, now - counter * TICK_S)
        self._sampled_at = now
        return counter * TICK_S + self._offset

    def expect(self, now: float) -> int:
        """Return the value that the counter should have now."""
        return int((now - self._offset) / TICK_S)


class Counter:
    """A counter of this node, which other nodes may advance."""

    def __init__(self) -> None:
        """Create a counter that is 0 at the first reading."""
        self._value = 0
        self._read_at: float | None = None

    def read(self, now: float) -> int:
        """Return the value at a time; it never decreases."""
        if self._read_at is None or now < self._read_at:
            self._read_at = now
        passed = int((now - self._read_at) / TICK_S)
        self._value += passed
        self._read_at += passed * TICK_S
        return self._value

    def advance(self, value: int, now: float) -> None:
        """Advance the counter to a value that another node reported."""
        if self.read(now) < value < MAX_COUNTER:
            self._value = value
            self._read_at = now

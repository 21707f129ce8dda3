"""The age of news, told by counters that are clocks.

No two hosts share a clock, but each counter of the exchange counts tenths of
a second. The least difference between the own clock and a counter that was
ever seen is that of news without delay, so the age of later news follows.
"""

TICK_S = 0.1
"""Unit of a counter in seconds."""

MAX_COUNTER = 2**53
MAX_DRIFT = 0.001
"""Greatest difference between the rates of two clocks."""


class ClockEstimate:
    """When a counter of another node had a value, on the own clock."""

    __slots__ = ("_offset", "_sampled")

    def __init__(self, *, counter: int, now: float) -> None:
        """Take the first value, as if it had come without delay."""
        self._offset = now - counter * TICK_S
        self._sampled = now

    def take(self, counter: int, now: float) -> float:
        """Take a value and return when it was sent."""
        drifted = self._offset + MAX_DRIFT * (now - self._sampled)
        self._offset = min(drifted, now - counter * TICK_S)
        self._sampled = now
        return counter * TICK_S + self._offset

    def expect(self, now: float) -> int:
        """Return the value that the counter should have now."""
        return int((now - self._offset) / TICK_S)


class Counter:
    """A counter of this node, which others may set forward."""

    def __init__(self) -> None:
        """Start with 0 at the first reading."""
        self._value = 0
        self._read: float | None = None

    def read(self, now: float) -> int:
        """Return the value at a time; it never goes back."""
        if self._read is None or now < self._read:
            self._read = now
        passed = int((now - self._read) / TICK_S)
        self._value += passed
        self._read += passed * TICK_S
        return self._value

    def advance(self, value: int, now: float) -> None:
        """Set the counter forward to a value that another node told."""
        if self.read(now) < value < MAX_COUNTER:
            self._value = value
            self._read = now

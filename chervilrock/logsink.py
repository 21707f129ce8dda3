"""Standard output that never blocks and takes a bounded number of lines."""

import os
import time

LINES_PER_S = 400.0
"""Lines that are written a second on average: a node under full load writes
three lines for each of some fifty requests a second."""

BURST_LINES = 2000.0
"""Lines that may be written at once."""


class BoundedOutput:
    """A text file that drops lines rather than wait.

    Attributes:
      dropped: lines that were dropped since the start.
    """

    def __init__(self, *, descriptor: int) -> None:
        """Write to an open descriptor, which will not block from now on."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._allowance = BURST_LINES
        self._filled = time.monotonic()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        if not self._take_allowance(time.monotonic()):
            self.dropped += 1
            return 0
        try:
            return os.write(self._descriptor, text.encode())
        except OSError:
            # The reader is slow or gone; the count of dropped lines tells it.
            self.dropped += 1
            return 0

    def flush(self) -> None:
        """Do nothing; lines are written at once."""

    def _take_allowance(self, now: float) -> bool:
        filled = self._allowance + LINES_PER_S * (now - self._filled)
        self._allowance = min(BURST_LINES, filled)
        self._filled = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

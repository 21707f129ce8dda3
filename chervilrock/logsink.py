"""Non-blocking, rate-limited log output."""

import os
import time

MAX_LINES_PER_S = 400.0
"""Maximum mean rate: a node under full load logs three lines for each of some
50 requests per second."""

BURST_LINES = 2000.0
"""Maximum number of lines in a burst."""


class BoundedOutput:
    """A text output that drops lines instead of blocking.

    Attributes:
      dropped: number of lines dropped since the start.
    """

    def __init__(self, *, descriptor: int) -> None:
        """Create an output for an open descriptor; set it to non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write a line, or drop it over the rate limit or on a write error."""
        if not self._consume_token(time.monotonic()):
            self.dropped += 1
            return 0
        try:
            return os.write(self._descriptor, text.encode())
        except OSError:
            # The reader is slow or closed; only the drop count reports it.
            self.dropped += 1
            return 0

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def _consume_token(self, now: float) -> bool:
        refilled = self._tokens + MAX_LINES_PER_S * (now - self._refilled_at)
        self._tokens = min(BURST_LINES, refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

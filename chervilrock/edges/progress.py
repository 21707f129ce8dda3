"""Stall detection for the answers of engines."""

GROUP_LOST_TIMEOUT_S = 1.0
"""Time without an event after which a request abandons a group that has lost
members or changed its fencing number."""

STREAM_STALL_TIMEOUT_S = 15.0
"""Time without an event after which a stream is treated as broken."""

END_TIMEOUT_S = 1.0
"""Time that an engine has to close its answer after the last event."""


class Progress:
    """Measures the time since the last progress of an answer."""

    def __init__(self) -> None:
        """Creates a measurement for an answer without events."""
        self._position = 0
        self._last_progress_at = 0.0

    def restart(self, now: float) -> None:
        """Restarts the measurement when a request is sent."""
        self._last_progress_at = now

    def measure_stall_s(self, position: int, paused: bool, now: float) -> float:
        """Returns the time in seconds since the last progress.

        Args:
          position: number of events received so far.
          paused: whether the transfer is paused because the caller does not
            read.
          now: present time.
        """
        if position != self._position or paused:
            self._position = position
            self._last_progress_at = now
        return now - self._last_progress_at


def is_broken(position: int, done: bool, stalled_s: float) -> bool:
    """Returns whether a stalled stream is broken, regardless of its group.

    Args:
      position: number of events received so far.
      done: whether the last event has been received.
      stalled_s: time in seconds since the last progress.
    """
    if done:
        return stalled_s > END_TIMEOUT_S
    return position > 0 and stalled_s > STREAM_STALL_TIMEOUT_S

"""Whether an answer of an engine still gets on."""

GROUP_LOST_S = 1.0
"""Time without an event after which a request leaves a group that is no longer
whole under its fencing number."""

STREAM_STALL_S = 15.0
"""Time without an event after which a stream counts as broken."""

TAIL_S = 1.0
"""Time that an engine has to end its answer after the last event."""


class Progress:
    """Notices how long nothing has come of an answer."""

    def __init__(self) -> None:
        """Starts before anything was sent."""
        self._position = 0
        self._since = 0.0

    def restart(self, now: float) -> None:
        """Takes note that a request was sent."""
        self._since = now

    def measure_silence(
        self, position: int, held_back: bool, now: float
    ) -> float:
        """Returns the time in seconds since something came.

        Args:
          position: events that have come so far.
          held_back: whether nothing can come, since the caller does not read.
          now: present time.
        """
        if position != self._position or held_back:
            self._position = position
            self._since = now
        return now - self._since


def is_broken(position: int, done: bool, silence: float) -> bool:
    """Tells whether a silent stream counts as broken, whatever its group does.

    Args:
      position: events that have come so far.
      done: whether the last event has come.
      silence: time in seconds since something came.
    """
    if done:
        return silence > TAIL_S
    return position > 0 and silence > STREAM_STALL_S

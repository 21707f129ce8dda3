"""When a node exchanges at once instead of at the end of an interval.

A new configuration and a node that is about to leave are urgent. Each node
that learns of them tells a peer at once, then further ones while they had not
heard of it.
"""

ATTEMPTS = 2
"""Peers to tell in vain before a node stops."""

MAX_PROMPT = 12
"""Prompt exchanges after one piece of news."""


class Promptness:
    """Counts the prompt exchanges that are left."""

    def __init__(self) -> None:
        self._revision = 0
        self._departures = 0
        self._vain = 0
        self._left = 0

    def is_due(self, *, revision: int, departures: int) -> bool:
        """Say whether to exchange at once.

        Args:
          revision: configuration revision in force
          departures: count of nodes that were seen to leave or stop
        """
        if revision > self._revision or departures > self._departures:
            self._revision = max(revision, self._revision)
            self._departures = departures
            self._vain = 0
            self._left = MAX_PROMPT
        return self._left > 0

    def note_exchange(self, *, was_useful: bool) -> None:
        """Note an exchange, and whether the peer lacked something."""
        self._left = max(0, self._left - 1)
        self._vain = 0 if was_useful else self._vain + 1
        if self._vain >= ATTEMPTS:
            self._left = 0

"""Immediate exchanges of urgent updates, before the end of an interval.

A new configuration and a node that is about to leave are urgent. Each node
that receives such an update forwards it to a peer immediately, and to further
peers as long as these lacked it.
"""

MAX_USELESS = 2
"""Successive peers that had the update already before a node stops."""

MAX_IMMEDIATE = 12
"""Maximum number of immediate exchanges after one update."""


class ImmediateExchanges:
    """Counts the remaining immediate exchanges."""

    def __init__(self) -> None:
        self._revision = 0
        self._departures = 0
        self._useless = 0
        self._left = 0

    def is_due(self, *, revision: int, departures: int) -> bool:
        """Return whether to exchange immediately.

        Args:
          revision: configuration revision in force
          departures: number of nodes that were observed to leave or stop
        """
        if revision > self._revision or departures > self._departures:
            self._revision = max(revision, self._revision)
            self._departures = departures
            self._useless = 0
            self._left = MAX_IMMEDIATE
        return self._left > 0

    def record_exchange(self, *, was_useful: bool) -> None:
        """Record an exchange, and whether the peer lacked something."""
        self._left = max(0, self._left - 1)
        self._useless = 0 if was_useful else self._useless + 1
        if self._useless >= MAX_USELESS:
            self._left = 0

"""Finds the servers whose entries are absent from a snapshot of the store.

Load pattern: servers leave while the store deletes old records. A removal that
is deleted before it was read shows only in the next snapshot, which lacks the
entry. The pages of a snapshot show the store at different times, so an entry
that was written while they were read may be absent as well.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple


class Absence(NamedTuple):
    """Servers that a snapshot lacks.

    Attributes:
      servers: their identifiers.
      offset: offset up to which the changes after the snapshot were read.
      before: number of servers that were known before.
    """

    servers: frozenset[str]
    offset: int
    before: int


class SnapshotAbsences:
    """Known servers without an entry in the latest snapshot."""

    def __init__(self) -> None:
        """Create a registry before the first snapshot."""
        self._servers: set[str] = set()
        self._before = 0
        self._settled_at = 0

    def record_snapshot(
        self,
        known: Collection[str],
        present: Iterable[str],
        *,
        settled_at: int,
    ) -> None:
        """Record a snapshot.

        Args:
          known: servers that had an entry before.
          present: servers with an entry, whether or not it could be read.
          settled_at: offset up to which changes have to be read before an
            absent entry is known to be gone.
        """
        self._servers = set(known).difference(present)
        self._before = len(known)
        self._settled_at = settled_at

    def record_written(self, server: str) -> None:
        """Record that an entry was read after the snapshot."""
        self._servers.discard(server)

    def take_gone(self, next_offset: int) -> Absence | None:
        """Return the servers that are gone, once.

        Args:
          next_offset: offset up to which the changes were read.

        Returns:
          None if there are none, or if it is not certain yet.
        """
        if not self._servers or next_offset < self._settled_at:
            return None
        gone = frozenset(self._servers)
        self._servers.clear()
        return Absence(gone, next_offset, self._before)

"""The newest entry of each backend server, even if the store serves older ones.

A store that was restored from a backup serves entries that are some seconds
old, in which a server that is leaving seems to be ready again. Each server
counts the writes of its entry, so that an older entry is recognized until the
server has written again.
"""

from collections.abc import Iterable

from chervilrock.decisions.serving.site import BackendServer

MAX_ENTRIES = 16_384
"""Entries that are kept, including those that the store has removed."""


class NewestEntries:
    """Newest entries of servers by server identifier."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._entries: dict[str, BackendServer] = {}
        self._present: set[str] = set()
        self._may_be_outdated = False

    def record_restore(self) -> None:
        """Record that the store was restored from a backup.

        Entries may then be older than those that were read before.
        """
        self._may_be_outdated = True

    def update(self, entry: BackendServer) -> BackendServer:
        """Keep and return the newer of an entry and the known one."""
        self._present.add(entry.server)
        known = self._entries.get(entry.server)
        if (
            self._may_be_outdated
            and known is not None
            and _is_older(entry, known)
        ):
            return known
        while known is None and len(self._entries) >= MAX_ENTRIES:
            oldest = next(iter(self._entries))
            del self._entries[oldest]
            self._present.discard(oldest)
        self._entries[entry.server] = entry
        return entry

    def record_gone(self, server: str) -> None:
        """Record that an entry was removed; its newest version is kept."""
        self._present.discard(server)

    def list_present(self) -> Iterable[BackendServer]:
        """Return the newest entries of the servers that were not removed."""
        return [self._entries[server] for server in sorted(self._present)]


def _is_older(entry: BackendServer, known: BackendServer) -> bool:
    """Return whether an entry was written before the known one.

    A server that does not report its start time may have been restarted.
    """
    is_same_start = (
        entry.started_ms == known.started_ms and entry.started_ms > 0
    )
    return is_same_start and entry.writes < known.writes

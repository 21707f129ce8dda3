"""The newest entry of each backend server, whatever the store gives.

A store that comes back from a copy gives entries that are some seconds old: a
server that leaves seems to be ready again. Each server counts the writes of its
entry, so an older one is known as such until the server has written again.
"""

from collections.abc import Iterable

from chervilrock.decisions.serving.site import BackendServer

MAX_ENTRIES = 16_384
"""Entries that are kept, those of servers that are gone included."""


class NewestEntries:
    """Entries of servers by their identifiers."""

    def __init__(self) -> None:
        """Know no server."""
        self._entries: dict[str, BackendServer] = {}
        self._present: set[str] = set()
        self._has_copies = False

    def note_copy(self) -> None:
        """Note that entries may be older than those that were read before."""
        self._has_copies = True

    def take(self, entry: BackendServer) -> BackendServer:
        """Return the newer one of an entry and the one that is known."""
        self._present.add(entry.server)
        known = self._entries.get(entry.server)
        if self._has_copies and known is not None and _is_older(entry, known):
            return known
        while known is None and len(self._entries) >= MAX_ENTRIES:
            oldest = next(iter(self._entries))
            del self._entries[oldest]
            self._present.discard(oldest)
        self._entries[entry.server] = entry
        return entry

    def note_gone(self, server: str) -> None:
        """Note that a server is gone; its last entry stays known."""
        self._present.discard(server)

    def list_present(self) -> Iterable[BackendServer]:
        """Return the newest entries of the servers that are not gone."""
        return [self._entries[server] for server in sorted(self._present)]


def _is_older(entry: BackendServer, known: BackendServer) -> bool:
    """Tell whether an entry was written before the known one.

    A server that does not tell when it started may have started again.
    """
    is_same_start = entry.born == known.born and entry.born > 0
    return is_same_start and entry.writes < known.writes

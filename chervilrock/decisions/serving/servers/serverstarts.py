"""The latest start of each server that the views of leaders have named.

Load pattern: a server that crashes or is updated starts again under its
identifier within a second and knows nothing of what came before. What a node
keeps by identifier alone - a departure for ten minutes, a limit, a pause, the
requests that run there - would keep requests from the new start.

Starts are only compared with each other, so the clocks of hosts need not agree
with those of nodes.
"""

from collections.abc import Mapping

FORGET_S = 600.0
"""Time without a server in the view after which its start is forgotten: as long
as anything is remembered of a server."""

MAX_ABSENT = 4096
"""Greatest number of absent servers whose starts are remembered."""


class ServerStarts:
    """Latest known start of each server."""

    def __init__(self) -> None:
        """Create a registry that knows no server."""
        self._starts: dict[str, int] = {}
        self._seen_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._starts)

    def find_restarted(self, starts: Mapping[str, int]) -> list[str]:
        """Return the servers that have started again since their known start.

        Args:
          starts: start in Unix milliseconds by server. 0, as in the views of
            nodes of earlier versions, contradicts nothing; an earlier start is
            that of an outdated entry.
        """
        return [
            server
            for server, started_ms in starts.items()
            if 0 < self._starts.get(server, 0) < started_ms
        ]

    def update(self, starts: Mapping[str, int], now: float) -> None:
        """Record the starts that a view names, as for `find_restarted`."""
        for server, started_ms in starts.items():
            if started_ms:
                known = self._starts.get(server, 0)
                self._starts[server] = max(known, started_ms)
                # The servers that were seen last stand at the end.
                self._seen_at.pop(server, None)
                self._seen_at[server] = now
        self._expire(starts, now)

    def _expire(self, present: Mapping[str, int], now: float) -> None:
        """Forget servers that have been absent for long, or are too many."""
        absent = [server for server in self._seen_at if server not in present]
        excess = len(absent) - MAX_ABSENT
        for number, server in enumerate(absent):
            if number < excess or now - self._seen_at[server] > FORGET_S:
                del self._starts[server]
                del self._seen_at[server]

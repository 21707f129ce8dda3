"""Servers that said in an answer that they leave.

A server says so before its entry in the store does, or while the store is
unavailable, and sometimes its entry never does. Its own word goes first.
"""

DEPARTURE_TTL_S = 600.0
"""Time after which a departure is forgotten. A server exits some seconds after
it said that it leaves, and may start again under the same identifier."""


class Departures:
    """Servers that said to one node that they leave."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._stated_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._stated_at)

    def __contains__(self, server: str) -> bool:
        return server in self._stated_at

    def record(self, server: str, now: float) -> bool:
        """Record that a server says that it leaves; return whether it is new.

        A later answer without a word of it does not change it.
        """
        is_new = server not in self._stated_at
        self._stated_at[server] = now
        return is_new

    def find_age(self, server: str, now: float) -> float:
        """Return the seconds since a server last said that it leaves."""
        return now - self._stated_at[server]

    def expire(self, now: float) -> None:
        """Forget the departures of long ago."""
        for server, stated_at in list(self._stated_at.items()):
            if now - stated_at > DEPARTURE_TTL_S:
                del self._stated_at[server]

    def forget(self, server: str) -> None:
        """Forget the departure of a server."""
        self._stated_at.pop(server, None)

    def list_servers(self) -> list[str]:
        """Return the servers, the one that said it first at the front."""
        return list(self._stated_at)

"""Pauses for which servers want no requests of this node.

Load pattern: a server that is overloaded rejects requests for some seconds and
names the time for which it wants none. Requests that no other server takes wait
at the node meanwhile. If all of them were sent when the pause ends, the server
would be overloaded again at once.
"""

from collections.abc import Mapping
from typing import NamedTuple

RESUME_S = 0.5
"""Time after a pause during which the server gets its requests one by one."""

RESUME_INTERVAL_S = 0.05
"""Time between two requests to a server whose pause has just ended."""

RECENT_S = 2.0
"""Time after the request for a pause during which other servers are preferred,
although the pause may have ended."""


class _Pause(NamedTuple):
    """A pause of a server.

    Attributes:
      stated_at: when the server asked for it last.
      ends_at: when it ends.
      next_send_at: when the next request may be sent.
    """

    stated_at: float
    ends_at: float
    next_send_at: float

    @property
    def forget_at(self) -> float:
        """When the pause has no effect any more."""
        return max(self.ends_at + RESUME_S, self.stated_at + RECENT_S)


class ServerPauses:
    """The pauses that servers asked one node for.

    A pause binds only the node that was asked: the server may be free for the
    other nodes.
    """

    def __init__(self) -> None:
        """Create a registry without pauses."""
        self._pauses: dict[str, _Pause] = {}

    def __len__(self) -> int:
        return len(self._pauses)

    def __contains__(self, server: str) -> bool:
        return server in self._pauses

    def record(self, server: str, seconds: float, now: float) -> float:
        """Record that a server asks for a pause.

        A shorter pause does not end a longer one that was stated before.

        Returns:
          The seconds until the pause ends.
        """
        ends_at = now + seconds
        known = self._pauses.pop(server, None)
        if known is not None:
            ends_at = max(ends_at, known.ends_at)
        self._pauses[server] = _Pause(now, ends_at, next_send_at=ends_at)
        return ends_at - now

    def is_pausing(self, server: str, now: float) -> bool:
        """Return whether the pause of a server has not ended yet."""
        pause = self._pauses.get(server)
        return pause is not None and now < pause.ends_at

    def is_recent(self, server: str, now: float) -> bool:
        """Return whether a server asked for a pause a short time ago."""
        pause = self._pauses.get(server)
        return pause is not None and now - pause.stated_at < RECENT_S

    def find_wait(self, server: str, now: float) -> float:
        """Return the seconds until a request may be sent to a server."""
        pause = self._pauses.get(server)
        if pause is None or now >= pause.ends_at + RESUME_S:
            return 0.0
        return max(0.0, pause.next_send_at - now)

    def consume(self, server: str, now: float) -> None:
        """Record that a request is sent to a server."""
        pause = self._pauses.get(server)
        if pause is not None:
            next_send_at = max(pause.ends_at, now + RESUME_INTERVAL_S)
            self._pauses[server] = pause._replace(next_send_at=next_send_at)

    def list_pausing(self, now: float) -> Mapping[str, float]:
        """Return the seconds until the end of each pause, by server."""
        return {
            server: pause.ends_at - now
            for server, pause in self._pauses.items()
            if now < pause.ends_at
        }

    def find_next_end(self, now: float) -> float:
        """Return the seconds until the next pause ends, inf without one."""
        return min(self.list_pausing(now).values(), default=float("inf"))

    def expire(self, now: float) -> None:
        """Forget the pauses that have no effect any more."""
        for server, pause in list(self._pauses.items()):
            if now >= pause.forget_at:
                del self._pauses[server]

    def forget(self, server: str) -> None:
        """Forget the pause of a server."""
        self._pauses.pop(server, None)

    def list_servers(self) -> list[str]:
        """Return the servers, the one that asked first at the front."""
        return list(self._pauses)

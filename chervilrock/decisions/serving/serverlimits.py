"""Limits that servers name: requests a second from all nodes together."""

from collections.abc import Iterable
import enum
from typing import NamedTuple

from chervilrock.decisions.serving.messages import StatedLimit

SAME_PART = 0.1
"""Part of a limit by which another one may differ and count as the same."""


class LimitChange(enum.Enum):
    """What an answer says of a limit that was not known of its server.

    Attributes:
      NAMED: the server names its first limit, or another one.
      ENDED: it names none any more.
      UNREADABLE: it names something that is no number, which changes nothing.
    """

    NAMED = "named"
    ENDED = "ended"
    UNREADABLE = "unreadable"


class _Heard(NamedTuple):
    """What a server said last to this node, and when."""

    rate: float | None
    time: float


def is_same_rate(one: float | None, other: float | None) -> bool:
    """Tell whether two limits need not be told apart; None is no limit."""
    if one is None or other is None:
        return one is other
    return abs(one - other) <= SAME_PART * max(one, other)


class ServerLimits:
    """Limits of servers, as one node knows them."""

    def __init__(self) -> None:
        """Know of none."""
        self._heard: dict[str, _Heard] = {}
        self._unreadable: dict[str, str] = {}

    def find_rate(self, server: str) -> float | None:
        """Return the requests a second that a server takes, None for any."""
        heard = self._heard.get(server)
        return None if heard is None else heard.rate

    def note_answer(
        self, server: str, limit: StatedLimit, now: float
    ) -> LimitChange | None:
        """Take what an answer of a server says.

        Returns:
          What has changed, None for nothing.
        """
        if limit.unreadable:
            former = self._unreadable.get(server)
            self._unreadable[server] = limit.unreadable
            is_new = former != limit.unreadable
            return LimitChange.UNREADABLE if is_new else None
        known = self.find_rate(server)
        if is_same_rate(known, limit.rate):
            return None
        self._heard[server] = _Heard(limit.rate, now)
        if limit.rate is None:
            return LimitChange.ENDED
        return LimitChange.NAMED

    def keep_only(self, servers: Iterable[str]) -> None:
        """Forget the servers that are gone."""
        present = frozenset(servers)
        for known in (self._heard, self._unreadable):
            for server in set(known) - present:
                del known[server]

"""When a server whose entry is gone from the store is taken out of use.

An entry lapses when its server has not written for a few seconds, so that in an
outage of the store entries of sound servers lapse as well; those servers write
again soon after it. Any other removal means that the server leaves, and has to
take effect within two seconds.
"""

from typing import NamedTuple

REWRITE_S = 2.3
"""Time after an outage for entries that lapsed in it: servers that still run
write them again within two seconds."""

MIN_OUTAGE_S = 1.0
"""Least time without an answer in which entries may lapse, well below the time
after which they do."""

MIN_FAILURES = 2
"""Failed reads in a row that show an outage. A single one may be due to its
connection alone."""


class Removal(NamedTuple):
    """A server to take out of use.

    Attributes:
      server: its identifier.
      held_s: time since its removal was read.
    """

    server: str
    held_s: float


class _Pending(NamedTuple):
    read_at: float
    is_announced: bool


class Removals:
    """Removed entries of servers, and whether they may have lapsed."""

    def __init__(self, *, recovered_at: float, now: float) -> None:
        """Create a registry before the first read of the entries.

        Args:
          recovered_at: when the node last saw the store recover.
          now: current time.
        """
        self._answered_at = now
        self._failures = 0
        self._rewritten_at = recovered_at + REWRITE_S
        self._pending: dict[str, _Pending] = {}

    def record_answer(self, now: float) -> None:
        """Record that a read of the entries was answered."""
        if self._is_outage(now):
            self._rewritten_at = now + REWRITE_S
        self._answered_at = now
        self._failures = 0

    def record_failure(self) -> None:
        """Record that a read of the entries was not answered."""
        self._failures += 1

    def record_recovery(self, recovered_at: float) -> None:
        """Record when the store last recovered, whichever calls showed it."""
        self._rewritten_at = max(self._rewritten_at, recovered_at + REWRITE_S)

    def record_restore(self, now: float) -> None:
        """Record that the store was restored from a backup."""
        self._rewritten_at = now + REWRITE_S

    def record_removed(
        self, server: str, now: float, *, is_announced: bool = False
    ) -> None:
        """Record that the entry of a server is gone.

        Args:
          server: identifier of the server.
          now: current time.
          is_announced: whether the server has said that it leaves.
        """
        known = self._pending.get(server, _Pending(now, is_announced))
        self._pending[server] = known._replace(
            is_announced=known.is_announced or is_announced
        )

    def record_written(self, server: str) -> None:
        """Record that a server has written its entry again."""
        self._pending.pop(server, None)

    def take_due(self, now: float) -> list[Removal]:
        """Return the servers to take out of use now, each once."""
        may_have_lapsed = self._is_outage(now) or now < self._rewritten_at
        due = [
            Removal(server, now - pending.read_at)
            for server, pending in self._pending.items()
            if pending.is_announced or not may_have_lapsed
        ]
        for removal in due:
            del self._pending[removal.server]
        return due

    def _is_outage(self, now: float) -> bool:
        """Return whether the store has been away since the last answer."""
        return (
            self._failures >= MIN_FAILURES
            and now - self._answered_at >= MIN_OUTAGE_S
        )

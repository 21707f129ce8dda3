"""What the leader knows of the servers, from their entries and their reports.

Entries may be old, so what a server reported itself outweighs an older entry,
and nothing is done with a host that has not reported in this term.
"""

import enum

from chervilrock.decisions.serving import groupnames
from chervilrock.decisions.serving.orders import ServerReport
from chervilrock.decisions.serving.site import (
    BackendServer,
    Membership,
    MemberState,
)

SLOW_PACE = 2.0
"""Factor on the times of a server from which it counts as slow. A group runs
at the pace of its slowest host, and a group that is twice as slow misses the
longest pause that counts as on time."""

SLOW_S = 6.0
"""Time for which a slow server gets no new group; then it is asked again."""

SLOW_SPELL_S = 8.0
"""Time after a slow server was seen for which others may be slow as well."""

FRESH_S = 2.0
"""Age up to which a report tells the pace of a server."""

DARK_S = 2.0
"""Time for which a server that does not answer gets no new group."""

REPORT_AGE_S = 0.6
"""Greatest age of a report; servers tell some hundred milliseconds."""


class Life(enum.Enum):
    """Which start of a server something tells of.

    Attributes:
      SAME: the one that is known.
      NEW: a later one.
      FORMER: an earlier one, so that it says nothing of the server now.
    """

    SAME = "same"
    NEW = "new"
    FORMER = "former"


class HostBook:
    """Servers, what they hold, and which of them may join a group.

    Attributes:
      servers: servers whose entries are there.
      loaded: model that each server has in memory, as far as it is known.
      cleared: groups whose heads are out, by name and epoch.
      obeyed: orders that a server had obeyed when it last reported, unless it
        was told anything since.
      last_new: when the last new server came.
      began: when the first entry came.
      answered: when any server last reported.
    """

    def __init__(self) -> None:
        """Know no server."""
        self.servers: dict[str, BackendServer] = {}
        self.loaded: dict[str, str] = {}
        self.cleared: set[tuple[str, int]] = set()
        self.obeyed: dict[str, int] = {}
        self.last_new = float("-inf")
        self.began = float("inf")
        self.answered = float("-inf")
        self._former: dict[str, BackendServer] = {}
        self._heard_of: set[str] = set()
        self._joined: set[str] = set()
        self._reported: dict[str, Membership | None] = {}
        self._left: set[tuple[str, int]] = set()
        self._left_at: dict[str, float] = {}
        self._dark: dict[str, float] = {}
        self._slow: dict[str, float] = {}
        self._born: dict[str, int] = {}
        self._unanswered: set[str] = set()
        self._reported_at: dict[str, float] = {}
        self._slow_seen = float("-inf")

    def note_life(self, server: str, born: int) -> "Life":
        """Note which start of a server something tells of.

        A server that starts again under its identifier holds nothing, so all
        that was known of it is forgotten. What it told before was taken for
        newer than its first entry, and it was counted as a member of a group
        that it no longer knew.
        """
        known = self._born.get(server, 0)
        if not known:
            self._born[server] = born
        if not known or born in (known, 0):
            # What does not tell of a start says nothing against the known one.
            return Life.SAME
        if born < known:
            return Life.FORMER
        self._born[server] = born
        self._forget(server)
        return Life.NEW

    def _forget(self, server: str) -> None:
        """Know nothing of a server but that it exists."""
        self._heard_of.discard(server)
        self._joined.discard(server)
        self.loaded.pop(server, None)
        self.obeyed.pop(server, None)
        self._unanswered.discard(server)
        for times in (self._left_at, self._dark, self._slow):
            times.pop(server, None)
        self._reported.pop(server, None)
        self._left = {one for one in self._left if one[0] != server}
        entry = self.servers.get(server)
        if entry is not None:
            self.servers[server] = entry._replace(membership=None)

    def find(self, server: str) -> BackendServer | None:
        """Return a server, also one whose entry was removed."""
        return self.servers.get(server) or self._former.get(server)

    def take_entry(self, entry: BackendServer, now: float) -> Membership | None:
        """Take the entry of a server and return its membership."""
        if entry.server not in self.servers:
            self.last_new = now
        self.began = min(self.began, now)
        corrected = self._correct(entry)
        self.servers[entry.server] = corrected
        membership = corrected.membership
        if membership is None:
            return None
        name = groupnames.parse_name(membership.group)
        if name is not None and membership.state is not MemberState.JOINING:
            self.loaded[entry.server] = name.model
        return membership

    def take_gone(self, server: str) -> None:
        """Take that the entry of a server was removed."""
        gone = self.servers.pop(server, None)
        if gone is not None:
            self._former[server] = gone

    def take_report(
        self, server: str, report: ServerReport, now: float
    ) -> bool:
        """Take the state of a server.

        Returns:
          Whether the server is in a group again that it had left.
        """
        self.answered = now
        self._unanswered.discard(server)
        self._reported_at[server] = now
        if report.pace >= SLOW_PACE:
            self._slow[server] = now + SLOW_S
            self._slow_seen = now
        else:
            self._slow.pop(server, None)
        self._heard_of.add(server)
        self._reported[server] = report.membership
        entry = self.servers.get(server)
        if entry is not None:
            self.servers[server] = entry._replace(
                membership=report.membership, staged=report.staged
            )
        return self._has_rejoined(server, report, now)

    def note_left(self, server: str, epoch: int, now: float) -> None:
        """Note that a server has confirmed that it left a group."""
        self._left.add((server, epoch))
        self._left_at[server] = now

    def note_head_out(self, members: tuple[str, ...]) -> None:
        """Note that the head of a group is out; its members are free."""
        for member in members:
            self._left_at.pop(member, None)

    def note_joined(self, server: str) -> None:
        """Note that a server has obeyed an order to join."""
        self._heard_of.add(server)
        self._joined.add(server)
        self._left_at.pop(server, None)
        self.obeyed.pop(server, None)

    def note_ordered(self, server: str) -> None:
        """Note that a server may have obeyed an order other than to join."""
        self.obeyed.pop(server, None)

    def must_be_unchanged(self, server: str) -> bool:
        """Tell whether a server may join only if it has obeyed nothing since.

        An order of a former leader, or a late one to join its former group,
        may reach it after its report. Once it has joined a group of this term
        it refuses those of earlier terms.
        """
        return server in self._left_at or server not in self._joined

    def note_dark(self, server: str, now: float) -> None:
        """Note that a server is lost; it is used again once it has reported.

        Its entry stays for some seconds, and a group that it was put into
        after a while had to be cleared again.
        """
        self._dark[server] = now + DARK_S
        self._heard_of.discard(server)
        self._unanswered.add(server)

    def note_unanswered(self, server: str) -> None:
        """Note that a server gave no answer to a question."""
        self._unanswered.add(server)
        self._heard_of.discard(server)

    def may_be_slow(self, server: str, now: float) -> bool:
        """Tell whether a server has to be asked for its pace.

        Slow hosts come many at a time. While some are seen, one that has not
        reported lately is as likely as not to make its next group slow, which
        takes two seconds to form and to be found.
        """
        if now - self._slow_seen > SLOW_SPELL_S:
            return False
        reported = self._reported_at.get(server, float("-inf"))
        return now - reported > FRESH_S

    def is_answering(self, server: str) -> bool:
        """Tell whether a server answered when it was last asked, if ever."""
        return server not in self._unanswered

    def has_reported(self, server: str) -> bool:
        """Tell whether a server has told its state in this term."""
        return server in self._heard_of

    def is_slow(self, server: str, now: float) -> bool:
        """Tell whether a server works much slower than others."""
        return self._slow.get(server, now) > now

    def is_unknown_member(self, host: BackendServer) -> bool:
        """Tell whether a host is in a group that it may not be taken from."""
        return self._holds(host.server, host.membership)

    def find_reported(self, server: str) -> Membership | None:
        """Return the group that a server told of, unless it is over.

        Unlike an entry, a report is never older than the orders before it.
        """
        reported = self._reported.get(server)
        return reported if self._holds(server, reported) else None

    def _holds(self, server: str, membership: Membership | None) -> bool:
        """Tell whether a group may still be open that a server is in."""
        if membership is None:
            return False
        key = (membership.group, membership.epoch)
        left = (server, membership.epoch)
        return key not in self.cleared and left not in self._left

    def list_domains(
        self, service: str, now: float
    ) -> dict[str, list[BackendServer]]:
        """Return the hosts of each domain that may be in a group."""
        domains: dict[str, list[BackendServer]] = {}
        for name, server in self.servers.items():
            if name in self._slow and not self.is_slow(name, now):
                # It is asked again before it may be used.
                del self._slow[name]
                self._heard_of.discard(name)
            is_out = (
                server.is_leaving
                or self._dark.get(name, now) > now
                or self.is_slow(name, now)
            )
            if server.service == service and not is_out:
                domains.setdefault(server.domain, []).append(server)
        return domains

    def _correct(self, entry: BackendServer) -> BackendServer:
        """Put what a server reported itself in the place of older news."""
        reported = self._reported.get(entry.server)
        if reported is None:
            return entry
        told = entry.membership
        if told is not None and told.epoch >= reported.epoch:
            return entry
        return entry._replace(membership=reported)

    def _has_rejoined(
        self, server: str, report: ServerReport, now: float
    ) -> bool:
        """Tell whether a late order let a server join what it had left."""
        left_at = self._left_at.get(server)
        if left_at is None or report.membership is None:
            self.obeyed[server] = report.obeyed
            return False
        if now - left_at <= REPORT_AGE_S:
            return False
        self._left.discard((server, report.membership.epoch))
        del self._left_at[server]
        self.obeyed.pop(server, None)
        return True

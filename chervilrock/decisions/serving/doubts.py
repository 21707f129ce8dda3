"""Whether a group that seems to have stopped, or was found, is whole.

The leader asks the members. Silence of one of them means that it is lost only
when somebody else answered meanwhile; else it may be the leader that is slow or
cut off.
"""

from chervilrock.decisions.serving.effects import Effect, Step
from chervilrock.decisions.serving.groupboard import GroupBoard
from chervilrock.decisions.serving.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.hosts import DARK_S
from chervilrock.decisions.serving.orders import ServerReport
from chervilrock.decisions.serving.site import BackendServer, MemberState

ASK_S = 0.1
"""Time between two questions whether a member is ready, or still there."""

FAILURES = 2
"""Unanswered questions after which a member of a doubted group is lost, when
nothing but its entry speaks against it; a packet may be lost. When the streams
of the group are silent as well, one is enough: with two of them a repair took
0.18 s longer."""

HOPELESS_PACE = 6.0
"""Factor on the times of a host from which its group serves nobody: an answer
of 1.4 s takes 8 s, and callers give up. Such a group is taken apart also when
no host stands by: while two of five hosts were twelve times slower for 9 s, 67
callers of one model waited in vain at groups that were kept."""

SURE_S = 1.0
"""Time for which a group that was found whole is not doubted again."""


class Doubts:
    """Questions to the members of groups that are doubted."""

    def __init__(self, *, board: GroupBoard) -> None:
        """Doubt no group yet."""
        self._board = board
        self._needs_witness = False

    def doubt(
        self,
        group: ManagedGroup,
        reason: str,
        now: float,
        *,
        failures: int = FAILURES,
    ) -> None:
        """Ask the members of a group whether they still belong to it."""
        if group.doubted is not None or now < group.sure_until:
            return
        group.doubted = now
        group.failures = {}
        group.failures_allowed = failures
        group.awaited = set(group.members)
        for server in group.members:
            self._board.dispatcher.forget_question(server)
        self._board.note(Step.DOUBTED, group, reason)

    def judge(
        self,
        group: ManagedGroup,
        server: str,
        report: ServerReport | None,
        now: float,
    ) -> None:
        """Take the answer of a member of a doubted group."""
        if report is None:
            asked = self._board.dispatcher.find_question(server, now)
            if self._board.hosts.answered < asked:
                # Nobody answered meanwhile, so it may be this node that is
                # slow or cut off.
                self._board.dispatcher.forget_question(server)
                self._needs_witness = True
                return
            failures = group.failures.get(server, 0) + 1
            group.failures[server] = failures
            self._board.dispatcher.forget_question(server)
            if failures >= group.failures_allowed:
                self._board.hosts.note_dark(server, now)
                self._board.clear(group, f"{server} does not answer", now)
            return
        membership = report.membership
        if membership is None or membership.epoch != group.epoch:
            self._board.clear(group, f"{server} is not a member", now)
        elif membership.state is MemberState.BROKEN:
            self._board.clear(group, f"{server} reports it broken", now)
        elif self._is_too_slow(group, server, report, now):
            self._board.clear(group, f"{server} is slow", now)
        else:
            group.awaited.discard(server)
            if not group.awaited:
                group.doubted = None
                group.sure_until = now + SURE_S
                self._board.note(Step.CONFIRMED, group)

    def _is_too_slow(
        self,
        group: ManagedGroup,
        server: str,
        report: ServerReport,
        now: float,
    ) -> bool:
        """Tell whether a group is better without a slow member, or gone."""
        if report.pace >= HOPELESS_PACE:
            return True
        return self._board.hosts.is_slow(server, now) and self._has_standby(
            group, now
        )

    def _has_standby(self, group: ManagedGroup, now: float) -> bool:
        """Tell whether a host can take the place of one of a group."""
        home = self._board.hosts.servers.get(group.head)
        for other in self._board.groups.values():
            if other.phase is not Phase.STANDBY or other.model != group.model:
                continue
            host = self._board.hosts.servers.get(other.head)
            if host is None or home is None or host.domain != home.domain:
                continue
            if not self._board.hosts.is_slow(other.head, now):
                return True
        return False

    def ask_witness(self, now: float) -> list[Effect]:
        """Ask a head that nobody doubts, when none of the doubted answers.

        Its answer tells a domain that went dark from a leader that is cut off.
        """
        if not self._needs_witness:
            return []
        self._needs_witness = False
        for group in self._board.groups.values():
            if group.phase is Phase.SERVING and group.doubted is None:
                return self._board.ask(group.head, ASK_S, now)
        return []

    def contradicts(
        self, group: ManagedGroup, entry: BackendServer, now: float
    ) -> bool:
        """Tell whether an entry denies a membership that has settled."""
        if now - group.since < DARK_S:
            return False
        membership = entry.membership
        if membership is None or membership.epoch != group.epoch:
            return True
        return membership.state is MemberState.BROKEN

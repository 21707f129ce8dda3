"""The groups that an earlier leader has formed, as its successor finds them."""

from chervilrock.decisions.serving import groupnames
from chervilrock.decisions.serving.doubts import Doubts
from chervilrock.decisions.serving.effects import Step
from chervilrock.decisions.serving.groupboard import GroupBoard
from chervilrock.decisions.serving.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.site import BackendServer, MemberState

ADOPT_S = 0.3
"""Time for the entries of all members of a group that was found to come."""


class Adoption:
    """Takes groups over whose names this leader has not given."""

    def __init__(self, *, board: GroupBoard, doubts: Doubts) -> None:
        """Have found nothing yet.

        Args:
          board: where the groups go.
          doubts: asks whether groups that are open are still whole.
        """
        self._board = board
        self._doubts = doubts
        self._found: dict[tuple[str, int], float] = {}

    def adopt(self, now: float) -> None:
        """Take the groups that an earlier leader has formed."""
        found: dict[tuple[str, int], list[BackendServer]] = {}
        for server in self._board.hosts.servers.values():
            membership = server.membership
            if membership is None:
                continue
            if self._board.is_unknown_member(server):
                key = (membership.group, membership.epoch)
                found.setdefault(key, []).append(server)
        for key, servers in found.items():
            since = self._found.setdefault(key, now)
            if self._is_whole(servers) or now - since >= ADOPT_S:
                del self._found[key]
                self._adopt_group(key, servers, now)

    def _is_whole(self, servers: list[BackendServer]) -> bool:
        """Tell whether servers are all members of a group."""
        memberships = [
            one.membership for one in servers if one.membership is not None
        ]
        engine = self._board.find_engine(servers[0].service)
        name = groupnames.parse_name(memberships[0].group)
        if name is None or engine is None:
            return False
        shape = engine.models.get(name.model)
        size = 1 if name.is_standby or shape is None else shape.size
        return sorted(one.rank for one in memberships) == list(range(size))

    def _adopt_group(
        self, key: tuple[str, int], servers: list[BackendServer], now: float
    ) -> None:
        name = groupnames.parse_name(key[0])
        engine = self._board.find_engine(servers[0].service)
        if name is None or engine is None:
            self._board.hosts.cleared.add(key)
            return
        ranked = sorted(
            (server.membership.rank, server)
            for server in servers
            if server.membership is not None
        )
        group = ManagedGroup(
            name=key[0],
            epoch=key[1],
            model=name.model,
            service=servers[0].service,
            members=tuple(server.server for _, server in ranked),
            is_standby=name.is_standby,
            phase=Phase.FORMING,
            now=now,
        )
        group.may_be_open = not name.is_standby
        self._board.groups[group.name] = group
        self._board.note(Step.FOUND, group)
        for server in servers:
            if server.membership is not None:
                self._board.note_membership(server.server, server.membership)
        group.joined = set(group.members)
        shape = engine.models.get(name.model)
        if shape is not None:
            group.due = now + shape.load_s
        if not self._is_whole(servers):
            group.has_head = ranked[0][0] == 0
            self._board.clear(group, "members are missing", now)
            return
        self._adopt_phase(group, now)

    def _adopt_phase(self, group: ManagedGroup, now: float) -> None:
        """Find out where a group that was found whole stands."""
        membership = self._board.hosts.servers[group.head].membership
        state = MemberState.JOINING if membership is None else membership.state
        if group.is_standby:
            return
        if state is MemberState.OPEN:
            group.move(Phase.SERVING, now)
            self._board.note(Step.SERVING, group, "found open")
            self._doubts.doubt(group, "it was found", now)
        else:
            # Its leader may have given it up, with orders to its members
            # still under way that come after it would have opened.
            self._board.clear(group, f"found {state.value}", now)

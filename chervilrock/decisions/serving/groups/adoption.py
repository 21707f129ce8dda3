"""Adoption of the groups that an earlier leader formed."""

from collections.abc import Iterable

from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.groups.effects import Effect, GroupStep
from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.groups.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.groups.orders import Leave
from chervilrock.decisions.serving.groups.verification import (
    GroupVerifier,
    QUERY_INTERVAL_S,
)
from chervilrock.decisions.serving.site import BackendServer, MemberState

ADOPTION_WAIT_S = 0.3
"""Time to wait for the entries of all members of a group to arrive."""

UNANSWERED_INTERVAL_S = 1.0
"""Time between two status queries of a server that did not answer the last
one."""

IDENTIFICATION_WAIT_S = 1.0
"""Time to wait for the answers that tell two entries of one rank apart."""

DOUBT_S = 1.0
"""Time after which the report of a server counts more than its entry."""

NO_EPOCH = 0
"""Epoch of no group; those of a leader begin with its term."""

_Key = tuple[str, int]
"""Name and epoch of a group."""


class Adoption:
    """Takes over groups of earlier leaders that appear in servers' entries.

    Attributes:
      drained: data centres that are or were evacuated; requests of a group
        that closes there are not cut.
    """

    def __init__(
        self, *, registry: GroupRegistry, verifier: GroupVerifier, term: int
    ) -> None:
        """Create an adoption without groups.

        Args:
          registry: registry that receives the groups.
          verifier: verifies that open groups are still complete.
          term: the term; groups of later ones are left alone.
        """
        self._term = term
        self._registry = registry
        self._verifier = verifier
        self._found_at: dict[_Key, float] = {}
        self.drained: frozenset[str] = frozenset()

    def adopt(self, now: float) -> list[Effect]:
        """Adopt the groups of earlier leaders that the entries name.

        A complete group is adopted at once. Of another one, the entries are
        taken that the reports of their servers confirm: another program may
        have written the others, or copied them.

        Returns:
          Status queries of the servers whose entries are in doubt.
        """
        found: dict[_Key, list[BackendServer]] = {}
        for server in self._registry.hosts.servers.values():
            membership = server.membership
            if (
                membership is not None
                and self._registry.is_unknown_member(server)
                and groupnames.find_term(membership.epoch) <= self._term
            ):
                key = (membership.group, membership.epoch)
                found.setdefault(key, []).append(server)
        self._found_at = {
            key: since for key, since in self._found_at.items() if key in found
        }
        effects: list[Effect] = []
        for key, servers in found.items():
            effects += self._adopt_found(key, servers, now)
        return effects

    def _adopt_found(
        self, key: _Key, servers: list[BackendServer], now: float
    ) -> list[Effect]:
        """Adopt a group, or return the status queries that it needs first."""
        since = self._found_at.setdefault(key, now)
        if groupnames.parse_name(key[0]) is None:
            # A group of another program. Its members leave it before they join
            # one of this leader.
            self._registry.hosts.dissolved.add(key)
            return []
        candidates = [
            server for server in servers if self._is_candidate(server)
        ]
        complete = [
            placed
            for placed in _group_by_place(candidates)
            if self._is_complete(placed)
        ]
        if len(complete) == 1:
            self._adopt_group(key, complete[0], now)
            return []
        confirmed = [
            server for server in candidates if self._is_confirmed(key, server)
        ]
        rivals = _find_rivals(confirmed)
        if rivals and now - since < IDENTIFICATION_WAIT_S:
            return self._identify(key, rivals, now)
        chosen = _choose_by_rank(confirmed)
        is_overdue = now - since >= ADOPTION_WAIT_S
        if chosen and (is_overdue or self._is_complete(chosen)):
            self._adopt_group(key, chosen, now)
            return []
        doubtful = [server for server in candidates if server not in confirmed]
        return self._ask(key, doubtful, now, is_last=now - since >= DOUBT_S)

    def _ask(
        self,
        key: _Key,
        doubtful: list[BackendServer],
        now: float,
        *,
        is_last: bool,
    ) -> list[Effect]:
        """Query servers that have not confirmed their entries.

        Args:
          key: the group that the entries name.
          doubtful: the servers.
          now: current time.
          is_last: whether an entry is out of date if its server has reported
            another state.
        """
        hosts = self._registry.hosts
        effects: list[Effect] = []
        for server in doubtful:
            name = server.server
            if is_last and hosts.has_reported(name):
                hosts.record_left(name, key[1], now, by_order=False)
                continue
            interval_s = (
                QUERY_INTERVAL_S
                if hosts.is_answering(name)
                else UNANSWERED_INTERVAL_S
            )
            effects += self._registry.query(name, interval_s, now)
        return effects

    def _identify(
        self, key: _Key, rivals: list[BackendServer], now: float
    ) -> list[Effect]:
        """Find out which of several entries have the identifier of the server.

        A report does not say whose it is, but a server refuses an order that is
        meant for another one. No server is in a group of the epoch 0, so the
        order has no effect on the right one.
        """
        effects: list[Effect] = []
        for server in rivals:
            order = Leave(key[0], NO_EPOCH)
            effects += self._registry.command(server.server, order, now)
        return effects

    def _is_candidate(self, server: BackendServer) -> bool:
        """Return whether an entry may be that of a member of a group.

        A service that the configuration does not name, or not yet, proves
        nothing about the group.
        """
        has_engine = self._registry.find_engine(server.service) is not None
        is_other = self._registry.hosts.is_misdirected(server.server)
        return has_engine and not is_other

    def _is_confirmed(self, key: _Key, server: BackendServer) -> bool:
        """Return whether a server has reported what its entry says."""
        reported = self._registry.hosts.find_reported_membership(server.server)
        return (
            reported is not None
            and server.membership is not None
            and (reported.group, reported.epoch) == key
            and reported.rank == server.membership.rank
        )

    def _is_complete(self, servers: list[BackendServer]) -> bool:
        """Return whether servers are all the members of a group."""
        memberships = [
            member.membership
            for member in servers
            if member.membership is not None
        ]
        engine = self._registry.find_engine(servers[0].service)
        name = groupnames.parse_name(memberships[0].group)
        if name is None or engine is None:
            return False
        shape = engine.models.get(name.model)
        if shape is None and not name.is_standby:
            return False
        size = 1 if name.is_standby or shape is None else shape.size
        return sorted(member.rank for member in memberships) == list(
            range(size)
        )

    def _adopt_group(
        self, key: _Key, servers: list[BackendServer], now: float
    ) -> None:
        name = groupnames.parse_name(key[0])
        engine = self._registry.find_engine(servers[0].service)
        if name is None or engine is None:
            return
        self._found_at.pop(key, None)
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
        self._registry.groups[group.name] = group
        self._registry.record_change(GroupStep.FOUND, group)
        for server in servers:
            if server.membership is not None:
                self._registry.record_membership(
                    server.server, server.membership
                )
        group.joined = set(group.members)
        shape = engine.models.get(name.model)
        if shape is not None:
            group.due = now + shape.load_s
        if not self._is_complete(servers):
            group.has_head = ranked[0][0] == 0
            self._registry.dissolve(group, "members are missing", now)
            return
        self._adopt_phase(group, now)

    def _adopt_phase(self, group: ManagedGroup, now: float) -> None:
        """Set the phase of an adopted group that is complete."""
        head = self._registry.hosts.servers[group.head]
        membership = head.membership
        state = MemberState.JOINING if membership is None else membership.state
        if group.is_standby:
            return
        if state is MemberState.OPEN:
            group.enter(Phase.SERVING, now)
            self._registry.record_change(GroupStep.SERVING, group, "found open")
            self._verifier.verify(group, "it was found", now)
        elif state is MemberState.CLOSING:
            group.must_finish = head.data_centre in self.drained
            group.enter(Phase.CLOSING, now, "found closing")
            self._registry.record_change(GroupStep.CLOSING, group, group.reason)
        else:
            # Its leader may have abandoned it, and orders to its members that
            # are still in flight may arrive after it would have opened.
            self._registry.dissolve(group, f"found {state.value}", now)


def _group_by_place(
    servers: Iterable[BackendServer],
) -> list[list[BackendServer]]:
    """Return servers by service and fabric domain; a group has one of each."""
    places: dict[tuple[str, str], list[BackendServer]] = {}
    for server in servers:
        place = (server.service, server.domain)
        places.setdefault(place, []).append(server)
    return list(places.values())


def _find_rivals(servers: Iterable[BackendServer]) -> list[BackendServer]:
    """Return the servers that share their rank with another one."""
    ranks: dict[int, list[BackendServer]] = {}
    for server in servers:
        if server.membership is not None:
            ranks.setdefault(server.membership.rank, []).append(server)
    return [
        server
        for sharing in ranks.values()
        if len(sharing) > 1
        for server in sharing
    ]


def _choose_by_rank(servers: Iterable[BackendServer]) -> list[BackendServer]:
    """Return one server of each rank, all of the service of the first one."""
    chosen: dict[int, BackendServer] = {}
    service = ""
    for server in sorted(servers):
        if server.membership is None:
            continue
        service = service or server.service
        if server.service == service:
            chosen.setdefault(server.membership.rank, server)
    return list(chosen.values())

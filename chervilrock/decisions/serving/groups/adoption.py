"""Adoption of the groups that an earlier leader formed."""

from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.groups.effects import GroupStep
from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.groups.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.groups.verification import GroupVerifier
from chervilrock.decisions.serving.site import BackendServer, MemberState

ADOPTION_WAIT_S = 0.3
"""Time to wait for the entries of all members of a group to arrive."""


class Adoption:
    """Takes over groups of earlier leaders that appear in servers' entries.

    Attributes:
      drained: data centres that are or were evacuated; requests of a group
        that closes there are not cut.
    """

    def __init__(
        self, *, registry: GroupRegistry, verifier: GroupVerifier
    ) -> None:
        """Create an adoption without groups.

        Args:
          registry: registry that receives the groups.
          verifier: verifies that open groups are still complete.
        """
        self._registry = registry
        self._verifier = verifier
        self._found_at: dict[tuple[str, int], float] = {}
        self.drained: frozenset[str] = frozenset()

    def adopt(self, now: float) -> None:
        """Adopt each earlier leader's group once it is complete or overdue."""
        found: dict[tuple[str, int], list[BackendServer]] = {}
        for server in self._registry.hosts.servers.values():
            membership = server.membership
            if membership is None:
                continue
            if self._registry.is_unknown_member(server):
                key = (membership.group, membership.epoch)
                found.setdefault(key, []).append(server)
        for key, servers in found.items():
            since = self._found_at.setdefault(key, now)
            if self._is_complete(servers) or now - since >= ADOPTION_WAIT_S:
                del self._found_at[key]
                self._adopt_group(key, servers, now)

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
        size = 1 if name.is_standby or shape is None else shape.size
        return sorted(member.rank for member in memberships) == list(
            range(size)
        )

    def _adopt_group(
        self, key: tuple[str, int], servers: list[BackendServer], now: float
    ) -> None:
        name = groupnames.parse_name(key[0])
        engine = self._registry.find_engine(servers[0].service)
        if name is None or engine is None:
            self._registry.hosts.dissolved.add(key)
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

"""Registry of the groups that a leader manages, with their shared state."""

from chervilrock.decisions.serving.groups.dispatch import Dispatcher
from chervilrock.decisions.serving.groups.effects import (
    Effect,
    GroupChange,
    GroupStep,
)
from chervilrock.decisions.serving.groups.groups import (
    ManagedGroup,
    Phase,
    READY_STATES,
)
from chervilrock.decisions.serving.groups.orders import Order
from chervilrock.decisions.serving.servers.hosts import HostRegistry
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    Membership,
    SiteConfiguration,
)


class GroupRegistry:
    """Groups, hosts and orders of a leader, shared by its decisions.

    Attributes:
      hosts: registry of the servers.
      dispatcher: orders and status queries in flight.
      groups: groups by name.
      configuration: the configuration in force, None before the first.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self.hosts = HostRegistry()
        self.dispatcher = Dispatcher()
        self.groups: dict[str, ManagedGroup] = {}
        self.configuration: SiteConfiguration | None = None
        self._changes: list[GroupChange] = []

    def find_engine(self, service: str) -> EngineProfile | None:
        """Return the engine profile of a service, None for a plain one."""
        if self.configuration is None:
            return None
        known = self.configuration.services.get(service)
        return None if known is None else known.engine

    def find_longest_timeout(self) -> float:
        """Return the longest time limit of all routes, in seconds."""
        if self.configuration is None:
            return 0.0
        routes = self.configuration.routes
        return max((route.timeout_s for route in routes), default=0.0)

    def is_unknown_member(self, host: BackendServer) -> bool:
        """Return whether a host may be in an open group not yet adopted."""
        membership = host.membership
        if membership is None or membership.group in self.groups:
            return False
        return self.hosts.may_be_in_open_group(host)

    def is_in_other_group(self, server: str, epoch: int | None = None) -> bool:
        """Return whether a server may be in a group that it must not leave yet.

        This may be a group that was adopted without the server, or one that
        only its last report names. A standby host is free, since its group ends
        when it is taken.

        Args:
          server: identifier of the server.
          epoch: membership that does not count, None if each one does.
        """
        return any(
            membership.epoch != epoch
            and not self._is_standby(server, membership)
            for membership in self.hosts.list_memberships(server)
        )

    def _is_standby(self, server: str, membership: Membership) -> bool:
        """Return whether a membership is that of a standby host."""
        group = self.groups.get(membership.group)
        return (
            group is not None
            and group.phase is Phase.STANDBY
            and group.head == server
        )

    def record_change(
        self, step: GroupStep, group: ManagedGroup, reason: str = ""
    ) -> None:
        """Record a change of a group for the log."""
        self._changes.append(
            GroupChange(step, group.name, group.members, reason)
        )

    def take_changes(self) -> list[GroupChange]:
        """Return and clear the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def record_membership(self, server: str, membership: Membership) -> None:
        """Record a membership that a server reports or has in its entry."""
        group = self.groups.get(membership.group)
        if group is None or group.epoch != membership.epoch:
            return
        if server in group.members and membership.state in READY_STATES:
            group.ready.add(server)
            self.hosts.loaded[server] = group.model

    def command(self, server: str, order: Order, now: float) -> list[Effect]:
        """Send an order unless it is in flight or its resend is delayed."""
        return self.dispatcher.command(self.hosts.find(server), order, now)

    def query(self, server: str, interval_s: float, now: float) -> list[Effect]:
        """Query a server's status unless it was queried just before."""
        return self.dispatcher.query(self.hosts.find(server), interval_s, now)

    def dissolve(self, group: ManagedGroup, reason: str, now: float) -> None:
        """Begin to dissolve a group."""
        if group.phase is Phase.DISSOLVING:
            return
        group.enter(Phase.DISSOLVING, now, reason)
        group.failures = {}
        group.awaited = set(group.members)
        for server in group.members:
            self.dispatcher.allow_resend(server)
        self.record_change(GroupStep.DISSOLVING, group, reason)

    def remove(self, group: ManagedGroup) -> None:
        """Remove a group that was dissolved or a standby that has ended."""
        if group.head_out or not group.may_be_open:
            self.hosts.dissolved.add((group.name, group.epoch))
        if not group.may_be_open:
            self.hosts.record_unopened(group.name, group.epoch)
        self.groups.pop(group.name, None)
        self.record_change(GroupStep.REMOVED, group, group.reason)

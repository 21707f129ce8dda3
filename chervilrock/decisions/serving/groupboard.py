"""The groups that a leader handles, and what it needs to handle them."""

from chervilrock.decisions.serving.dispatch import Dispatcher
from chervilrock.decisions.serving.effects import Effect, GroupNote, Step
from chervilrock.decisions.serving.groups import (
    ManagedGroup,
    Phase,
    READY_STATES,
)
from chervilrock.decisions.serving.hosts import HostBook
from chervilrock.decisions.serving.orders import Order
from chervilrock.decisions.serving.site import (
    BackendServer,
    EngineProfile,
    Membership,
    SiteConfiguration,
)


class GroupBoard:
    """Groups, hosts and orders of a leader, shared by its decisions.

    Attributes:
      hosts: what is known of the servers.
      dispatcher: orders and questions that are under way.
      groups: groups by name.
      configuration: the configuration in force, None before the first.
    """

    def __init__(self) -> None:
        """Know no group."""
        self.hosts = HostBook()
        self.dispatcher = Dispatcher()
        self.groups: dict[str, ManagedGroup] = {}
        self.configuration: SiteConfiguration | None = None
        self._notes: list[GroupNote] = []

    def find_engine(self, service: str) -> EngineProfile | None:
        """Return how the engines of a service work, None for a plain one."""
        if self.configuration is None:
            return None
        known = self.configuration.services.get(service)
        return None if known is None else known.engine

    def is_unknown_member(self, host: BackendServer) -> bool:
        """Tell whether a host is in a group that was not looked at yet."""
        membership = host.membership
        if membership is None or membership.group in self.groups:
            return False
        return self.hosts.is_unknown_member(host)

    def note(self, step: Step, group: ManagedGroup, reason: str = "") -> None:
        """Note a change of a group for the log."""
        self._notes.append(GroupNote(step, group.name, group.members, reason))

    def take_notes(self) -> list[GroupNote]:
        """Return the notes since the last call."""
        notes, self._notes = self._notes, []
        return notes

    def note_membership(self, server: str, membership: Membership) -> None:
        """Take the membership that a server tells of."""
        group = self.groups.get(membership.group)
        if group is None or group.epoch != membership.epoch:
            return
        if server in group.members and membership.state in READY_STATES:
            group.ready.add(server)
            self.hosts.loaded[server] = group.model

    def command(self, server: str, order: Order, now: float) -> list[Effect]:
        """Give an order unless it is under way."""
        return self.dispatcher.command(self.hosts.find(server), order, now)

    def ask(self, server: str, pause_s: float, now: float) -> list[Effect]:
        """Ask a server for its state unless it was asked just now."""
        return self.dispatcher.ask(self.hosts.find(server), pause_s, now)

    def clear(self, group: ManagedGroup, reason: str, now: float) -> None:
        """Begin to take a group apart."""
        if group.phase is Phase.CLEARING:
            return
        group.move(Phase.CLEARING, now, reason)
        group.failures = {}
        group.awaited = set(group.members)
        for server in group.members:
            self.dispatcher.release(server)
        self.note(Step.CLEARING, group, reason)

    def remove(self, group: ManagedGroup) -> None:
        """Forget a group that was taken apart."""
        if group.head_out or not group.may_be_open:
            self.hosts.cleared.add((group.name, group.epoch))
        self.groups.pop(group.name, None)
        self.note(Step.GONE, group, group.reason)

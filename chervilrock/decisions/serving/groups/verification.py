"""Verification of groups that seem to have stalled or have been adopted.

The leader queries the members. One that does not answer counts as lost only if
another server answered meanwhile; otherwise the leader itself may be slow or
partitioned.
"""

from chervilrock.decisions.serving.groups.effects import Effect, GroupStep
from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.groups.groups import ManagedGroup, Phase
from chervilrock.decisions.serving.groups.orders import ServerReport
from chervilrock.decisions.serving.servers.hosts import UNRESPONSIVE_S
from chervilrock.decisions.serving.site import BackendServer, MemberState

QUERY_INTERVAL_S = 0.1
"""Time between two status queries of a member that joins or is verified."""

DEFAULT_FAILURES_ALLOWED = 2
"""Unanswered status queries after which a member of a group being verified
counts as lost, when only an entry contradicts the group; a packet may be lost.
When the streams of the group have stalled as well, one is enough: a second
query delays each repair by 0.18 s."""

UNUSABLE_TIME_FACTOR = 6.0
"""Time factor of a host from which its group is of no use: an answer of 1.4 s
takes 8 s, and callers give up. Such a group is dissolved even without a standby
host. When such groups were kept while two of five hosts were twelve times
slower for 9 s, 67 callers of one model waited in vain."""

VERIFIED_S = 1.0
"""Time for which a verified group is not verified again."""


class GroupVerifier:
    """Verifies groups by querying the status of their members."""

    def __init__(self, *, registry: GroupRegistry) -> None:
        """Create a verifier without groups to verify."""
        self._registry = registry
        self._needs_reference = False

    def verify(
        self,
        group: ManagedGroup,
        reason: str,
        now: float,
        *,
        failures: int = DEFAULT_FAILURES_ALLOWED,
    ) -> None:
        """Begin to verify that the members of a group still belong to it.

        Args:
          group: the group.
          reason: why it is verified, for the log.
          now: current time.
          failures: unanswered status queries after which a member is lost.
        """
        if group.verifying_since is not None or now < group.verified_until:
            return
        group.verifying_since = now
        group.failures = {}
        group.failures_allowed = failures
        group.awaited = set(group.members)
        for server in group.members:
            self._registry.dispatcher.allow_query(server)
        self._registry.record_change(GroupStep.VERIFYING, group, reason)

    def apply_report(
        self,
        group: ManagedGroup,
        server: str,
        report: ServerReport | None,
        now: float,
    ) -> None:
        """Apply the answer of a member of a group that is being verified.

        Args:
          group: the group.
          server: the member.
          report: its state, None when it did not answer.
          now: current time.
        """
        if report is None:
            queried_at = self._registry.dispatcher.find_query_time(server, now)
            if self._registry.hosts.last_report_at < queried_at:
                # No server answered meanwhile, so this node may be slow or
                # partitioned.
                self._registry.dispatcher.allow_query(server)
                self._needs_reference = True
                return
            failures = group.failures.get(server, 0) + 1
            group.failures[server] = failures
            self._registry.dispatcher.allow_query(server)
            if failures >= group.failures_allowed:
                self._registry.hosts.record_unresponsive(server, now)
                self._registry.dissolve(group, f"{server} does not answer", now)
            return
        membership = report.membership
        if membership is None or membership.epoch != group.epoch:
            self._registry.dissolve(group, f"{server} is not a member", now)
        elif membership.state is MemberState.BROKEN:
            self._registry.dissolve(group, f"{server} reports it broken", now)
        elif self._is_too_slow(group, server, report, now):
            self._registry.dissolve(group, f"{server} is slow", now)
        else:
            group.awaited.discard(server)
            if not group.awaited:
                group.verifying_since = None
                group.verified_until = now + VERIFIED_S
                self._registry.record_change(GroupStep.CONFIRMED, group)

    def _is_too_slow(
        self,
        group: ManagedGroup,
        server: str,
        report: ServerReport,
        now: float,
    ) -> bool:
        """Return whether a member is so slow that its group is dissolved."""
        if report.time_factor >= UNUSABLE_TIME_FACTOR:
            return True
        return self._registry.hosts.is_slow(server, now) and self._has_standby(
            group, now
        )

    def _has_standby(self, group: ManagedGroup, now: float) -> bool:
        """Return whether a standby host can replace a member of a group."""
        if self._registry.hosts.is_evacuated(group.head):
            return False
        head = self._registry.hosts.servers.get(group.head)
        for standby in self._registry.groups.values():
            if (
                standby.phase is not Phase.STANDBY
                or standby.model != group.model
            ):
                continue
            host = self._registry.hosts.servers.get(standby.head)
            if host is None or head is None or host.domain != head.domain:
                continue
            if not self._registry.hosts.is_slow(standby.head, now):
                return True
        return False

    def query_reference_head(self, now: float) -> list[Effect]:
        """Query a head of another group when no member being verified answers.

        Its answer distinguishes an unresponsive domain from a partitioned
        leader.
        """
        if not self._needs_reference:
            return []
        self._needs_reference = False
        for group in self._registry.groups.values():
            if group.phase is Phase.SERVING and group.verifying_since is None:
                return self._registry.query(group.head, QUERY_INTERVAL_S, now)
        return []

    def contradicts(
        self, group: ManagedGroup, entry: BackendServer, now: float
    ) -> bool:
        """Return whether an entry contradicts an established membership."""
        if now - group.since < UNRESPONSIVE_S:
            return False
        membership = entry.membership
        if membership is None or membership.epoch != group.epoch:
            return True
        return membership.state is MemberState.BROKEN

"""The fold of a region stream: controller, groups and owners of hosts.

The state depends on the records alone, never on a clock, so every reader of
the stream comes to the same state. A record names the epoch, the fencing
number or the phase that it supersedes; the first one that fits is accepted.
"""

from collections.abc import Callable
import sys
from typing import Any

import msgspec

from chervilrock.decisions.owners import OwnerTable
from chervilrock.decisions.ownership import (
    Controller,
    Group,
    HostOwnership,
    Ownership,
    RegionImage,
)
from chervilrock.decisions.records import Body, decode_body, SeenRecords
from chervilrock.decisions.verdicts import Reason, Verdict, VerdictKind
from chervilrock.generated.records import (
    ControllerClaimed,
    ControllerReleased,
    ControllerRenewed,
    GroupGranted,
    GroupPhase,
    GroupPhaseChanged,
    GroupRepaired,
    HostCleared,
    HostQuarantined,
    HostReleased,
    SnapshotPart,
    SparesGranted,
    StoredRecord,
)

_ORDER = {
    GroupPhase.LOADING: 0,
    GroupPhase.SERVING: 1,
    GroupPhase.DRAINING: 2,
    GroupPhase.DISSOLVED: 3,
}
_MS = 1000.0


class RegionState:
    """Folded state of a region stream.

    Attributes:
      upto: offset of the last record applied
      epoch: offset of the accepted claim, 0 for none
      renewed: offset of the last accepted claim or renewal, 0 for none
      controller: the controller of this epoch, None after a release
      groups: groups by name; a dissolved group stays until each of its hosts
        is released or quarantined
      owners: owner of each host that is not free
      revoked: hosts that must be proved empty and released
      quarantined: hosts in quarantine
    """

    def __init__(self) -> None:
        """Start with the state of an empty stream."""
        self.upto = 0
        self.epoch = 0
        self.renewed = 0
        self.controller: Controller | None = None
        self.groups: dict[str, Group] = {}
        self._table = OwnerTable()
        self.owners = self._table.owners
        self.revoked = self._table.revoked
        self.quarantined = self._table.quarantined
        self._seen = SeenRecords()
        self._rules: dict[type[Any], Callable[[Any, int], Reason | None]] = {
            ControllerClaimed: self._claim,
            ControllerRenewed: self._renew,
            ControllerReleased: self._resign,
            GroupGranted: self._grant,
            GroupRepaired: self._repair,
            SparesGranted: self._grant_spares,
            GroupPhaseChanged: self._change_phase,
            HostReleased: self._release,
            HostQuarantined: self._quarantine,
            HostCleared: self._clear,
            SnapshotPart: self._keep,
        }

    def apply(self, stored: StoredRecord) -> Verdict:
        """Apply the next record and say what came of it."""
        offset = stored.offset
        if offset <= self.upto:
            return Verdict(VerdictKind.SKIPPED, offset)
        self.upto = offset
        body = decode_body(stored.record)
        if body is None:
            return Verdict(VerdictKind.REJECTED, offset, Reason.UNREADABLE)
        if not self._seen.add(stored.record.record_id):
            return Verdict(VerdictKind.DOUBLED, offset, body=body)
        reason = self._judge(body, offset)
        kind = VerdictKind.REJECTED if reason else VerdictKind.ACCEPTED
        return Verdict(kind, offset, reason, body)

    def is_free(self, host: str) -> bool:
        """Return whether no group owns the host."""
        return host not in self.owners

    def export(self) -> str:
        """Return the state as JSON text."""
        image = RegionImage(
            upto=self.upto,
            epoch=self.epoch,
            renewed=self.renewed,
            controller=self.controller,
            groups=tuple(self.groups.values()),
            owners=tuple(HostOwnership(*item) for item in self.owners.items()),
            seen=self._seen.export(),
        )
        return msgspec.json.encode(image).decode()

    @classmethod
    def restore(cls, text: str) -> "RegionState":
        """Return the state that `export` wrote.

        Raises:
          msgspec.DecodeError: the text is no such state.
        """
        image = msgspec.json.decode(text, type=RegionImage)
        state = cls()
        state.upto = image.upto
        state.epoch = image.epoch
        state.renewed = image.renewed
        state.controller = image.controller
        state.groups = {sys.intern(group.name): group for group in image.groups}
        state._seen.restore(image.seen)
        for host, ownership in image.owners:
            state._table.assign(host, ownership)
        return state

    def _judge(self, body: Body, offset: int) -> Reason | None:
        rule = self._rules.get(type(body))
        if rule is None:
            return Reason.FOREIGN_KIND
        return rule(body, offset)

    def _claim(self, body: ControllerClaimed, offset: int) -> Reason | None:
        if body.replaces_epoch != self.epoch:
            return Reason.STALE_EPOCH
        # A taker that reads the log late must not replace a lease which was
        # renewed after the last record that it has read.
        if body.replaces_renewal != self.renewed:
            return Reason.STALE_EPOCH
        self.epoch = offset
        self.renewed = offset
        self.controller = Controller(
            node=body.node,
            address=body.address,
            lease_s=body.lease_ms / _MS,
        )
        return None

    def _renew(self, body: ControllerRenewed, offset: int) -> Reason | None:
        reason = self._check_epoch(body.epoch)
        if reason is None:
            self.renewed = offset
        return reason

    def _resign(self, body: ControllerReleased, _: int) -> Reason | None:
        reason = self._check_epoch(body.epoch)
        if reason is None:
            self.controller = None
        return reason

    def _keep(self, _body: SnapshotPart, _offset: int) -> Reason | None:
        return None

    def _grant(self, body: GroupGranted, offset: int) -> Reason | None:
        reason = self._check_epoch(body.epoch)
        if reason is not None:
            return reason
        if body.group in self.groups:
            return Reason.GROUP_EXISTS
        if not body.group or not _are_distinct(body.hosts):
            return Reason.WRONG_HOSTS
        if any(host in self.owners for host in body.hosts):
            return Reason.HOST_OWNED
        name = sys.intern(body.group)
        hosts = tuple(sys.intern(host) for host in body.hosts)
        self.groups[name] = Group(
            name=name,
            model=sys.intern(body.model),
            version=sys.intern(body.version),
            adapters=body.adapters,
            hosts=hosts,
            domain=sys.intern(body.domain),
            fence=offset,
            phase=GroupPhase.LOADING,
            revision=body.revision,
        )
        for host in hosts:
            self._table.assign(host, Ownership(name, offset))
        return None

    def _repair(self, body: GroupRepaired, offset: int) -> Reason | None:
        reason = self._check_group(body.epoch, body.group, body.fence)
        if reason is not None:
            return reason
        group = self.groups[body.group]
        if group.phase is GroupPhase.DISSOLVED:
            return Reason.WRONG_PHASE
        if body.reserve and body.reserve != group.reserve:
            return Reason.STALE_FENCE
        hosts = tuple(sys.intern(host) for host in body.hosts)
        if len(hosts) != len(group.hosts) or not _are_distinct(hosts):
            return Reason.WRONG_HOSTS
        usable = {*group.hosts, *group.spares}
        if any(h in self.owners and h not in usable for h in hosts):
            return Reason.HOST_OWNED
        fence = body.reserve or offset
        for host in group.hosts:
            if host not in hosts:
                self._table.revoke(host, offset)
        for host in hosts:
            self._table.assign(host, Ownership(group.name, fence))
        self.groups[group.name] = group._replace(
            hosts=hosts,
            domain=sys.intern(body.domain),
            fence=fence,
            phase=GroupPhase.LOADING,
            spares=tuple(host for host in group.spares if host not in hosts),
            reserve=0,
            incarnations=(),
        )
        return None

    def _grant_spares(self, body: SparesGranted, offset: int) -> Reason | None:
        reason = self._check_group(body.epoch, body.group, body.fence)
        if reason is not None:
            return reason
        group = self.groups[body.group]
        if group.phase not in (GroupPhase.LOADING, GroupPhase.SERVING):
            return Reason.WRONG_PHASE
        spares = tuple(sys.intern(host) for host in body.spares)
        if spares and not _are_distinct(spares):
            return Reason.WRONG_HOSTS
        if any(h in self.owners and h not in group.spares for h in spares):
            return Reason.HOST_OWNED
        for host in group.spares:
            if host not in spares:
                self._table.revoke(host, offset)
        for host in spares:
            self._table.assign(host, Ownership(group.name, offset))
        self.groups[group.name] = group._replace(spares=spares, reserve=offset)
        return None

    def _change_phase(
        self, body: GroupPhaseChanged, offset: int
    ) -> Reason | None:
        reason = self._check_group(body.epoch, body.group, body.fence)
        if reason is not None:
            return reason
        group = self.groups[body.group]
        if _ORDER[body.phase] <= _ORDER[group.phase]:
            return Reason.WRONG_PHASE
        if body.incarnations and len(body.incarnations) != len(group.hosts):
            return Reason.WRONG_HOSTS
        self.groups[group.name] = group._replace(
            phase=body.phase, incarnations=body.incarnations
        )
        if body.phase is GroupPhase.DISSOLVED:
            for host in (*group.hosts, *group.spares):
                self._table.revoke(host, offset)
        return None

    def _release(self, body: HostReleased, _: int) -> Reason | None:
        reason = self._check_host(body.epoch, body.host, body.fence)
        if reason is not None:
            return reason
        if body.host in self.quarantined:
            return Reason.HOST_NOT_REVOKED
        name = self.owners[body.host].group
        self._table.remove(body.host)
        self._drop_empty(name)
        return None

    def _quarantine(self, body: HostQuarantined, _: int) -> Reason | None:
        reason = self._check_host(body.epoch, body.host, body.fence)
        if reason is not None:
            return reason
        if body.host in self.quarantined:
            return Reason.HOST_NOT_REVOKED
        self._table.quarantine(body.host)
        self._drop_empty(self.owners[body.host].group)
        return None

    def _clear(self, body: HostCleared, _: int) -> Reason | None:
        reason = self._check_host(body.epoch, body.host, body.fence)
        if reason is not None:
            return reason
        if body.host not in self.quarantined:
            return Reason.HOST_NOT_REVOKED
        self._table.remove(body.host)
        return None

    def _check_epoch(self, epoch: int) -> Reason | None:
        if self.controller is None or epoch != self.epoch:
            return Reason.STALE_EPOCH
        return None

    def _check_group(self, epoch: int, name: str, fence: int) -> Reason | None:
        reason = self._check_epoch(epoch)
        if reason is not None:
            return reason
        group = self.groups.get(name)
        if group is None:
            return Reason.UNKNOWN_GROUP
        return None if group.fence == fence else Reason.STALE_FENCE

    def _check_host(self, epoch: int, host: str, fence: int) -> Reason | None:
        reason = self._check_epoch(epoch)
        if reason is not None:
            return reason
        ownership = self.owners.get(host)
        if ownership is None or not ownership.revoked:
            return Reason.HOST_NOT_REVOKED
        return None if ownership.fence == fence else Reason.STALE_FENCE

    def _drop_empty(self, name: str) -> None:
        """Forget a dissolved group that owns no host any more."""
        group = self.groups.get(name)
        if group is None or group.phase is not GroupPhase.DISSOLVED:
            return
        if not self._table.holds_any(name):
            del self.groups[name]


def _are_distinct(hosts: tuple[str, ...]) -> bool:
    return bool(hosts) and len(set(hosts)) == len(hosts)

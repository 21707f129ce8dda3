"""Rules for the records of a region stream.

Each rule depends only on the record and the state. It either changes the
state or returns the reason for which the record is rejected.
"""

from collections.abc import Callable
import sys
from typing import Any, TYPE_CHECKING

from chervilrock.decisions.ownership import Controller, Group, Ownership
from chervilrock.decisions.verdicts import Reason
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
)

if TYPE_CHECKING:
    from chervilrock.decisions.region import RegionState

_PHASE_ORDER = {
    GroupPhase.LOADING: 0,
    GroupPhase.SERVING: 1,
    GroupPhase.DRAINING: 2,
    GroupPhase.DISSOLVED: 3,
}
_MS_PER_S = 1000.0


def _claim_epoch(
    state: "RegionState", body: ControllerClaimed, offset: int
) -> Reason | None:
    if body.replaces_epoch != state.epoch:
        return Reason.STALE_EPOCH
    # A candidate that reads the log late must not replace a lease that was
    # renewed after the last record that it has read.
    if body.replaces_renewal != state.renewed:
        return Reason.STALE_EPOCH
    state.epoch = offset
    state.renewed = offset
    state.controller = Controller(
        node=body.node,
        address=body.address,
        lease_s=body.lease_ms / _MS_PER_S,
    )
    return None


def _renew_lease(
    state: "RegionState", body: ControllerRenewed, offset: int
) -> Reason | None:
    reason = _check_epoch(state, body.epoch)
    if reason is None:
        state.renewed = offset
    return reason


def _release_controller(
    state: "RegionState", body: ControllerReleased, _: int
) -> Reason | None:
    reason = _check_epoch(state, body.epoch)
    if reason is None:
        state.controller = None
    return reason


def _accept_snapshot_part(
    state: "RegionState", _body: SnapshotPart, _offset: int
) -> Reason | None:
    return None


def _grant_group(
    state: "RegionState", body: GroupGranted, offset: int
) -> Reason | None:
    reason = _check_epoch(state, body.epoch)
    if reason is not None:
        return reason
    if body.group in state.groups:
        return Reason.GROUP_EXISTS
    if not body.group or not _are_distinct(body.hosts):
        return Reason.WRONG_HOSTS
    if any(host in state.owners for host in body.hosts):
        return Reason.HOST_OWNED
    name = sys.intern(body.group)
    hosts = tuple(sys.intern(host) for host in body.hosts)
    state.groups[name] = Group(
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
    owner = Ownership(name, offset)
    for host in hosts:
        state.table.assign(host, owner)
    return None


def _repair_group(
    state: "RegionState", body: GroupRepaired, offset: int
) -> Reason | None:
    reason = _check_group(state, body.epoch, body.group, body.fence)
    if reason is not None:
        return reason
    group = state.groups[body.group]
    if group.phase is GroupPhase.DISSOLVED:
        return Reason.WRONG_PHASE
    if body.reserve and body.reserve != group.reserve:
        return Reason.STALE_FENCE
    hosts = tuple(sys.intern(host) for host in body.hosts)
    if len(hosts) != len(group.hosts) or not _are_distinct(hosts):
        return Reason.WRONG_HOSTS
    usable = {*group.hosts, *group.spares}
    if any(host in state.owners and host not in usable for host in hosts):
        return Reason.HOST_OWNED
    fence = body.reserve or offset
    for host in group.hosts:
        if host not in hosts:
            state.table.revoke(host, offset)
    owner = Ownership(group.name, fence)
    for host in hosts:
        state.table.assign(host, owner)
    state.groups[group.name] = group._replace(
        hosts=hosts,
        domain=sys.intern(body.domain),
        fence=fence,
        phase=GroupPhase.LOADING,
        spares=tuple(host for host in group.spares if host not in hosts),
        reserve=0,
        incarnations=(),
        spare_incarnations=(),
    )
    return None


def _grant_spares(
    state: "RegionState", body: SparesGranted, offset: int
) -> Reason | None:
    reason = _check_group(state, body.epoch, body.group, body.fence)
    if reason is not None:
        return reason
    group = state.groups[body.group]
    if group.phase not in (GroupPhase.LOADING, GroupPhase.SERVING):
        return Reason.WRONG_PHASE
    spares = tuple(sys.intern(host) for host in body.spares)
    if spares and not _are_distinct(spares):
        return Reason.WRONG_HOSTS
    if len(body.incarnations) != len(spares):
        return Reason.WRONG_HOSTS
    if any(
        host in state.owners and host not in group.spares for host in spares
    ):
        return Reason.HOST_OWNED
    for host in group.spares:
        if host not in spares:
            state.table.revoke(host, offset)
    owner = Ownership(group.name, offset)
    for host in spares:
        state.table.assign(host, owner)
    state.groups[group.name] = group._replace(
        spares=spares,
        reserve=offset if spares else 0,
        spare_incarnations=body.incarnations,
    )
    return None


def _change_phase(
    state: "RegionState", body: GroupPhaseChanged, offset: int
) -> Reason | None:
    reason = _check_group(state, body.epoch, body.group, body.fence)
    if reason is not None:
        return reason
    group = state.groups[body.group]
    if _PHASE_ORDER[body.phase] <= _PHASE_ORDER[group.phase]:
        return Reason.WRONG_PHASE
    if body.incarnations and len(body.incarnations) != len(group.hosts):
        return Reason.WRONG_HOSTS
    serving = body.phase is GroupPhase.SERVING
    state.groups[group.name] = group._replace(
        phase=body.phase,
        incarnations=body.incarnations if serving else group.incarnations,
    )
    if body.phase is GroupPhase.DISSOLVED:
        for host in (*group.hosts, *group.spares):
            state.table.revoke(host, offset)
    return None


def _release_host(
    state: "RegionState", body: HostReleased, _: int
) -> Reason | None:
    reason = _check_host(state, body.epoch, body.host, body.fence)
    if reason is not None:
        return reason
    if body.host in state.quarantined:
        return Reason.HOST_NOT_REVOKED
    name = state.owners[body.host].group
    state.table.remove(body.host)
    _remove_if_hostless(state, name)
    return None


def _quarantine_host(
    state: "RegionState", body: HostQuarantined, _: int
) -> Reason | None:
    reason = _check_host(state, body.epoch, body.host, body.fence)
    if reason is not None:
        return reason
    if body.host in state.quarantined:
        return Reason.HOST_NOT_REVOKED
    state.table.quarantine(body.host)
    _remove_if_hostless(state, state.owners[body.host].group)
    return None


def _clear_host(
    state: "RegionState", body: HostCleared, _: int
) -> Reason | None:
    reason = _check_host(state, body.epoch, body.host, body.fence)
    if reason is not None:
        return reason
    if body.host not in state.quarantined:
        return Reason.HOST_NOT_REVOKED
    state.table.remove(body.host)
    return None


def _check_epoch(state: "RegionState", epoch: int) -> Reason | None:
    if state.controller is None or epoch != state.epoch:
        return Reason.STALE_EPOCH
    return None


def _check_group(
    state: "RegionState", epoch: int, name: str, fence: int
) -> Reason | None:
    reason = _check_epoch(state, epoch)
    if reason is not None:
        return reason
    group = state.groups.get(name)
    if group is None:
        return Reason.UNKNOWN_GROUP
    return None if group.fence == fence else Reason.STALE_FENCE


def _check_host(
    state: "RegionState", epoch: int, host: str, fence: int
) -> Reason | None:
    reason = _check_epoch(state, epoch)
    if reason is not None:
        return reason
    ownership = state.owners.get(host)
    if ownership is None or not ownership.revoked:
        return Reason.HOST_NOT_REVOKED
    return None if ownership.fence == fence else Reason.STALE_FENCE


def _remove_if_hostless(state: "RegionState", name: str) -> None:
    """Remove a dissolved group that no longer owns a host."""
    group = state.groups.get(name)
    if group is None or group.phase is not GroupPhase.DISSOLVED:
        return
    if not state.table.holds_any(name):
        del state.groups[name]


def _are_distinct(hosts: tuple[str, ...]) -> bool:
    return bool(hosts) and len(set(hosts)) == len(hosts)


RULES: dict[type[Any], Callable[["RegionState", Any, int], Reason | None]] = {
    ControllerClaimed: _claim_epoch,
    ControllerRenewed: _renew_lease,
    ControllerReleased: _release_controller,
    GroupGranted: _grant_group,
    GroupRepaired: _repair_group,
    SparesGranted: _grant_spares,
    GroupPhaseChanged: _change_phase,
    HostReleased: _release_host,
    HostQuarantined: _quarantine_host,
    HostCleared: _clear_host,
    SnapshotPart: _accept_snapshot_part,
}
"""The rule for each type of body in a region stream."""

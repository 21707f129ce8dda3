"""Log events about a region, each emitted once."""

from collections.abc import Iterable

from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.records import Body
from chervilrock.events import emit, Event
from chervilrock.generated.records import (
    GroupGranted,
    GroupPhase,
    GroupPhaseChanged,
    GroupRepaired,
    HostCleared,
    HostQuarantined,
)

_MS_PER_S = 1000


class RegionEvents:
    """Logs changes of the lease, the groups and the hosts."""

    def __init__(self, *, region: str) -> None:
        """Create a logger with no lease held and no host missing."""
        self._region = region
        self._epoch = 0
        self._missing: dict[str, str] = {}

    def record_trimmed(self, stream: str, wanted: int, first: int) -> None:
        """Log that records were trimmed before they were read."""
        emit(
            Event.LOG_TRIMMED, stream=stream, wanted=wanted, first_offset=first
        )

    def record_lease(self, epoch: int, now: float) -> None:
        """Log that the lease was acquired or lost; without it `epoch` is 0."""
        if epoch == self._epoch:
            return
        if self._epoch:
            emit(
                Event.LEASE_LOST,
                region=self._region,
                epoch=self._epoch,
                reason="lapsed or taken over",
            )
        if epoch:
            emit(Event.LEASE_ACQUIRED, region=self._region, epoch=epoch)
        self._epoch = epoch

    def record_released(self, epoch: int) -> None:
        """Log that this node released the lease."""
        emit(Event.LEASE_RELEASED, region=self._region, epoch=epoch)
        self._epoch = 0

    def record_refused(self, host: str, fence: int, seen: int) -> None:
        """Log that an engine rejected an order."""
        emit(Event.ORDER_REFUSED, host=host, fence=fence, seen=seen)

    def record_accepted(self, body: Body | None, offset: int) -> None:
        """Log the event that an accepted record stands for."""
        if isinstance(body, GroupGranted):
            emit(
                Event.GROUP_GRANTED,
                group=body.group,
                model=body.model,
                hosts=",".join(body.hosts),
                fence=offset,
            )
        elif isinstance(body, GroupRepaired):
            emit(
                Event.GROUP_REPAIRED,
                group=body.group,
                hosts=",".join(body.hosts),
                fence=body.reserve or offset,
            )
        elif isinstance(body, GroupPhaseChanged):
            self._record_phase(body)
        elif isinstance(body, HostQuarantined):
            emit(
                Event.HOST_QUARANTINED,
                host=body.host,
                fence=body.fence,
                reason=body.reason,
            )
        elif isinstance(body, HostCleared):
            emit(Event.HOST_CLEARED, host=body.host, fence=body.fence)

    def _record_phase(self, body: GroupPhaseChanged) -> None:
        if body.phase is GroupPhase.SERVING:
            emit(Event.GROUP_SERVING, group=body.group, fence=body.fence)
        elif body.phase is GroupPhase.DRAINING:
            emit(
                Event.GROUP_DRAINING,
                group=body.group,
                reason=f"epoch {body.epoch} drains it",
            )
        elif body.phase is GroupPhase.DISSOLVED:
            emit(Event.GROUP_DISSOLVED, group=body.group)

    def record_presence(
        self, broken: Iterable[Group], presence: PresenceTable, now: float
    ) -> None:
        """Log hosts of serving groups that went missing or returned.

        Args:
          broken: the serving groups that are incomplete.
          presence: evidence of the hosts.
          now: current time in seconds.
        """
        missing = {
            host: group.name
            for group in broken
            for host in presence.missing(group, now)
            if not _awaits_first_observation(presence, host, now)
        }
        for host, group_name in missing.items():
            if host not in self._missing:
                since = presence.missing_since(host, now) or now
                age_s = now - since + presence.limit
                emit(
                    Event.HOST_MISSING,
                    host=host,
                    group=group_name,
                    age_ms=round(age_s * _MS_PER_S),
                )
        for host, group_name in self._missing.items():
            if host in missing or presence.find(host, now) is None:
                continue
            emit(Event.HOST_RETURNED, host=host, group=group_name)
        self._missing = missing


def _awaits_first_observation(
    presence: PresenceTable, host: str, now: float
) -> bool:
    """Return whether this node has not had time yet to observe a host."""
    if presence.find_last(host) is not None:
        return False
    return now <= presence.created_at + presence.limit

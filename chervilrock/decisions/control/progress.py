"""Pending records, orders and waiting times of the controller.

This state is kept in memory and is lost when the process ends. Losing it is
safe: a record that is appended twice is rejected the second time, an order is
sent again, and a waiting time starts again.
"""

from collections.abc import Hashable, Iterator
import enum
from typing import NamedTuple

from chervilrock.decisions.control.effects import SendOrder
from chervilrock.decisions.records import Body
from chervilrock.generated.interfaces import EngineOrder
from chervilrock.generated.records import (
    GroupGranted,
    GroupRepaired,
    RecordId,
    SparesGranted,
)


class BodyKey(NamedTuple):
    """Fields that are equal in two records of the same step.

    Attributes:
      subject: group or host
      fence: fencing number in the record, 0 for none
      phase: phase that a group enters, empty for none
    """

    body_type: type[Body]
    subject: str
    fence: int
    phase: str


class PendingRecord(NamedTuple):
    """A record that was appended but not yet read back from the log."""

    body: Body
    record_id: RecordId
    since: float


class SentOrder(NamedTuple):
    """The last order to a host.

    Attributes:
      attempts: how often the same order was sent
      sent_at: when it was sent last
    """

    order: EngineOrder
    attempts: int
    sent_at: float


class WatchKind(enum.StrEnum):
    """Kind of a value that is watched for changes."""

    GROUP = "group"
    DRAIN = "drain"
    MODEL = "model"
    REVOCATION = "revocation"


class WatchKey(NamedTuple):
    """A watched group, model or host, identified by its name."""

    kind: WatchKind
    name: str


class StableValue(NamedTuple):
    """A value and the time since which it has not changed."""

    value: Hashable
    since: float


def find_key(body: Body) -> BodyKey:
    """Return the key of the step that a record makes."""
    group: str = getattr(body, "group", "")
    host: str = getattr(body, "host", "")
    fence: int = getattr(body, "fence", 0)
    phase: str = getattr(body, "phase", "")
    return BodyKey(type(body), group or host, fence, phase)


class Progress:
    """Pending records and orders of the controller.

    Attributes:
      grants: number of group grants that this process has appended
      compositions: hosts by rank, for each reserve fencing number of a
        group; chosen once and never changed
    """

    def __init__(
        self,
        *,
        pending_s: float = 5.0,
        retry_s: float = 0.5,
        retry_limit_s: float = 8.0,
    ) -> None:
        """Create a state without pending records and orders.

        Args:
          pending_s: time after which a record that was not read back may be
            appended again.
          retry_s: delay before an order is sent for the second time; doubles
            with each attempt.
          retry_limit_s: greatest delay between two attempts.
        """
        self.grants = 0
        self.compositions: dict[int, tuple[str, ...]] = {}
        self._pending_s = pending_s
        self._retry_s = retry_s
        self._retry_limit_s = retry_limit_s
        self._pending: dict[BodyKey, PendingRecord] = {}
        self._keys: dict[RecordId, BodyKey] = {}
        self._orders: dict[str, SentOrder] = {}
        self._loads: dict[str, float] = {}
        self._unloads: dict[str, float] = {}
        self._stable: dict[WatchKey, StableValue] = {}

    def record_appended(
        self, body: Body, record_id: RecordId, now: float
    ) -> None:
        """Record that a record is being appended."""
        if isinstance(body, GroupGranted):
            self.grants += 1
        key = find_key(body)
        last = self._pending.get(key)
        if last is not None:
            self._keys.pop(last.record_id, None)
        self._pending[key] = PendingRecord(body, record_id, now)
        self._keys[record_id] = key

    def record_read(self, record_id: RecordId) -> None:
        """Record that a record was read back, whether accepted or not."""
        key = self._keys.pop(record_id, None)
        if key is not None:
            del self._pending[key]

    def is_pending(self, body: Body, now: float) -> bool:
        """Return whether a record of the same step is pending."""
        pending = self._pending.get(find_key(body))
        return pending is not None and now < pending.since + self._pending_s

    def list_assignments(
        self, now: float
    ) -> Iterator[GroupGranted | GroupRepaired]:
        """Yield the pending records that assign hosts to a group."""
        for body in self._list_bodies(now):
            if isinstance(body, GroupGranted | GroupRepaired):
                yield body

    def find_assigned_hosts(self, now: float) -> set[str]:
        """Return the hosts that pending records assign to a group."""
        assigned: set[str] = set()
        for body in self._list_bodies(now):
            if isinstance(body, GroupGranted | GroupRepaired):
                assigned.update(body.hosts)
            elif isinstance(body, SparesGranted):
                assigned.update(body.spares)
        return assigned

    def _list_bodies(self, now: float) -> Iterator[Body]:
        """Yield the bodies of the records that count as pending."""
        for pending in self._pending.values():
            if now < pending.since + self._pending_s:
                yield pending.body

    def record_ordered(self, effect: SendOrder, now: float) -> None:
        """Record that an order is being sent."""
        last = self._orders.get(effect.host)
        same = last is not None and last.order == effect.order
        attempts = last.attempts + 1 if last is not None and same else 1
        self._orders[effect.host] = SentOrder(effect.order, attempts, now)
        if effect.order.get("shard") is not None:
            self._loads[effect.host] = now
            self._unloads.pop(effect.host, None)

    def record_answered(
        self,
        host: str,
        order: EngineOrder,
        accepted: bool | None,
        sent_at: float,
    ) -> None:
        """Record the answer to an order.

        Args:
          host: name of the host.
          order: the order that was sent.
          accepted: None when no valid answer was received.
          sent_at: when the order was sent, in seconds.
        """
        if not accepted or order.get("shard") is not None:
            return
        if sent_at > self._loads.get(host, float("-inf")):
            self._unloads[host] = sent_at

    def is_due(self, host: str, order: EngineOrder, now: float) -> bool:
        """Return whether an order may be sent now, new or as a retry."""
        last = self._orders.get(host)
        if last is None or last.order != order:
            return True
        wait = min(
            self._retry_s * 2 ** (last.attempts - 1), self._retry_limit_s
        )
        return bool(now >= last.sent_at + wait)

    def find_load_time(self, host: str) -> float | None:
        """Return when this process last ordered the host to load."""
        return self._loads.get(host)

    def find_unload_time(self, host: str) -> float | None:
        """Return when the last confirmed order to unload was sent.

        Returns:
          Time in seconds; None if the last order to load is newer or no
          order to unload was confirmed.
        """
        return self._unloads.get(host)

    def stable_since(
        self, kind: WatchKind, name: str, value: Hashable, now: float
    ) -> float:
        """Return the time since which this process has seen this value."""
        key = WatchKey(kind, name)
        last = self._stable.get(key)
        if last is None or last.value != value:
            last = self._stable[key] = StableValue(value, now)
        return last.since

    def retain(self, hosts: set[str], groups: set[str]) -> None:
        """Remove all hosts and groups except the given ones."""
        for host in self._orders.keys() - hosts:
            del self._orders[host]
            self._loads.pop(host, None)
            self._unloads.pop(host, None)
        kept = {
            WatchKind.GROUP: groups,
            WatchKind.DRAIN: groups,
            WatchKind.REVOCATION: hosts,
        }
        for key in list(self._stable):
            if key.kind in kept and key.name not in kept[key.kind]:
                del self._stable[key]

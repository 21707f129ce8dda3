"""Servers that warm up: which are cold, and what all nodes may send to them.

Load pattern: a server that starts during traffic tolerates only a few requests
a second for some seconds, and crashes well above that. All nodes see the new
server at once and find it empty, so it would get more than its share.

The bound. In no second may a cold server get more than

    B = warmup_rate x overage + slack

requests of all nodes together. The leader names `k` senders and a total rate
`r`. Each sender has a token bucket that starts empty, refills evenly with
`r / k` tokens a second and never holds more than one token, which it spends
right before the first byte of a request. So a sender sends at most
`1 + r / k x t` requests in any `t` seconds, also across a restart (see
`tokenbuckets`), and a set of senders sends at most `k + r x t`.

Two sets of senders may be at work at a time, with no node in both: one of an
announcement that some nodes have not received, or still use as they are cut
off, and one of its successor. Requests sent within `t = 1 + DELAY_SPREAD_S`
may arrive within one second. Together they stay within the bound if

    2 x (k + r x t) <= B - 1,    so    r = ((B - 1) / 2 - k) / t

For 26 requests a second, an overage of 1.5 and a slack of 5: B = 44, k = 4 and
r = (21.5 - 4) / 1.25 = 14 requests a second. Two sets then send at most
2 x (4 + 14 x 1.25) = 43 < 44. With B < 3 not even one request of each set
fits, so a cold server gets none.

A third set would need a sender that is replaced twice within a second, which
`limitregistry` excludes, or senders of three announcements that are cut off
from the leader one after the other while one server is cold.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

from chervilrock.decisions.serving.site import (
    BackendServer,
    Service,
    SiteConfiguration,
)

DELAY_SPREAD_S = 0.25
"""By how much the delays of two requests to a server may differ. A lost packet
is sent again after 0.2 s."""

SETS = 2
"""Sets of senders, with no node in common, that together stay in the bound."""

MAX_SENDERS = 4
"""Greatest number of senders of a cold server: after the loss of one, three
quarters of its requests still reach it."""

REQUESTS_PER_SENDER = 4
"""Requests of the bound of one set for each of its senders. One of them is the
token that the sender may have saved up, so most of the bound is refilled."""

REQUEST_S = 0.5
"""Time for which a request takes a slot at least. Longer requests need fewer a
second to fill all slots, so the slots that are counted are a lower bound."""

MAX_SERVERS = 16_384
"""Servers that are remembered, including those that have ended."""

_MS_PER_S = 1000.0


class WarmupBounds(NamedTuple):
    """How far the requests to a cold server may exceed what it tolerates.

    Attributes:
      overage: factor on the requests a second.
      slack: further requests in a second.
    """

    overage: float = 1.5
    slack: float = 5.0

    def find_allowed(self, per_s: float) -> float:
        """Return how many requests a cold server may get in any second."""
        return per_s * self.overage + self.slack


DEFAULT_BOUNDS = WarmupBounds()


class ColdServer(NamedTuple):
    """A server that warms up.

    Attributes:
      allowed: requests that it may get in any second from all nodes.
      slots: slots of its group, 0 for a plain server.
    """

    allowed: float
    slots: int = 0


def count_senders(allowed: float) -> int:
    """Return the number of nodes that may send to a cold server.

    Args:
      allowed: requests that it may get in any second from all nodes.
    """
    of_set = _find_part(allowed)
    if of_set < 1:
        return 0
    return min(MAX_SENDERS, max(1, math.floor(of_set / REQUESTS_PER_SENDER)))


def find_total_rate(allowed: float, senders: int) -> float:
    """Return the requests a second of all senders of a cold server together.

    Args:
      allowed: requests that it may get in any second from all nodes.
      senders: number of its senders.
    """
    if not senders:
        return 0.0
    return max(0.0, _find_part(allowed) - senders) / (1 + DELAY_SPREAD_S)


def find_usable(cold: ColdServer) -> float:
    """Return the fraction of the slots of a cold head that nodes can use."""
    rate = find_total_rate(cold.allowed, count_senders(cold.allowed))
    return min(1.0, rate * REQUEST_S / max(1, cold.slots))


def _find_part(allowed: float) -> float:
    """Return the requests of a second that one set of senders may use."""
    return (allowed - 1) / SETS


class _Known(NamedTuple):
    """What is known of the warm-up of one start of a server.

    Attributes:
      service: service of the server, empty before its entry is read.
      started_ms: when it started, by its own clock; 0 if it is not known.
      writes: number of the entry that stated this.
      ends_at: when the warm-up that it stated ends, None if it stated none.
      appeared_at: when it appeared during traffic, from which a warm-up of the
        usual length counts; None if it appeared before.
      unreadable: malformed value in its entry, empty for none.
    """

    service: str
    started_ms: int = 0
    writes: int = 0
    ends_at: float | None = None
    appeared_at: float | None = None
    unreadable: str = ""


class Warmups:
    """The servers of one term of a leader that are cold.

    What a server states counts from the arrival of the statement, on the clock
    of this host, so that no clock of another host matters. An entry that is
    read late makes the warm-up seem longer than it is.
    """

    def __init__(
        self,
        *,
        bounds: WarmupBounds,
        warm: frozenset[str] = frozenset(),
        cold: frozenset[str] = frozenset(),
    ) -> None:
        """Create a registry from what the last leader announced.

        Args:
          bounds: how far the rate of a cold server may be exceeded.
          warm: servers that it announced as endpoints that are not cold.
          cold: servers that it announced as cold.
        """
        self._bounds = bounds
        self._former_warm = warm - cold
        self._former_cold = cold
        self._services: Mapping[str, Service] = {}
        self._known: dict[str, _Known] = {}

    def set_configuration(self, configuration: SiteConfiguration) -> None:
        """Set the configuration in force."""
        self._services = configuration.services

    def record_entry(
        self,
        entry: BackendServer,
        now: float,
        *,
        has_traffic: bool,
        is_first_read: bool,
        unix_time_s: float,
    ) -> bool:
        """Record the entry of a server.

        Args:
          entry: the entry.
          now: current time.
          has_traffic: whether callers have begun to send requests.
          is_first_read: whether the server may have started before this node
            began to read the entries.
          unix_time_s: time of day, which counts only for servers that may have
            started before and state nothing.

        Returns:
          Whether the entry states its warm-up in a way that is not valid and
          that was not seen before.
        """
        known = self._known.get(entry.server)
        if known is not None and _is_old(entry, known):
            return False
        is_same = known is not None and (
            entry.started_ms in (known.started_ms, 0) or not known.started_ms
        )
        if known is None or not is_same:
            appeared_at = None
            if has_traffic:
                appeared_at = self._find_appearance(
                    entry,
                    now,
                    unix_time_s if is_first_read and known is None else None,
                )
            self._drop_oldest()
            known = _Known(entry.service, appeared_at=appeared_at)
        is_new_fault = bool(entry.warmup_unreadable) and (
            entry.warmup_unreadable != known.unreadable
        )
        known = known._replace(
            service=entry.service,
            started_ms=entry.started_ms or known.started_ms,
            writes=entry.writes,
            unreadable=entry.warmup_unreadable,
        )
        if entry.warmup_left_s is not None:
            known = known._replace(
                ends_at=now + entry.warmup_left_s, appeared_at=None
            )
        self._known[entry.server] = known
        return is_new_fault

    def record_report(
        self, server: str, started_ms: int, now: float, *, has_traffic: bool
    ) -> None:
        """Record the start time in the report of a server.

        A server that has started again is cold until its entry states
        otherwise.
        """
        known = self._known.get(server)
        if known is None or not known.started_ms:
            return
        if started_ms > known.started_ms:
            self._known[server] = _Known(
                known.service,
                started_ms=started_ms,
                writes=-1,
                appeared_at=now if has_traffic else None,
            )

    def list_cold(self, now: float) -> Mapping[str, ColdServer]:
        """Return the servers that are cold now, by identifier."""
        cold = {}
        for server, known in self._known.items():
            service = self._services.get(known.service)
            if service is None or service.warmup_rate <= 0:
                continue
            if _is_cold(known, service, now):
                engine = service.engine
                cold[server] = ColdServer(
                    self._bounds.find_allowed(service.warmup_rate),
                    0 if engine is None else engine.slots,
                )
        return cold

    def _find_appearance(
        self, entry: BackendServer, now: float, unix_time_s: float | None
    ) -> float | None:
        """Return when a server appeared during traffic, None if before.

        Args:
          entry: first entry of this start of the server.
          now: current time.
          unix_time_s: time of day if the server may have started before this
            node began to read, None otherwise.
        """
        if unix_time_s is None or entry.server in self._former_cold:
            return now
        if entry.server in self._former_warm:
            return None
        if not entry.started_ms:
            return now
        age_s = unix_time_s - entry.started_ms / _MS_PER_S
        return now - max(0.0, age_s)

    def _drop_oldest(self) -> None:
        while len(self._known) >= MAX_SERVERS:
            del self._known[next(iter(self._known))]


def _is_old(entry: BackendServer, known: _Known) -> bool:
    """Return whether an entry was written before what is known, or is it.

    Entries are read again after an outage of the store, and what they state
    would count anew from then on.
    """
    if not entry.started_ms or not known.started_ms:
        return False
    if entry.started_ms != known.started_ms:
        return entry.started_ms < known.started_ms
    return entry.writes <= known.writes


def _is_cold(known: _Known, service: Service, now: float) -> bool:
    if known.ends_at is not None:
        return now < known.ends_at
    appeared_at = known.appeared_at
    return appeared_at is not None and now < appeared_at + service.warmup_s

"""Limits that servers state: requests a second from all nodes together.

Load pattern: an overloaded server still accepts whatever arrives, and nodes
that each obey its limit by themselves send it as many times the limit as there
are nodes. So a few nodes send to such a server, each an equal share of the
limit, and the others send it nothing. The leader announces the limit and these
senders to all nodes; a node that gets the limit before that, or has no leader,
chooses the same senders by itself.

A server that warms up is limited in the same way (see `warmups`), but only by
the leader's announcement, and an answer without a limit does not end it. The
smaller one of both limits holds. As the bound of a cold server holds for every
second, a token for it is spent right before the first byte of the request,
not when the server is chosen.
"""

from collections.abc import Iterable, Mapping
import enum
import math
from typing import NamedTuple

import xxhash

from chervilrock.decisions.serving.messages import StatedLimit
from chervilrock.decisions.serving.servers.tokenbuckets import TokenBucket

SAME_RATE_TOLERANCE = 0.1
"""Fraction of a limit by which another one may differ and count as the same."""

EXTRA_SENDERS = 2
"""Senders in addition to one for each request a second, so that after the loss
of one there is still another."""

MIN_RATE_PER_S = 0.1
"""Requests a second that a server gets however low its limit, as only its
answers show when the limit is over."""

FORGET_S = 30.0
"""Time without a server in the view after which its limit is forgotten. A group
that is formed again within it has the same head, which is still overloaded."""

MIN_BURST = 1.0
BURST_S = 0.25
"""What a sender may send at once: one request, or its share of this time."""


class LimitChange(enum.Enum):
    """How an answer changes what is known of its server's limit.

    Attributes:
      NAMED: the server states its first limit, or another one.
      ENDED: it states none any more.
      UNREADABLE: its value is not a valid number, which changes nothing.
    """

    NAMED = "named"
    ENDED = "ended"
    UNREADABLE = "unreadable"


class LimitedServer(NamedTuple):
    """A server with a limit, as the leader announces it to all nodes.

    Attributes:
      server: identifier of the server.
      rate: requests a second that it accepts from all nodes together.
      senders: names of the nodes that may send to it.
      warmup_rate: requests a second that it may get as it warms up, None if
        it does not.
      stated_rate: limit that it states while it warms up, None for none.
    """

    server: str
    rate: float
    senders: tuple[str, ...]
    warmup_rate: float | None = None
    stated_rate: float | None = None

    @property
    def limit(self) -> float | None:
        """Limit that the server states, None for none."""
        return self.rate if self.warmup_rate is None else self.stated_rate


class _KnownLimit(NamedTuple):
    """A limit and when it became known; None is no limit."""

    rate: float | None
    time: float


_UNKNOWN = _KnownLimit(None, -math.inf)


def is_same_rate(rate: float | None, other: float | None) -> bool:
    """Return whether two limits count as the same; None is no limit."""
    if rate is None or other is None:
        return rate is other
    return abs(rate - other) <= SAME_RATE_TOLERANCE * max(rate, other)


class LimitObservations:
    """When servers with limits last accepted requests."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._seen: dict[str, float] = {}

    def forget(
        self, known: Iterable[str], present: Iterable[str], now: float
    ) -> list[str]:
        """Return which of the known servers have been absent for too long.

        Args:
          known: servers of which anything is known.
          present: servers that accept requests.
          now: current time.
        """
        self._seen.update(dict.fromkeys(present, now))
        absent = [
            server
            for server in known
            if now - self._seen.setdefault(server, now) > FORGET_S
        ]
        kept = set(known) - set(absent)
        self._seen = {server: self._seen[server] for server in kept}
        return absent


def choose_senders(
    server: str, rate: float, nodes: Iterable[str]
) -> tuple[str, ...]:
    """Return the nodes that may send to a server with a limit.

    Nodes with the same list of nodes choose the same senders, and few of these
    change when a node joins or leaves. As each sender may have saved up a
    request, there are no more of them than the limit allows.

    Args:
      server: identifier of the server.
      rate: requests a second that it accepts.
      nodes: names of the nodes to choose from.
    """
    ranked = rank_nodes(server, nodes)
    return tuple(ranked[: EXTRA_SENDERS + math.floor(rate)])


def rank_nodes(server: str, nodes: Iterable[str]) -> list[str]:
    """Return nodes in an order that is random and the same on all nodes."""

    def rank(node: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{server}/{node}".encode())

    return sorted(nodes, key=rank)


class _SenderBucket:
    """What this node may send to one server, as a token bucket."""

    def __init__(self, *, now: float) -> None:
        """Create an empty bucket, the same as after a restart."""
        self._bucket = TokenBucket()
        self._rate = 0.0
        self._max_balance = MIN_BURST
        self._refilled_at = now

    def set_rate(self, rate: float, now: float, *, is_cold: bool) -> None:
        """Refill at another rate from now on, in requests a second.

        Of a cold server no more than one request is saved up.
        """
        self._refill(now)
        self._rate = rate
        self._max_balance = MIN_BURST
        if not is_cold:
            self._max_balance = max(MIN_BURST, BURST_S * rate)
        self._refill(now)

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._refill(now)
        return self._bucket.available >= 1

    def consume(self, now: float) -> bool:
        """Consume a token for a request that is sent, if there is one."""
        has_token = self.reserve(now)
        if has_token:
            self.spend()
        return has_token

    def reserve(self, now: float) -> bool:
        """Reserve a token for a request that will be sent, if there is one."""
        self._refill(now)
        return self._bucket.reserve()

    def spend(self) -> None:
        """Consume a reserved token."""
        self._bucket.spend()

    def release(self) -> None:
        """Give up a reserved token."""
        self._bucket.release()

    def find_wait(self, now: float) -> float:
        """Return the seconds until a request may be sent, inf for never."""
        self._refill(now)
        missing = 1.0 - self._bucket.available
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate else math.inf

    def _refill(self, now: float) -> None:
        amount = self._rate * (now - self._refilled_at)
        self._bucket.refill(amount, self._max_balance)
        self._refilled_at = now


class SendPermit:
    """A reserved token for one request to a cold server.

    It is spent when the request is sent, and released when it is not.
    """

    def __init__(self, *, bucket: _SenderBucket) -> None:
        """Create a permit for a token that was reserved in a bucket."""
        self._bucket: _SenderBucket | None = bucket

    def is_of(self, bucket: _SenderBucket) -> bool:
        """Return whether it was reserved in a bucket and is not used yet."""
        return self._bucket is bucket

    def spend(self) -> None:
        """Spend the token, once."""
        if self._bucket is not None:
            self._bucket.spend()
            self._bucket = None

    def release(self) -> None:
        """Release the token unless it was spent."""
        if self._bucket is not None:
            self._bucket.release()
            self._bucket = None


class _Warmup(NamedTuple):
    """What the leader announces of a cold server."""

    rate: float
    senders: tuple[str, ...]


class ServerLimits:
    """Limits of servers that one node has received and applies."""

    def __init__(self, *, own: str) -> None:
        """Create limits for a node that has received none.

        Args:
          own: name of this node.
        """
        self._own = own
        self._observed: dict[str, _KnownLimit] = {}
        self._announced: dict[str, _KnownLimit] = {}
        self._senders: dict[str, tuple[str, ...]] = {}
        self._warmups: dict[str, _Warmup] = {}
        self._buckets: dict[str, _SenderBucket] = {}
        self._unreadable: dict[str, str] = {}
        self._observations = LimitObservations()

    def __len__(self) -> int:
        return len(self._buckets)

    def find_rate(self, server: str) -> float | None:
        """Return the requests a second that a server accepts, None for any."""
        return self._find_newest(server).rate

    def list_limited(self) -> Mapping[str, float]:
        """Return the limits in force, by server."""
        rates = {server: self.find_rate(server) for server in self._buckets}
        return {
            server: rate for server, rate in rates.items() if rate is not None
        }

    def list_cold(self) -> Mapping[str, float]:
        """Return the requests a second of the servers that warm up."""
        return {server: entry.rate for server, entry in self._warmups.items()}

    def record_answer(
        self,
        server: str,
        limit: StatedLimit,
        nodes: Iterable[str],
        now: float,
    ) -> LimitChange | None:
        """Record the limit that an answer of a server states.

        Args:
          server: the server.
          limit: what the answer states.
          nodes: names of the nodes that accept callers, of which some may send
            until the leader announces which; only read when a limit is stated.
          now: current time.

        Returns:
          What has changed, None for nothing.
        """
        if limit.unreadable:
            former = self._unreadable.get(server)
            self._unreadable[server] = limit.unreadable
            is_new = former != limit.unreadable
            return LimitChange.UNREADABLE if is_new else None
        if is_same_rate(self.find_rate(server), limit.rate):
            return None
        self._observed[server] = _KnownLimit(limit.rate, now)
        if limit.rate is not None:
            names = tuple(nodes) or (self._own,)
            self._senders[server] = choose_senders(server, limit.rate, names)
        self._update_bucket(server, now)
        ended = limit.rate is None
        return LimitChange.ENDED if ended else LimitChange.NAMED

    def apply_announcement(
        self, limited: Iterable[LimitedServer], now: float
    ) -> None:
        """Apply the limits that the leader announces.

        A limit that it announced before is not new, and has less weight than
        one that this node has observed since.
        """
        announced = {entry.server: entry for entry in limited}
        for server, known in list(self._announced.items()):
            if known.rate is not None and server not in announced:
                self._announced[server] = _KnownLimit(None, now)
                self._update_bucket(server, now)
        ended = set(self._warmups).difference(announced)
        for server in ended:
            del self._warmups[server]
        for server, entry in announced.items():
            if entry.warmup_rate is None:
                self._warmups.pop(server, None)
            else:
                self._warmups[server] = _Warmup(
                    entry.warmup_rate, entry.senders
                )
            if entry.limit is not None:
                self._senders[server] = entry.senders
            former = self._announced.get(server, _UNKNOWN)
            if former.rate != entry.limit:
                self._announced[server] = _KnownLimit(entry.limit, now)
        for server in ended.union(announced):
            self._update_bucket(server, now)

    def list_unannounced(self) -> Mapping[str, float | None]:
        """Return the limits that were observed here and the leader lacks."""
        unannounced = {}
        for server, observed in self._observed.items():
            announced = self._announced.get(server, _UNKNOWN)
            is_newer = observed.time > announced.time
            if is_newer and not is_same_rate(observed.rate, announced.rate):
                unannounced[server] = observed.rate
        return unannounced

    def may_send(self, server: str, now: float) -> bool:
        """Return whether this node may send a request to a server now."""
        bucket = self._buckets.get(server)
        return bucket is None or bucket.may_send(now)

    def consume(self, server: str, now: float) -> SendPermit | None:
        """Consume a token for a request that a server was chosen for.

        Returns:
          The permit to send to a cold server, None if none is needed or left.
        """
        bucket = self._buckets.get(server)
        if bucket is None:
            return None
        if server not in self._warmups:
            bucket.consume(now)
            return None
        return SendPermit(bucket=bucket) if bucket.reserve(now) else None

    def begin_send(
        self, server: str, permit: SendPermit | None, now: float
    ) -> bool:
        """Return whether a request may be sent now, and count it.

        Called right before the first byte. A server may have turned cold after
        it was chosen, or the leader may have named other senders.

        Args:
          server: the server.
          permit: what `consume` returned when the server was chosen.
          now: current time.
        """
        if server not in self._warmups:
            return True
        bucket = self._buckets.get(server)
        if bucket is None:
            return False
        if permit is not None and permit.is_of(bucket):
            permit.spend()
            return True
        return bucket.consume(now)

    def find_wait(self, server: str, now: float) -> float:
        """Return the seconds until a request may be sent, inf for never."""
        bucket = self._buckets.get(server)
        return 0.0 if bucket is None else bucket.find_wait(now)

    def forget_absent(self, present: Iterable[str], now: float) -> None:
        """Forget servers that have accepted no requests for too long.

        Args:
          present: servers that accept requests.
          now: current time.
        """
        known = {*self._observed, *self._announced, *self._unreadable}
        for server in self._observations.forget(known, present, now):
            self.forget(server)

    def forget(self, server: str) -> None:
        """Forget the limit of a server."""
        self._observed.pop(server, None)
        self._announced.pop(server, None)
        self._warmups.pop(server, None)
        self._senders.pop(server, None)
        self._buckets.pop(server, None)
        self._unreadable.pop(server, None)

    def _find_newest(self, server: str) -> _KnownLimit:
        observed = self._observed.get(server, _UNKNOWN)
        announced = self._announced.get(server, _UNKNOWN)
        return observed if observed.time > announced.time else announced

    def _update_bucket(self, server: str, now: float) -> None:
        """Apply the newest limit of a server from now on."""
        rate = self.find_rate(server)
        warmup = self._warmups.get(server)
        if rate is None and warmup is None:
            self._buckets.pop(server, None)
            return
        senders = self._senders.get(server, ())
        rates = [] if rate is None else [max(rate, MIN_RATE_PER_S)]
        if warmup is not None:
            senders = warmup.senders
            rates.append(warmup.rate)
        if self._own not in senders:
            self._buckets[server] = _SenderBucket(now=now)
            return
        bucket = self._buckets.setdefault(server, _SenderBucket(now=now))
        bucket.set_rate(
            min(rates) / len(senders), now, is_cold=warmup is not None
        )

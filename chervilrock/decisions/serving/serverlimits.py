"""Limits that servers name: requests a second from all nodes together.

Load pattern: a server in need goes on to take whatever comes, and nodes that
each obey by themselves send it as many times its limit as there are nodes. So
a few nodes send to such a server, each an equal share of the limit, and the
others send it nothing. All nodes learn of the limit and of these few from the
leader; a node that hears of it before, or has no leader, finds the same few by
itself.
"""

from collections.abc import Iterable, Mapping
import enum
import math
from typing import NamedTuple

import xxhash

from chervilrock.decisions.serving.credit import Credit
from chervilrock.decisions.serving.messages import StatedLimit

SAME_PART = 0.1
"""Part of a limit by which another one may differ and count as the same."""

LEAST_SENDERS = 2
"""Senders beside one for each request a second: the loss of one leaves one."""

LEAST_RATE = 0.1
"""Requests a second that a server gets all the same, so that it is heard when
its limit is over; its answers are the only way to hear it."""

FORGET_S = 30.0
"""Time without a place in the view after which a limit is forgotten. A group
that is formed again within it has the same head, which is still in need."""

LEAST_BURST = 1.0
BURST_S = 0.25
"""What a sender may send at once: one request, or its share of this time."""


class LimitChange(enum.Enum):
    """What an answer says of a limit that was not known of its server.

    Attributes:
      NAMED: the server names its first limit, or another one.
      ENDED: it names none any more.
      UNREADABLE: it names something that is no number, which changes nothing.
    """

    NAMED = "named"
    ENDED = "ended"
    UNREADABLE = "unreadable"


class LimitedServer(NamedTuple):
    """A server with a limit, as the leader tells all nodes.

    Attributes:
      server: identifier of the server.
      rate: requests a second that it takes from all nodes together.
      senders: names of the nodes that may send to it.
    """

    server: str
    rate: float
    senders: tuple[str, ...]


class _Known(NamedTuple):
    """A limit and when it became known; None is no limit."""

    rate: float | None
    time: float


_UNKNOWN = _Known(None, -math.inf)


def is_same_rate(one: float | None, other: float | None) -> bool:
    """Tell whether two limits need not be told apart; None is no limit."""
    if one is None or other is None:
        return one is other
    return abs(one - other) <= SAME_PART * max(one, other)


class Sightings:
    """Servers that take requests, or did not long ago."""

    def __init__(self) -> None:
        """Have seen none."""
        self._seen: dict[str, float] = {}

    def forget(
        self, known: Iterable[str], present: Iterable[str], now: float
    ) -> list[str]:
        """Return which of the known servers have been gone for long.

        Args:
          known: servers of which anything is known.
          present: servers that take requests.
          now: present time.
        """
        self._seen.update(dict.fromkeys(present, now))
        gone = [
            one
            for one in known
            if now - self._seen.setdefault(one, now) > FORGET_S
        ]
        kept = set(known) - set(gone)
        self._seen = {one: self._seen[one] for one in kept}
        return gone


def choose_senders(
    server: str, rate: float, nodes: Iterable[str]
) -> tuple[str, ...]:
    """Return the nodes that may send to a server with a limit.

    Nodes that know the same others choose the same ones, and few change when
    a node comes or goes. As each may have kept a request, there are no more of
    them than the limit has room for.

    Args:
      server: identifier of the server.
      rate: requests a second that it takes.
      nodes: names of the nodes that could.
    """

    def rank(node: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{server}/{node}".encode())

    ranked = sorted(nodes, key=rank)
    return tuple(ranked[: LEAST_SENDERS + math.floor(rate)])


class _Share:
    """What this node may send to one server, as a token bucket."""

    def __init__(self, *, now: float) -> None:
        """Start with nothing, as a process that starts again does."""
        self._credit = Credit()
        self._rate = 0.0
        self._earned = now

    def set_rate(self, rate: float, now: float) -> None:
        """Earn at another rate from now on, in requests a second."""
        self._earn(now)
        self._rate = rate

    def may_send(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        self._earn(now)
        return self._credit.left >= 1

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._earn(now)
        if self._credit.hold():
            self._credit.spend()

    def find_wait(self, now: float) -> float:
        """Return the seconds until a request may be sent, inf for never."""
        self._earn(now)
        missing = 1.0 - self._credit.left
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate else math.inf

    def _earn(self, now: float) -> None:
        most = max(LEAST_BURST, BURST_S * self._rate)
        self._credit.earn(self._rate * (now - self._earned), most)
        self._earned = now


class ServerLimits:
    """Limits of servers, as one node knows and obeys them."""

    def __init__(self, *, own: str) -> None:
        """Know of none.

        Args:
          own: name of this node.
        """
        self._own = own
        self._heard: dict[str, _Known] = {}
        self._told: dict[str, _Known] = {}
        self._senders: dict[str, tuple[str, ...]] = {}
        self._shares: dict[str, _Share] = {}
        self._unreadable: dict[str, str] = {}
        self._sightings = Sightings()

    def __len__(self) -> int:
        return len(self._shares)

    def find_rate(self, server: str) -> float | None:
        """Return the requests a second that a server takes, None for any."""
        return self._find_newest(server).rate

    def list_limited(self) -> Mapping[str, float]:
        """Return the limits in force, by server."""
        rates = {server: self.find_rate(server) for server in self._shares}
        return {one: rate for one, rate in rates.items() if rate is not None}

    def note_answer(
        self,
        server: str,
        limit: StatedLimit,
        nodes: Iterable[str],
        now: float,
    ) -> LimitChange | None:
        """Take what an answer of a server says.

        Args:
          server: the server.
          limit: what it says.
          nodes: names of the nodes that take callers, of which some may send
            until the leader tells which; only read when a limit is named.
          now: present time.

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
        self._heard[server] = _Known(limit.rate, now)
        if limit.rate is not None:
            names = tuple(nodes) or (self._own,)
            self._senders[server] = choose_senders(server, limit.rate, names)
        self._renew(server, now)
        ended = limit.rate is None
        return LimitChange.ENDED if ended else LimitChange.NAMED

    def take_told(self, limited: Iterable[LimitedServer], now: float) -> None:
        """Take the limits of which the leader tells.

        One that it told before is no news, and gives way to what was heard
        since.
        """
        told = {one.server: one for one in limited}
        for server, known in list(self._told.items()):
            if known.rate is not None and server not in told:
                self._told[server] = _Known(None, now)
                self._renew(server, now)
        for server, one in told.items():
            self._senders[server] = one.senders
            former = self._told.get(server)
            if former is None or former.rate != one.rate:
                self._told[server] = _Known(one.rate, now)
            self._renew(server, now)

    def list_untold(self) -> Mapping[str, float | None]:
        """Return the limits that were heard here and the leader lacks."""
        untold = {}
        for server, heard in self._heard.items():
            told = self._told.get(server, _UNKNOWN)
            is_newer = heard.time > told.time
            if is_newer and not is_same_rate(heard.rate, told.rate):
                untold[server] = heard.rate
        return untold

    def may_send(self, server: str, now: float) -> bool:
        """Tell whether this node may send a request to a server now."""
        share = self._shares.get(server)
        return share is None or share.may_send(now)

    def take(self, server: str, now: float) -> None:
        """Count a request that is sent to a server."""
        share = self._shares.get(server)
        if share is not None:
            share.take(now)

    def find_wait(self, server: str, now: float) -> float:
        """Return the seconds until a request may be sent, inf for never."""
        share = self._shares.get(server)
        return 0.0 if share is None else share.find_wait(now)

    def forget_gone(self, present: Iterable[str], now: float) -> None:
        """Forget servers that have taken no requests for long.

        Args:
          present: servers that take requests.
          now: present time.
        """
        known = {*self._heard, *self._told, *self._unreadable}
        for server in self._sightings.forget(known, present, now):
            self._heard.pop(server, None)
            self._told.pop(server, None)
            self._senders.pop(server, None)
            self._shares.pop(server, None)
            self._unreadable.pop(server, None)

    def _find_newest(self, server: str) -> _Known:
        heard = self._heard.get(server, _UNKNOWN)
        told = self._told.get(server, _UNKNOWN)
        return heard if heard.time > told.time else told

    def _renew(self, server: str, now: float) -> None:
        """Obey what is known of a server from now on."""
        rate = self.find_rate(server)
        if rate is None:
            self._shares.pop(server, None)
            return
        senders = self._senders.get(server, ())
        if self._own not in senders:
            self._shares[server] = _Share(now=now)
            return
        share = self._shares.setdefault(server, _Share(now=now))
        share.set_rate(max(rate, LEAST_RATE) / len(senders), now)

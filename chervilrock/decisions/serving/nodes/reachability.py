"""Whether this node reaches the backend servers.

A node may lose its links to all servers while callers, the store and the other
nodes still reach it. Its sends then fail to connect, or get no answer. A single
server that fails looks the same, so the node asks a few servers over new
connections before it decides: open connections may outlive the loss.
"""

from collections.abc import Collection, Mapping
import math
from typing import Any, NamedTuple, TYPE_CHECKING

from chervilrock.decisions.serving.site import Service
from chervilrock.decisions.serving.view import ServingView

if TYPE_CHECKING:
    import random

FAILURES_TO_SUSPECT = 2
"""Failed sends in a row, at any servers, after which servers are probed. A busy
node has several at once when it is cut off, and rarely otherwise."""

ANSWER_TTL_S = 0.4
"""Time since the last answer after which a single failure is enough."""

SILENCE_S = 1.0
"""Time without any answer, while a send waits for one, after which servers are
probed. Sound servers may be silent for about a second."""

PROBE_COUNT = 4
"""Servers that are asked at once."""

ROUNDS_TO_CUT = 2
"""Rounds of probes in a row without any answer after which a node is cut off:
with half of the servers lost, one round may ask lost ones only."""

PROBE_TIMEOUT_S = 0.3
"""Time for a server to answer a probe; a lost packet is sent again after 0.2 s.
"""

MAX_REFUSED_S = PROBE_TIMEOUT_S / 2
"""Time within which `ROUNDS_TO_CUT` rounds end whose probes were refused; such
rounds decide at once."""

MIN_SPAN_S = 1.5 * PROBE_TIMEOUT_S
"""Least time from the begin of the first failed round to a verdict by probes
that were not answered in time. Slow servers answer a send meanwhile."""

MAX_ROUND_GAP_S = 2 * SILENCE_S
"""Time after a failed round until which a further one counts together with it.
Sends whose callers leave cause a round each `SILENCE_S` or so."""

MAX_ROUND_S = 2 * PROBE_TIMEOUT_S
"""Time after which the outcome of a round is ignored: the process was frozen or
slow meanwhile."""

PROBE_PAUSE_S = 1.0
"""Time after an answered round of probes without another one. It doubles with
each further one until a send is answered: slow servers need no more probes."""

MAX_PROBE_PAUSE_S = 8.0
"""Longest such time."""

VOIDED_PAUSE_S = PROBE_TIMEOUT_S
"""Time after a failed round that an answered send contradicts without another
one. A longer one would delay the detection of a cut that begins meanwhile."""

RECHECK_INTERVAL_S = 0.5
"""Interval between rounds of probes of a node that is cut off."""

HOLD_S = 1.0
"""Time after a cut before callers are directed to the node again."""

MAX_HOLD_S = 8.0
"""Longest such time, for a node that is cut off again and again."""

STEADY_S = 30.0
"""Time without a cut after which the next one is held for `HOLD_S` again."""

_MS_PER_S = 1000


class ProbeTarget(NamedTuple):
    """A server to probe.

    Attributes:
      server: identifier of the server.
      address: IP:port.
      is_head: whether it is the head of a group, which answers status queries.
      status_path: path of the status check of a plain server, empty for none.
    """

    server: str
    address: str
    is_head: bool
    status_path: str = ""


def choose_targets(
    view: ServingView,
    services: Mapping[str, Service],
    generator: "random.Random",
    *,
    without: str = "",
    spared: Collection[str] = (),
    is_mixed: bool = False,
) -> tuple[ProbeTarget, ...]:
    """Return random servers to probe.

    Args:
      view: groups and servers that accept requests.
      services: the services by name.
      generator: draws the servers.
      without: server that is left out, empty for none.
      spared: servers that want few requests or none. A status check of a
        plain server takes a slot as a request does.
      is_mixed: whether half of them should be plain servers, since all hosts
        of groups may be lost at once; otherwise heads of groups come first.
    """
    heads = [
        ProbeTarget(group.server, group.address, is_head=True)
        for group in view.groups
        if group.server != without
    ]
    plain = [
        ProbeTarget(
            server.server,
            server.address,
            is_head=False,
            status_path=services[server.service].status_path
            if server.service in services
            else "",
        )
        for server in view.servers
        if server.server != without and server.server not in spared
    ]
    generator.shuffle(heads)
    generator.shuffle(plain)
    first = PROBE_COUNT // 2 if is_mixed else PROBE_COUNT
    ordered = heads[:first] + plain + heads[first:]
    return tuple(ordered[:PROBE_COUNT])


class ProbeRound(NamedTuple):
    """Outcome of one round of probes.

    Attributes:
      probed: number of servers that were asked.
      is_reached: whether one of them answered.
      began: time at which the round began.
    """

    probed: int
    is_reached: bool
    began: float


class ServerReachability:
    """Finds out from sends and probes whether a node is cut off.

    Attributes:
      is_cut_off: whether no server can be reached.
      cut_since: when the present or last cut was detected.
    """

    def __init__(self) -> None:
        """Create the state of a node that reaches its servers."""
        self.is_cut_off = False
        self.cut_since = float("-inf")
        self._waiting: dict[object, float] = {}
        self._outdated: set[object] = set()
        self._failures = 0
        self._failed_at = float("-inf")
        self._reached_at = float("-inf")
        self._answered_at = float("-inf")
        self._is_probing = False
        self._failed_rounds = 0
        self._rounds_began = float("-inf")
        self._rounds_ended = float("-inf")
        self._probe_at = float("-inf")
        self._probe_pause_s = PROBE_PAUSE_S
        self._restored_at = float("-inf")
        self._hold_s = 0.0

    # Sends.

    def record_sent(self, send: object, now: float) -> None:
        """Record that a send to a server begins, over a new connection."""
        self._waiting[send] = now

    def record_answered(self, send: object, now: float) -> None:
        """Record that the head of the answer to a send arrived."""
        began = self._waiting.pop(send, None)
        if began is not None:
            self._answered_at = now
            self._probe_pause_s = PROBE_PAUSE_S
            self._record_reached(began)

    def record_ended(self, send: object, now: float, *, is_lost: bool) -> None:
        """Record the end of a send.

        Args:
          send: the send.
          now: current time.
          is_lost: whether it failed to connect, got no answer, or broke off.
        """
        if send in self._outdated:
            self._outdated.discard(send)
            return
        # A send that broke off in the middle of its answer failed just now.
        began = self._waiting.pop(send, now)
        if not is_lost or began <= self._reached_at:
            # An answer to a later send shows that servers were reached since.
            return
        self._failures += 1
        self._failed_at = now

    def _record_reached(self, began: float) -> None:
        """Record that a server answered over a connection of that time."""
        self._reached_at = max(self._reached_at, began)
        if began >= self._failed_at:
            self._failures = 0

    # Probes.

    def is_suspected(self, now: float) -> bool:
        """Return whether the sends look like those of a cut-off node."""
        if self.is_cut_off:
            return False
        has_answers = now - self._answered_at < ANSWER_TTL_S
        if self._failures >= (FAILURES_TO_SUSPECT if has_answers else 1):
            return True
        oldest = min(self._waiting.values(), default=float("inf"))
        return now - max(oldest, self._answered_at) >= SILENCE_S

    def is_in_doubt(self, now: float) -> bool:
        """Return whether a verdict on suspicious sends is still to come."""
        is_due = self._is_probing or now >= self._probe_at
        is_undecided = self._failed_rounds >= ROUNDS_TO_CUT
        return (is_due or is_undecided) and self.is_suspected(now)

    def is_probe_due(self, now: float) -> bool:
        """Return whether to probe servers now."""
        if self._is_probing or now < self._probe_at:
            return False
        return self.is_cut_off or self.is_suspected(now)

    @property
    def is_confirming(self) -> bool:
        """Whether the next round may show that the node is cut off."""
        return self._failed_rounds > 0 or self.is_cut_off

    def record_probing(self) -> None:
        """Record that a round of probes begins."""
        self._is_probing = True
        if self._reached_at >= self._rounds_began:
            # Known before the round, so its failure is followed by the next.
            self._failed_rounds = 0

    def record_probed(self, probes: ProbeRound, now: float) -> bool:
        """Record the outcome of a round of probes.

        Returns:
          Whether `is_cut_off` changed.
        """
        self._is_probing = False
        if probes.is_reached:
            self._failed_rounds = 0
            self._probe_at = now + self._probe_pause_s
            self._probe_pause_s = min(
                MAX_PROBE_PAUSE_S, 2 * self._probe_pause_s
            )
            self._failed_at = min(self._failed_at, probes.began)
            self._record_reached(probes.began)
            return self._end_cut(now)
        if not probes.probed or now - probes.began > MAX_ROUND_S:
            self._probe_at = now + RECHECK_INTERVAL_S
            return False
        self._probe_at = now
        if self.is_cut_off:
            self._probe_at = now + RECHECK_INTERVAL_S
            return False
        if probes.began - self._rounds_ended > MAX_ROUND_GAP_S:
            self._failed_rounds = 0
        self._rounds_ended = now
        if self._failed_rounds and self._reached_at >= self._rounds_began:
            # Servers that take long to answer probes still answer sends.
            self._failed_rounds = 0
            self._probe_at = now + VOIDED_PAUSE_S
        if not self._failed_rounds:
            self._rounds_began = probes.began
        if self._reached_at >= probes.began:
            self._probe_at = now + VOIDED_PAUSE_S
            return False
        self._failed_rounds += 1
        if self._failed_rounds < ROUNDS_TO_CUT:
            return False
        if MAX_REFUSED_S <= now - self._rounds_began < MIN_SPAN_S:
            self._probe_at = max(now, probes.began + PROBE_TIMEOUT_S)
            return False
        self._failed_rounds = 0
        self._begin_cut(now)
        return True

    def _begin_cut(self, now: float) -> None:
        is_steady = now - self._restored_at > STEADY_S
        self._hold_s = (
            HOLD_S if is_steady else min(MAX_HOLD_S, 2 * self._hold_s)
        )
        self.is_cut_off = True
        self.cut_since = now
        self._probe_at = now + RECHECK_INTERVAL_S

    def _end_cut(self, now: float) -> bool:
        was_cut_off = self.is_cut_off
        if was_cut_off:
            self.is_cut_off = False
            self._restored_at = now
            # What began in the cut says nothing about the servers.
            self._outdated.update(self._waiting)
            self._waiting.clear()
            self._failures = 0
        return was_cut_off

    # Callers.

    def is_withdrawn(self, now: float) -> bool:
        """Return whether callers should be directed to other nodes."""
        return self.is_cut_off or now - self._restored_at < self._hold_s

    def find_cut_s(self, now: float) -> float:
        """Return for how many seconds the node has been cut off, 0 if not."""
        return now - self.cut_since if self.is_cut_off else 0.0

    def find_silence_ms(self, now: float) -> int | None:
        """Return the milliseconds since the last answer, None before one."""
        return _find_age_ms(self._answered_at, now)

    def find_reached_ms(self, now: float) -> int | None:
        """Return the milliseconds since the last reached connection began.

        Its send or its probes were answered. None before one.
        """
        return _find_age_ms(self._reached_at, now)

    def find_probing_ms(self, now: float) -> int | None:
        """Return the milliseconds since the first failed round began.

        The first one of the last rounds in a row; None before one.
        """
        return _find_age_ms(self._rounds_began, now)

    def describe(self, now: float) -> Mapping[str, Any]:
        """Return the state for a dump."""
        return {
            "is_cut_off": self.is_cut_off,
            "cut_s": round(self.find_cut_s(now), 3),
            "is_withdrawn": self.is_withdrawn(now),
            "is_suspected": self.is_suspected(now),
            "failures": self._failures,
            "unanswered": len(self._waiting),
        }


def _find_age_ms(since: float, now: float) -> int | None:
    """Return the milliseconds since a time, None for minus infinity."""
    return None if math.isinf(since) else round((now - since) * _MS_PER_S)

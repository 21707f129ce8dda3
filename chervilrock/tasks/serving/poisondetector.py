"""Detection of requests that crash backend servers (poison requests).

What crashes servers may be one request or a part that prompts share; both are
features of requests (`features.py`). When the connection of a send breaks, the
node checks the server: only a server that accepts no connections any more
counts as crashed. The leader evaluates the crashes that all nodes report and
sends the suspects with its announcements. Each node also evaluates the crashes
that are known to it, so that poison requests are withheld even while there is
no leader.
"""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from chervilrock.decisions.decoding import Decoder
from chervilrock.decisions.serving.admission.features import (
    is_shared,
    PassedFeatures,
)
from chervilrock.decisions.serving.admission.suspects import (
    CrashReport,
    ServerCrash,
    Suspect,
)
from chervilrock.decisions.serving.admission.suspecttracker import (
    MAX_ANNOUNCED_SUSPECTS,
    SETTLE_S,
    SuspectTracker,
)
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.events import emit, Event
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.crashreports import CrashReports
from chervilrock.tasks.serving.messages import (
    CrashReportAnswered,
    ServerChecked,
    SuspectWritten,
)
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState

FOLLOWER_SETTLE_S = 0.25
"""Time for which a node waits for the leader's verdict before it decides by
the crashes that are known to it."""

MAX_VERDICT_WAIT_S = 0.35
"""Longest time that a request waits for a verdict. With a reachable leader a
verdict takes less than 0.1 s."""

VERDICT_POLL_INTERVAL_S = 0.01
"""Time between two checks for a verdict."""

EVALUATION_INTERVAL_S = 1.0
"""Time between two evaluations without new crashes, which expire old
suspects."""

MAX_COMPANIONS = 8
"""Other features of a request that are reported with a crash."""

CHECK_RESULT_TTL_S = 1.0
"""Time for which the result of checking a server is kept."""

_MS_PER_S = 1000

_SUSPECT_DECODER = Decoder(Suspect)


class BrokenSend(NamedTuple):
    """A send whose connection broke.

    Attributes:
      content: identifier of the content of the request.
      server: identifier of the server.
      address: IP:port of the server.
      since_first_byte_s: time since the first byte of the answer in seconds,
        0 if there was none.
      since_sent_s: time since the request was sent in seconds.
      parts: identifiers of the features that other requests may share.
    """

    content: str
    server: str
    address: str
    since_first_byte_s: float
    since_sent_s: float
    parts: tuple[str, ...] = ()

    @property
    def features(self) -> tuple[str, ...]:
        """Identifiers of all features of the request."""
        return (self.content, *self.parts)


class _Check(NamedTuple):
    """A check of a server that is in progress.

    Attributes:
      began: when it began.
      sends: broken sends that the server may have crashed under.
    """

    began: float
    sends: list[BrokenSend]


class PoisonDetector:
    """Finds poison requests by the server crashes known to one node."""

    def __init__(self, *, state: ServingState, outbound: Outbound) -> None:
        """Create a detector without suspects.

        Args:
          state: state of the node.
          outbound: calls to other nodes, servers and the store.
        """
        self._state = state
        self._outbound = outbound
        self._tracker = SuspectTracker()
        self._reports = CrashReports(state=state, outbound=outbound)
        self._checks: dict[str, _Check] = {}
        self._checked: dict[str, tuple[bool, float]] = {}
        self._is_leading = False
        self._evaluate_at = float("inf")
        self._passed = PassedFeatures()
        self._stored: set[str] = set()
        self._writing: set[str] = set()

    # Requests of this node.

    def is_empty(self) -> bool:
        """Return whether there are no suspects."""
        return not len(self._tracker)

    def count_crashes(self, content: str) -> int:
        """Return how many servers crashed while they ran a request."""
        return self._tracker.count_crashes(content)

    async def wait_for_verdict(
        self,
        content: str,
        min_crashes: int,
        until: float,
        parts: tuple[str, ...] = (),
    ) -> None:
        """Wait until a suspect request is withheld, for a limited time.

        Without the wait, the node that observes the last crash would send the
        request to another server before the leader has evaluated the crash.

        Args:
          content: identifier of the content of the request.
          min_crashes: server crashes below which there is no wait.
          until: latest time to return.
          parts: identifiers of its other features.
        """
        now = read_clock()
        until = min(until, now + MAX_VERDICT_WAIT_S)
        if not any(
            self._tracker.awaits_verdict(
                feature, min_crashes, now, MAX_VERDICT_WAIT_S
            )
            for feature in (content, *parts)
        ):
            return
        while read_clock() < until:
            if self._state.suspects.find_withheld(content, parts) is not None:
                return
            await asyncio.sleep(VERDICT_POLL_INTERVAL_S)

    def record_broken(self, broken: BrokenSend, now: float) -> None:
        """Check the server of a send whose connection broke."""
        for server, (_, checked) in list(self._checked.items()):
            if now - checked > CHECK_RESULT_TTL_S:
                del self._checked[server]
        if broken.server in self._checked:
            is_alive, checked = self._checked[broken.server]
            # A proxy still accepts sends for a server that has crashed
            # already; such a send did not cause the crash.
            if now - broken.since_sent_s < checked:
                self._apply_check((broken,), is_alive=is_alive, now=now)
        elif broken.server in self._checks:
            check = self._checks[broken.server]
            # If the server is gone, it was gone when the check began.
            if now - broken.since_sent_s < check.began:
                check.sends.append(broken)
        else:
            self._checks[broken.server] = _Check(now, [broken])
            # Not for a head: with many heads lost, the checks would take the
            # few slots of plain servers.
            is_plain = any(
                entry.server == broken.server
                for entry in self._state.view.servers
            )
            self._outbound.check_server(
                broken.server,
                broken.address,
                self._state.choose_probe_targets(
                    without=broken.server, is_mixed=is_plain
                ),
            )

    def record_completion(self, content: str) -> None:
        """Record that a request ran to completion, which clears it."""
        if self._tracker.clear(content):
            self._reports.record_completion(content)
            self._evaluate_at = float("-inf")

    def record_pass(
        self,
        features: tuple[str, ...],
        *,
        sent_at: float,
        now: float,
        survived_s: float = float("inf"),
    ) -> None:
        """Record that a server has survived a request, with all its features.

        Args:
          features: features of the request.
          sent_at: time at which it was sent.
          now: current time.
          survived_s: seconds since the first byte of its answer, inf if the
            answer is complete.
        """
        self._passed.record(features, now)
        for feature in features:
            if self._tracker.record_pass(feature, sent_at, survived_s):
                self._reports.record_completion(feature)
                self._evaluate_at = float("-inf")

    def release(self, feature: str, now: float) -> bool:
        """Release a feature on demand of an operator.

        Returns:
          Whether it was known.
        """
        self._passed.record((feature,), now)
        if not self._tracker.clear(feature):
            return False
        self._reports.record_completion(feature)
        self._evaluate_at = float("-inf")
        return True

    def record_checked(self, checked: ServerChecked, now: float) -> None:
        """Apply the result of checking a server."""
        self._checked[checked.server] = (checked.is_alive, now)
        check = self._checks.pop(checked.server, None)
        if check is not None:
            self._apply_check(check.sends, is_alive=checked.is_alive, now=now)

    def _apply_check(
        self, sends: Iterable[BrokenSend], *, is_alive: bool, now: float
    ) -> None:
        if is_alive:
            return
        by_feature: dict[str, list[BrokenSend]] = {}
        for broken in sends:
            emit(
                Event.SERVER_ENDED,
                server=broken.server,
                content=broken.content,
                served_ms=round(broken.since_first_byte_s * _MS_PER_S),
                sent_ms=round(broken.since_sent_s * _MS_PER_S),
            )
            for feature in broken.features:
                by_feature.setdefault(feature, []).append(broken)
        for feature, broken_sends in by_feature.items():
            crash = self._describe_crash(feature, broken_sends, now)
            self._reports.record_crash(feature, crash)
            self._record_crash(feature, crash, now)

    def _describe_crash(
        self, feature: str, sends: list[BrokenSend], now: float
    ) -> ServerCrash:
        """Return a crash as seen from the requests with a feature."""
        # The request that was answered last is the likeliest cause.
        last = min(sends, key=lambda broken: broken.since_first_byte_s)
        survived_s = max(broken.since_first_byte_s for broken in sends)
        companions = [other for other in last.features if other != feature]
        return ServerCrash(
            server=last.server,
            node=self._state.own.node,
            since_first_byte_s=round(last.since_first_byte_s, 3),
            since_sent_s=round(last.since_sent_s, 3),
            companions=tuple(companions[:MAX_COMPANIONS]),
            has_passed=self._passed.has_passed(feature, now),
            survived_s=round(survived_s, 3),
            is_unsure=is_shared(feature) and not self._passed.is_reliable,
            position=last.features.index(feature),
        )

    def _record_crash(
        self, content: str, crash: ServerCrash, now: float
    ) -> None:
        settle_s = SETTLE_S if self._is_leading else FOLLOWER_SETTLE_S
        if is_shared(content) and self._passed.has_passed(content, now):
            crash = crash._replace(has_passed=True)
        if self._tracker.record_crash(content, crash, now, settle_s=settle_s):
            self._evaluate_at = float("-inf")

    # Other nodes.

    def record_report(self, report: CrashReport, now: float) -> None:
        """Record the crashes and completions that another node reports."""
        for content, crash in report.crashes:
            self._record_crash(content, crash, now)
        self._passed.record(report.cleared, now)
        for content in report.cleared:
            self._clear(content)
        if not self._is_leading:
            # No leader combines the crashes that different nodes observed,
            # so each node has to get those that this one observed.
            self._reports.broadcast(content for content, _ in report.crashes)

    def record_announced(
        self,
        version: tuple[int, int],
        suspects: tuple[Suspect, ...],
        now: float,
    ) -> None:
        """Apply the suspects that a leader announces.

        Args:
          version: term and number of the list.
          suspects: the list.
          now: current time.
        """
        table = self._state.suspects
        listed = {suspect.content for suspect in suspects}
        if (
            version[0] == table.version[0]
            and len(suspects) < MAX_ANNOUNCED_SUSPECTS
        ):
            # The leader had these in its list before and has cleared them.
            for suspect in table.announced:
                if suspect.content not in listed:
                    self._clear(suspect.content)
        for suspect in suspects:
            self._tracker.record_suspect(suspect, now)
        table.version = version
        table.announced = suspects
        self._evaluate_at = float("-inf")

    def _clear(self, content: str) -> None:
        """Forget a request that ran to completion on another node."""
        self._tracker.clear(content)
        self._reports.drop(content)
        self._evaluate_at = float("-inf")

    def record_answered(
        self, answered: CrashReportAnswered, now: float
    ) -> None:
        """Handle the answer to a report of this node."""
        self._reports.record_answered(answered, now)

    # The store.

    def forget_stored(self) -> None:
        """Forget which requests have a record in the store, to read it anew."""
        self._stored.clear()

    def record_stored(self, content: str, value: bytes, now: float) -> None:
        """Apply the stored record of a withheld request.

        Args:
          content: identifier of the content of the request.
          value: the record, empty if it was deleted.
          now: current time.

        Raises:
          UnreadableError: the record cannot be decoded.
        """
        if not value:
            self._stored.discard(content)
            return
        suspect = _SUSPECT_DECODER.decode(value)
        self._stored.add(content)
        self._tracker.record_suspect(suspect, now)
        self._evaluate_at = float("-inf")

    def record_written(self, written: SuspectWritten) -> None:
        """Handle the outcome of writing a record to the store."""
        self._writing.discard(written.content)
        if not written.is_written:
            return
        if written.is_withheld:
            self._stored.add(written.content)
        else:
            self._stored.discard(written.content)

    # Periodic work.

    def act(
        self,
        now: float,
        *,
        term: int | None,
        leader: NodeEntry | None,
        reaches_store: bool,
    ) -> bool:
        """Send reports, evaluate suspects and write to the store as due.

        Args:
          now: current time.
          term: term in which this node leads, None when it does not.
          leader: the leader, None without contact to one.
          reaches_store: whether the store answers.

        Returns:
          Whether the set of withheld requests changed.
        """
        self._is_leading = term is not None
        if term is None:
            self._reports.send_due(leader, now)
        else:
            self._reports.discard_unsent()
        is_changed = self._evaluate(now, term, has_leader=leader is not None)
        if term is not None and reaches_store:
            self._write_changes()
        return is_changed

    def _evaluate(
        self, now: float, term: int | None, *, has_leader: bool
    ) -> bool:
        """Update which requests are withheld; return whether that changed."""
        table = self._state.suspects
        is_new_term = term is not None and table.version[0] != term
        if now < self._evaluate_at and not is_new_term:
            return False
        if is_new_term:
            self._tracker.begin_term(now)
        # Only the leader can give each trial to one node.
        nodes = () if term is None else [one.node for one in self._state.nodes]
        suspects = self._tracker.evaluate(now, nodes)
        self._evaluate_at = self._find_next_evaluation(now)
        if term is None:
            # The leader knows of more crashes, and of more requests that ran
            # normally.
            follows = has_leader and not self._reports.is_rejected
            suspects = tuple(
                suspect
                for suspect in suspects
                if not is_shared(suspect.content)
                or not (follows or self._tracker.may_be_common(suspect.content))
            )
        if term is None:
            self._reports.broadcast(
                suspect.content
                for suspect in suspects
                if suspect.is_withheld
                and not table.is_announced_withheld(suspect.content)
            )
        elif is_new_term or suspects != table.announced:
            number = 0 if is_new_term else table.version[1] + 1
            table.version = (term, number)
            table.announced = suspects
        withheld, released = table.update(table.announced, suspects)
        for suspect in withheld:
            emit(
                Event.CONTENT_WITHHELD,
                content=suspect.content,
                requires=",".join(suspect.requires),
                servers=suspect.servers,
                nodes=suspect.nodes,
            )
        for content in released:
            emit(Event.CONTENT_RELEASED, content=content)
        return bool(withheld or released)

    def _find_next_evaluation(self, now: float) -> float:
        """Return when to evaluate again unless there is a new crash before."""
        if not len(self._tracker):
            return float("inf")
        next_due = self._tracker.find_next_due(now)
        return now + EVALUATION_INTERVAL_S if next_due is None else next_due

    def _write_changes(self) -> None:
        """Write changes to the store, where the next leader reads them."""
        withheld = {
            suspect.content: suspect
            for suspect in self._state.suspects.list_withheld()
        }
        for content in withheld.keys() - self._stored - self._writing:
            self._writing.add(content)
            self._outbound.write_suspect(content, withheld[content])
        for content in self._stored - withheld.keys() - self._writing:
            self._writing.add(content)
            self._outbound.write_suspect(content, None)

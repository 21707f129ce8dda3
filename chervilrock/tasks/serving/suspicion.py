"""What a node does about requests that crash backend servers.

A send whose connection broke is looked into: only a server that takes no
connections any more has ended. The leader judges by what all nodes saw and
tells it with its announcements. Every node judges by what it knows itself as
well, so that a request is withheld also while nobody leads.
"""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from chervilrock.decisions.serving.suspects import (
    EndReport,
    MAX_TOLD,
    ServerEnd,
    SETTLE_S,
    Suspect,
    SuspectLedger,
)
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.events import emit, Event
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.endreports import EndReports
from chervilrock.tasks.serving.messages import (
    EndsAnswered,
    ServerChecked,
    SuspectWritten,
)
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState

OWN_SETTLE_S = 0.25
"""Time for the verdict of a leader, before a node goes by what it knows
itself."""

VERDICT_S = 0.35
"""Longest wait of a request for a verdict; while a leader is heard it takes
less than a tenth of a second."""

VERDICT_STEP_S = 0.01
"""Time between two looks for it."""

JUDGE_S = 1.0
"""Time between two judgements when nothing is new, for what has expired."""

CHECKED_S = 1.0
"""Time for which it is remembered whether a server lives."""

_MS_PER_S = 1000

_SUSPECT = msgspec.json.Decoder(Suspect)


class BrokenSend(NamedTuple):
    """A send whose connection broke.

    Attributes:
      content: name of what the request asks for.
      server: identifier of the server.
      address: IP:port of the server.
      served_s: seconds since the first byte of the answer, 0 without one.
      sent_s: seconds since it was sent.
    """

    content: str
    server: str
    address: str
    served_s: float
    sent_s: float


class Suspicion:
    """Ends of servers under requests, as one node sees and hears of them."""

    def __init__(self, *, state: ServingState, outbound: Outbound) -> None:
        """Suspect nothing."""
        self._state = state
        self._outbound = outbound
        self._ledger = SuspectLedger()
        self._reports = EndReports(state=state, outbound=outbound)
        self._checks: dict[str, list[BrokenSend]] = {}
        self._checked: dict[str, tuple[bool, float]] = {}
        self._is_leading = False
        self._judge_at = float("inf")
        self._kept: set[str] = set()
        self._writing: set[str] = set()

    # Requests of this node.

    def is_empty(self) -> bool:
        """Tell whether no request is suspected at all."""
        return not len(self._ledger)

    def count_ends(self, content: str) -> int:
        """Return the servers that are known to have ended under a request."""
        return self._ledger.count_ends(content)

    async def wait_for_verdict(
        self, content: str, ends: int, until: float
    ) -> None:
        """Wait whether a request is to be withheld, if it may be.

        Without the wait, the node that sees the third server end would send
        the request to a fourth one before the leader has judged.

        Args:
          content: name of what the request asks for.
          ends: ended servers from which on to wait.
          until: when to go on at the latest.
        """
        if self._ledger.count_ends(content) < ends:
            return
        until = min(until, read_clock() + VERDICT_S)
        while read_clock() < until:
            if self._state.suspects.find_withheld(content) is not None:
                return
            await asyncio.sleep(VERDICT_STEP_S)

    def note_broken(self, broken: BrokenSend, now: float) -> None:
        """Look into a send whose connection broke."""
        for server, (_, checked) in list(self._checked.items()):
            if now - checked > CHECKED_S:
                del self._checked[server]
        if broken.server in self._checked:
            is_alive, checked = self._checked[broken.server]
            # A send to a server that is gone, behind a proxy, ended nothing.
            if now - broken.sent_s < checked:
                self._take_check((broken,), is_alive=is_alive, now=now)
        elif broken.server in self._checks:
            self._checks[broken.server].append(broken)
        else:
            self._checks[broken.server] = [broken]
            self._outbound.check_server(broken.server, broken.address)

    def note_clean(self, content: str) -> None:
        """Note that a request ran to the end of its answer."""
        if self._ledger.clear(content):
            self._reports.note_clean(content)
            self._judge_at = float("-inf")

    def note_checked(self, checked: ServerChecked, now: float) -> None:
        """Take what the look at a server found."""
        self._checked[checked.server] = (checked.is_alive, now)
        sends = self._checks.pop(checked.server, [])
        self._take_check(sends, is_alive=checked.is_alive, now=now)

    def _take_check(
        self, sends: Iterable[BrokenSend], *, is_alive: bool, now: float
    ) -> None:
        if is_alive:
            return
        for one in sends:
            end = ServerEnd(
                server=one.server,
                node=self._state.own.node,
                served_s=round(one.served_s, 3),
                sent_s=round(one.sent_s, 3),
            )
            emit(
                Event.SERVER_ENDED,
                server=one.server,
                content=one.content,
                served_ms=round(one.served_s * _MS_PER_S),
                sent_ms=round(one.sent_s * _MS_PER_S),
            )
            self._reports.note_end(one.content, end)
            self._note_end(one.content, end, now)

    def _note_end(self, content: str, end: ServerEnd, now: float) -> None:
        settle_s = SETTLE_S if self._is_leading else OWN_SETTLE_S
        if self._ledger.note_end(content, end, now, settle_s=settle_s):
            self._judge_at = float("-inf")

    # Other nodes.

    def note_report(self, report: EndReport, now: float) -> None:
        """Take what another node saw."""
        for content, end in report.ends:
            self._note_end(content, end, now)
        for content in report.cleared:
            self._clear(content)
        if not self._is_leading:
            # Nobody adds up what the nodes saw, so each of them has to know.
            self._reports.spread(content for content, _ in report.ends)

    def note_told(
        self, version: tuple[int, int], told: tuple[Suspect, ...], now: float
    ) -> None:
        """Use the list of a leader."""
        table = self._state.suspects
        listed = {one.content for one in told}
        if version[0] == table.version[0] and len(told) < MAX_TOLD:
            # The leader knew these and has let them go.
            for suspect in table.told:
                if suspect.content not in listed:
                    self._clear(suspect.content)
        for suspect in told:
            self._ledger.note_suspect(suspect, now)
        table.version = version
        table.told = told
        self._judge_at = float("-inf")

    def _clear(self, content: str) -> None:
        """Forget a request that another node saw run clean."""
        self._ledger.clear(content)
        self._reports.drop(content)
        self._judge_at = float("-inf")

    def note_answered(self, answered: EndsAnswered, now: float) -> None:
        """Take what came of a report of this node."""
        self._reports.note_answered(answered, now)

    # The store.

    def forget_kept(self) -> None:
        """Read anew what is kept in the store."""
        self._kept.clear()

    def note_kept(self, content: str, value: bytes, now: float) -> None:
        """Take the record of a withheld request.

        Raises:
          msgspec.DecodeError: the record cannot be read.
        """
        if not value:
            self._kept.discard(content)
            return
        suspect = _SUSPECT.decode(value)
        self._kept.add(content)
        self._ledger.note_suspect(suspect, now)
        self._judge_at = float("-inf")

    def note_written(self, written: SuspectWritten) -> None:
        """Take what came of a record."""
        self._writing.discard(written.content)
        if not written.is_written:
            return
        if written.is_withheld:
            self._kept.add(written.content)
        else:
            self._kept.discard(written.content)

    # Acting.

    def act(
        self,
        now: float,
        *,
        term: int | None,
        leader: NodeEntry | None,
        reaches_store: bool,
    ) -> bool:
        """Tell, judge and keep what is due.

        Args:
          now: present time.
          term: term in which this node leads, None when it does not.
          leader: the leader, None when it is not heard.
          reaches_store: whether the store answers.

        Returns:
          Whether requests are withheld, or let go, that were not before.
        """
        self._is_leading = term is not None
        if term is None:
            self._reports.tell(leader, now)
        else:
            self._reports.keep_to_itself()
        is_changed = self._judge(now, term)
        if term is not None and reaches_store:
            self._keep()
        return is_changed

    def _judge(self, now: float, term: int | None) -> bool:
        """Find anew what is withheld; tell whether that changed."""
        table = self._state.suspects
        is_new_term = term is not None and table.version[0] != term
        if now < self._judge_at and not is_new_term:
            return False
        found = self._ledger.judge(now)
        self._judge_at = self._find_next(now)
        if term is None:
            self._reports.spread(
                one.content
                for one in found
                if one.is_withheld and not table.is_told_withheld(one.content)
            )
        elif is_new_term or found != table.told:
            number = 0 if is_new_term else table.version[1] + 1
            table.version = (term, number)
            table.told = found
        begun, ended = table.use(table.told, found)
        for suspect in begun:
            emit(
                Event.CONTENT_WITHHELD,
                content=suspect.content,
                servers=suspect.servers,
                nodes=suspect.nodes,
            )
        for content in ended:
            emit(Event.CONTENT_RELEASED, content=content)
        return bool(begun or ended)

    def _find_next(self, now: float) -> float:
        """Return when to judge again if nothing new comes."""
        if not len(self._ledger):
            return float("inf")
        settling = self._ledger.find_settling(now)
        return now + JUDGE_S if settling is None else settling

    def _keep(self) -> None:
        """Write to the store what is withheld, for the next leader."""
        withheld = {
            one.content: one for one in self._state.suspects.list_withheld()
        }
        for content in withheld.keys() - self._kept - self._writing:
            self._writing.add(content)
            self._outbound.write_suspect(content, withheld[content])
        for content in self._kept - withheld.keys() - self._writing:
            self._writing.add(content)
            self._outbound.write_suspect(content, None)

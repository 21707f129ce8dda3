"""Asks whether the leader of a claim that a starting node has read exists."""

from collections.abc import Callable
from typing import Any

from chervilrock.decisions.serving.nodes.leadercontact import (
    choose_asked,
    find_claim_credit,
    Finding,
    judge_leader,
    judge_others,
    LeaderContact,
    should_probe,
)
from chervilrock.decisions.serving.nodes.leadership import (
    Claim,
    Leadership,
    MAX_REGISTRATION_DELAY_S,
)
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.messages import ContactsAnswered
from chervilrock.tasks.serving.noderecords import NodeRecords
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.state import ServingState

PROBE_PAUSE_S = 0.1
"""Pause between two probes. Processes that start together listen and read the
claim within about this time of each other."""

LONG_PROBE_PAUSE_S = 0.5
"""Pause of the nodes that ask only the leader itself."""

REACHED_TTL_S = 1.0
"""Time for which an answer of the leader's process shows others that it exists.
The other nodes ask the leader for 0.3 s before they ask this node."""


class LeaderProbe:
    """The questions of one node about the leader that it found at its start.

    It asks until the leader announces, counts as lost or is replaced.

    Attributes:
      finding: what the last answers showed.
      probes: number of probes since the start.
    """

    def __init__(
        self,
        *,
        own: NodeEntry,
        state: ServingState,
        leadership: Leadership,
        records: NodeRecords,
        outbound: Outbound,
    ) -> None:
        """Create a probe that has asked nothing yet.

        Args:
          own: this node.
          state: state that is shared with the request handlers.
          leadership: tracker of the leader.
          records: nodes and claims that were read.
          outbound: makes calls.
        """
        self._own = own
        self._state = state
        self._leadership = leadership
        self._records = records
        self._outbound = outbound
        self._is_pending = False
        self._asks_others = False
        self._rank = 0
        self._next_time = float("-inf")
        self._reached_at = float("-inf")
        self._reached_term = -1
        self.finding = Finding.UNKNOWN
        self.probes = 0

    def act(self, find_rank: Callable[[], int], now: float) -> None:
        """Ask the leader's process if a probe is due.

        Args:
          find_rank: returns the rank of this node in the order of claims.
          now: current time.
        """
        if self._is_pending or now < self._next_time:
            return
        claim = self._find_claim()
        leader = self._records.find_leader()
        first_read_time = self._records.first_read_time
        if claim is None or leader is None or first_read_time is None:
            return
        waited_s = now - first_read_time
        self._rank = find_rank()
        self._asks_others = should_probe(self._rank, waited_s)
        # Where the leader answers, the node may register.
        if not self._asks_others and waited_s < MAX_REGISTRATION_DELAY_S:
            return
        self.probes += 1
        self._is_pending = True
        self._outbound.ask_contacts(claim.term, (leader,), is_leader=True)

    def record(self, answered: ContactsAnswered, now: float) -> None:
        """Record answers of the leader's process or of other nodes."""
        self._is_pending = False
        self._next_time = now + (
            PROBE_PAUSE_S if self._asks_others else LONG_PROBE_PAUSE_S
        )
        claim = self._find_claim()
        if claim is None or claim.term != answered.term:
            return
        if answered.is_leader:
            finding = judge_leader(claim, answered.answers[0])
            if finding is Finding.LIVE:
                self._reached_at = now
                self._reached_term = claim.term
        else:
            finding = judge_others(claim, answered.answers)
        if finding is Finding.ABSENT and self._asks_others:
            self._ask_others(claim)
            return
        self._apply(finding, claim, answered, now)

    def find_contact(self, now: float, *, is_leader: bool) -> LeaderContact:
        """Return what this node answers to another one that asks."""
        leadership = self._leadership
        has_reached = (
            self._reached_term == leadership.term
            and now - self._reached_at <= REACHED_TTL_S
        )
        return LeaderContact(
            incarnation=self._own.incarnation,
            term=leadership.term,
            has_contact=is_leader or leadership.has_contact(now) or has_reached,
        )

    def describe(self) -> dict[str, Any]:
        """Return the state of the probe for a dump."""
        return {"probes": self.probes, "finding": self.finding.value}

    def _find_claim(self) -> Claim | None:
        """Return the claim whose leader may be gone, None for no such claim."""
        claim = self._leadership.claim
        is_found_at_start = (
            claim is not None and claim.term == self._records.first_term
        )
        if is_found_at_start and self._leadership.awaits_first_contact:
            return claim
        return None

    def _ask_others(self, claim: Claim) -> None:
        """Ask other nodes about a leader whose process does not answer."""
        leader = self._records.find_leader()
        if leader is None:
            return
        asked = choose_asked(
            self._own,
            leader,
            self._state.known_nodes.values(),
            rank=self._rank,
            generator=self._state.generator,
        )
        if not asked:
            return
        self._is_pending = True
        self._outbound.ask_contacts(claim.term, asked, is_leader=False)

    def _apply(
        self,
        finding: Finding,
        claim: Claim,
        answered: ContactsAnswered,
        now: float,
    ) -> None:
        is_new = finding is not self.finding
        self.finding = finding
        if finding is Finding.LIVE:
            self._leadership.record_indirect_contact(now)
        elif finding is Finding.LOST:
            self._leadership.record_lost(now - find_claim_credit(self._rank))
        if not is_new or answered.is_leader or finding is Finding.UNKNOWN:
            return
        emit(
            Event.LEADER_PROBED,
            leader=claim.entry.node,
            term=claim.term,
            finding=finding.value,
            answers=sum(
                answer.contact is not None for answer in answered.answers
            ),
            asked=len(answered.answers),
        )

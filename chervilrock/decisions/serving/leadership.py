"""Which node leads: reads the servers' entries and orders groups.

The leader is the node of the last claim in the store; its term is the offset
of the claim, so that terms only grow. Claims are conditional on the offset up
to which the claimant has read, so of two that claim at once one loses. A
leader needs no lease: servers refuse memberships with an epoch below one that
they have seen, epochs begin with the term, and a leader opens a group only
after it saw every member ready under that epoch. An old leader that wakes up
can therefore disturb nothing that its successor has ordered, and it stops when
it hears of a greater term.
"""

from typing import NamedTuple

from chervilrock.decisions.serving.view import LeaderEntry

SILENCE_S = 0.75
"""Time without an announcement after which a leader counts as lost: three
intervals of 0.25 s. With 1.0 s a killed leader was replaced after 1.2 s."""

STEP_S = 0.12
"""Time between the claims of two nodes: a claim takes some 10 ms to be read
by all, so that mostly only the first one is made."""

CLAIM_PAUSE_S = 0.5
"""Time until a node that lost a claim, or got no answer, claims again."""

STORE_SILENCE_S = 1.5
"""Time without an answer of the store after which a leader gives way to a
node that reaches it."""


class Claim(NamedTuple):
    """A claim to lead, from the store."""

    term: int
    entry: LeaderEntry


class Leadership:
    """What a node knows of the leader.

    Attributes:
      claim: last claim that was read, None before the first.
    """

    def __init__(self, *, node: str, incarnation: str, now: float) -> None:
        """Know of no leader yet.

        Args:
          node: name of this node.
          incarnation: identifier of this start of its process.
          now: present time.
        """
        self._own = LeaderEntry(node=node, incarnation=incarnation)
        self._heard = now
        self._tried = float("-inf")
        self.claim: Claim | None = None

    @property
    def term(self) -> int:
        """Term of the leader, -1 when none is known."""
        return -1 if self.claim is None else self.claim.term

    @property
    def is_leader(self) -> bool:
        """Whether this very process leads."""
        return self.claim is not None and self.claim.entry == self._own

    @property
    def own_entry(self) -> LeaderEntry:
        """The record by which this process claims to lead."""
        return self._own

    def note_claim(self, claim: Claim, now: float) -> bool:
        """Take a claim from the store; tell whether it is a newer one."""
        if claim.term <= self.term:
            return False
        self.claim = claim
        self._heard = now
        return True

    def note_announcement(self, term: int, now: float) -> None:
        """Note that the leader of a term lives."""
        if term >= self.term:
            self._heard = now

    def note_lost(self) -> None:
        """Note that the leader said that it stops."""
        self._heard = float("-inf")

    def note_try(self, now: float) -> None:
        """Note that this node tried to claim."""
        self._tried = now

    def should_claim(self, rank: int, now: float) -> bool:
        """Tell whether this node should claim to lead.

        Args:
          rank: place of this node among those that live; lower ones first.
          now: present time.
        """
        if self.is_leader or now - self._tried < CLAIM_PAUSE_S:
            return False
        return now - self._heard > SILENCE_S + rank * STEP_S

    def may_try(self, rank: int, now: float) -> bool:
        """Tell whether this node may try to replace a leader that is cut off.

        Args:
          rank: place of this node among those that live.
          now: present time.
        """
        pause = CLAIM_PAUSE_S + rank * STEP_S
        return not self.is_leader and now - self._tried >= pause

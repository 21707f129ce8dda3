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

INTERVAL_S = 0.25
"""Longest usual time between two announcements to a node, by which a leader or
a node that is lost is noticed."""

PAUSE_S = 0.12
"""Least time between two announcements to a node. Loads and silent groups are
known after it; at 9 nodes it takes 67 small messages a second. With 0.25 s a
group of nine slots that seemed to hold four requests held eleven."""

INTERVAL_PER_NODE_S = 0.006
"""The least time for each node: a leader speaks to 170 nodes a second, which
takes it a tenth of a core."""

SILENT_INTERVALS = 3
"""Intervals without an announcement after which a leader counts as lost. With
1.0 s at 9 nodes a killed leader was replaced after 1.2 s, with 0.75 s after
0.9 s."""

UNHEARD_S = 1.65
"""Time after which the leader of a claim that was read counts as lost if it was
never heard. One that lives speaks to a node that has registered within two
intervals, behind a relay that is lost 0.9 s later. When this time followed the
number of all nodes, 232 that had all lost power waited 4.2 s for a leader that
did not come back."""

STEP_S = 0.12
"""Time between the claims of two nodes: a claim takes some 10 ms to be read
by all, so that mostly only the first one is made."""

LAST_RANK = 20
"""Rank from which on all nodes wait equally long: when so many are lost, the
store settles which of the others leads."""

CLAIMANTS = 3
"""Nodes that write their records at once after a start, so that one of them can
claim: the others wait for it."""

LONGEST_RECORD_WAIT_S = 0.6
"""Longest wait of the others, in which three nodes read, register and claim
several times over."""

CLAIM_PAUSE_S = 0.5
"""Time until a node that lost a claim, or got no answer, claims again."""

STORE_SILENCE_S = 1.5
"""Time without an answer of the store after which a leader gives way to a
node that reaches it."""


def find_interval(nodes: int) -> float:
    """Return the time between two announcements to a node, in seconds."""
    return max(INTERVAL_S, INTERVAL_PER_NODE_S * nodes)


def find_pause(nodes: int) -> float:
    """Return the time after which a node is told the loads again."""
    return max(PAUSE_S, INTERVAL_PER_NODE_S * nodes)


def should_register(
    *, rank: int, is_led: bool, was_leader: bool, waited_s: float
) -> bool:
    """Tell whether a node that has started should write its record.

    A claim counts only if nothing was written since its node has read, and the
    store appends one record after the other, so that the records of many nodes
    that start at once overtake each claim: 232 nodes that had all lost power
    had no leader until the last of them had registered, 1.1 s after the store
    was back. Those that need not claim wait for a leader, but not for long.

    Args:
      rank: place of the node in the order of claims.
      is_led: whether somebody leads who is known to live.
      was_leader: whether the last leader was a former process of the node; its
        record tells that it is gone.
      waited_s: time since the node read the records of the others.
    """
    is_claimant = rank < CLAIMANTS or was_leader
    return is_claimant or is_led or waited_s >= LONGEST_RECORD_WAIT_S


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
        self._lost_since: float | None = None
        self._lost_after_s: float | None = None
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
        self._lost_since = None
        self._lost_after_s = None
        return True

    def note_announcement(
        self, term: int, *, lost_after_s: float, is_ending: bool, now: float
    ) -> None:
        """Note that the leader of a term lives.

        Args:
          term: its term.
          lost_after_s: time without another one after which it is lost.
          is_ending: whether another node should take its place, since it
            stops or gets no answer of the store.
          now: present time.
        """
        if term < self.term:
            return
        self._heard = now
        self._lost_after_s = lost_after_s
        if not is_ending:
            self._lost_since = None
        else:
            self.note_lost(now)

    def note_lost(self, now: float) -> None:
        """Note that the leader stops, or that its process was replaced."""
        if self._lost_since is None:
            self._lost_since = now

    def note_node(self, entry: LeaderEntry, now: float) -> None:
        """Note that a process of a node has registered.

        A new process in the place of the leader tells that it is gone. After
        all processes were killed this saves 0.75 s of silence.
        """
        claim = self.claim
        if claim is None or entry.node != claim.entry.node:
            return
        if entry.incarnation != claim.entry.incarnation:
            self.note_lost(now)

    def note_try(self, now: float) -> None:
        """Note that this node tried to claim."""
        self._tried = now

    def note_overtaken(self) -> None:
        """Note that another record came before the claim of this node.

        It may claim again once it has read that record.
        """
        self._tried = float("-inf")

    def is_followed(self, now: float) -> bool:
        """Tell whether this node heard its leader lately."""
        return self._lost_since is None and self.is_heard(now)

    def is_heard(self, now: float) -> bool:
        """Tell whether the leader speaks, be it to say that it gives way."""
        silence_s = self._lost_after_s
        return silence_s is not None and now - self._heard <= silence_s

    def find_unled(self, now: float) -> float:
        """Return the seconds without a leader that reaches the store."""
        begins = []
        if self._lost_since is not None:
            begins.append(self._lost_since)
        if not self.is_heard(now):
            begins.append(self._heard + (self._lost_after_s or 0.0))
        return now - min(begins) if begins else 0.0

    def should_claim(self, rank: int, nodes: int, now: float) -> bool:
        """Tell whether this node should claim to lead.

        Args:
          rank: place of this node among those that live; lower ones first.
          nodes: number of nodes.
          now: present time.
        """
        if self.is_leader or now - self._tried < CLAIM_PAUSE_S:
            return False
        turn_s = min(rank, LAST_RANK) * STEP_S
        if self._lost_since is not None and now - self._lost_since > turn_s:
            return True
        silence_s = self._lost_after_s
        if silence_s is None:
            silence_s = SILENT_INTERVALS * find_interval(nodes)
            silence_s = min(silence_s, UNHEARD_S)
        return now - self._heard > silence_s + turn_s

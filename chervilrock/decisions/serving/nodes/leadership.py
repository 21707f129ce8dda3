"""Leader election among the nodes.

The leader reads the entries of the servers and manages the groups. It is the
node of the last claim in the store; its term is derived from the offset of the
claim, so that terms only grow. Claims are conditional on the offset up to
which the claimant has read, so that of two concurrent claims one fails.

A leader needs no lease. Epochs begin with the term, and a server rejects
memberships with an epoch below one that it has seen, so a former leader cannot
take a server back that has joined a group of its successor. Until then it may
still form, open and end groups of its own term. So no leader derives from its
own orders that a group of an earlier term has ended: a join depends on the
group and the number of orders of the server, as it reported them. A former
leader stops when it receives a greater term, or learns of one from a server.
"""

from typing import NamedTuple

from chervilrock.decisions.serving.view import LeaderEntry

ANNOUNCEMENT_INTERVAL_S = 0.25
"""Usual upper bound of the time between two announcements to a node. It
determines how soon the loss of a leader or of a node is detected."""

MIN_ANNOUNCEMENT_INTERVAL_S = 0.12
"""Least time between two announcements to a node, after which loads and stalled
groups are known. 9 nodes exchange 67 small messages a second at this rate. With
0.25 s a group of nine slots that was reported with four requests had eleven."""

MIN_INTERVAL_PER_NODE_S = 0.006
"""Least interval for each node of the installation: it limits a leader to 170
announcements a second, which use a tenth of a core."""

MISSED_INTERVALS = 3
"""Intervals without an announcement after which a leader counts as lost: 0.75 s
at 9 nodes, where a killed leader is replaced after 0.9 s. With a limit of 1.0 s
it takes 1.2 s."""

FIRST_CONTACT_TIMEOUT_S = 1.65
"""Time after which the leader of a claim counts as lost if this node has never
received an announcement of it. A live leader sends the first one to a node
within two intervals of its registration, or 0.9 s later behind a relay that is
lost. A timeout in proportion to the number of nodes is too long: at 232 nodes,
all of which lost power, it is 4.2 s, spent on a leader that is gone."""

CLAIM_STAGGER_S = 0.12
"""Delay between the claims of nodes of consecutive ranks. All nodes read a
claim within some 10 ms, so that mostly only the first one is made."""

LAST_RANK = 20
"""Rank from which on all nodes wait equally long. When so many nodes are lost,
the conditional write to the store decides which of the others leads."""

CLAIMANTS = 3
"""Nodes that register at once after a start, so that one of them can claim. The
others wait for it."""

MAX_REGISTRATION_DELAY_S = 0.6
"""Time for which the other nodes delay their registration at least. It suffices
for three nodes to read, register and claim several times."""

REGISTRATION_STAGGER_S = 0.05
"""Delay between the registrations of nodes of consecutive ranks after that. A
claim takes a read and a write of some milliseconds each, so that most claims
fall between two registrations."""

LAST_REGISTRATION_DELAY_S = 2.9
"""Time for which the nodes from `LAST_RANK` on delay their registration. By
then most of the others have claimed. 300 registrations take the store 1.2 s,
and these nodes claim 4.05 s after their start."""

CLAIM_RETRY_S = 0.5
"""Time until a node whose claim failed or got no answer claims again."""

STORE_TIMEOUT_S = 1.5
"""Time without an answer of the store after which a leader steps down in favour
of a node that reaches the store."""


def find_interval(nodes: int) -> float:
    """Return the time between two announcements to a node, in seconds."""
    return max(ANNOUNCEMENT_INTERVAL_S, MIN_INTERVAL_PER_NODE_S * nodes)


def find_min_interval(nodes: int) -> float:
    """Return the least time between two announcements to a node, in seconds."""
    return max(MIN_ANNOUNCEMENT_INTERVAL_S, MIN_INTERVAL_PER_NODE_S * nodes)


def should_register(
    *, rank: int, has_leader: bool, was_leader: bool, waited_s: float
) -> bool:
    """Return whether a node that has started should register in the store.

    A claim succeeds only if nothing was written since its node last read, and
    the store appends one record after the other, so that the registrations of
    many nodes that start at once make each claim fail: 232 nodes that had all
    lost power had no leader until the last of them had registered, 1.1 s after
    the store had recovered. Nodes that need not claim therefore wait for a
    leader, for a limited time.

    Args:
      rank: rank of the node in the order of claims.
      has_leader: whether there is a leader that is known to be alive.
      was_leader: whether the last leader was a former process of the node; the
        registration informs the others that the former process has ended.
      waited_s: time since the node read the records of the others.
    """
    is_claimant = rank < CLAIMANTS or was_leader
    delay_s = LAST_REGISTRATION_DELAY_S
    if rank < LAST_RANK:
        stagger_s = (rank - CLAIMANTS) * REGISTRATION_STAGGER_S
        delay_s = MAX_REGISTRATION_DELAY_S + stagger_s
    return is_claimant or has_leader or waited_s >= delay_s


class Claim(NamedTuple):
    """A claim to lead, from the store."""

    term: int
    entry: LeaderEntry


class Leadership:
    """Tracks the leader from the point of view of one node.

    Attributes:
      claim: last claim that was read, None before the first.
      has_indirect_contact: whether the leader was found to exist before it
        announced to this node.
    """

    def __init__(self, *, node: str, incarnation: str, now: float) -> None:
        """Create a tracker without a leader.

        Args:
          node: name of this node.
          incarnation: identifier of this start of its process.
          now: current time.
        """
        self._own = LeaderEntry(node=node, incarnation=incarnation)
        self._last_contact = now
        self._claim_tried_at = float("-inf")
        self._lost_since: float | None = None
        self._lost_after_s: float | None = None
        self.has_indirect_contact = False
        self.claim: Claim | None = None

    @property
    def term(self) -> int:
        """Term of the leader, -1 without one."""
        return -1 if self.claim is None else self.claim.term

    @property
    def is_leader(self) -> bool:
        """Whether this process is the leader."""
        return self.claim is not None and self.claim.entry == self._own

    @property
    def own_entry(self) -> LeaderEntry:
        """Record with which this process claims to lead."""
        return self._own

    def record_claim(self, claim: Claim, now: float) -> bool:
        """Apply a claim from the store; return whether it is newer."""
        if claim.term <= self.term:
            return False
        self.claim = claim
        self._last_contact = now
        self._lost_since = None
        self._lost_after_s = None
        self.has_indirect_contact = False
        return True

    def record_announcement(
        self,
        term: int,
        *,
        lost_after_s: float,
        is_stepping_down: bool,
        now: float,
    ) -> None:
        """Record an announcement of the leader of a term.

        Args:
          term: term of the leader.
          lost_after_s: time without another announcement after which the
            leader counts as lost.
          is_stepping_down: whether another node should replace it, since it
            stops or gets no answer of the store.
          now: current time.
        """
        if term < self.term:
            return
        self._last_contact = now
        self._lost_after_s = lost_after_s
        if not is_stepping_down:
            self._lost_since = None
        else:
            self.record_lost(now)

    def record_lost(self, now: float) -> None:
        """Record that the leader stops, or that its process was replaced."""
        if self._lost_since is None:
            self._lost_since = now

    @property
    def awaits_first_contact(self) -> bool:
        """Whether a leader that never announced here is not known as lost."""
        is_lost = self._lost_since is not None
        is_other = self.claim is not None and not self.is_leader
        return is_other and not is_lost and self._lost_after_s is None

    def record_indirect_contact(self, now: float) -> None:
        """Record that a leader that has never announced here exists.

        It answered, or another node has contact with it. Until it announces,
        this delays the claim of a node that its announcements do not reach.
        """
        if self.awaits_first_contact:
            self._last_contact = now
            self.has_indirect_contact = True

    def record_node(self, entry: LeaderEntry, now: float) -> None:
        """Record that a process of a node has registered.

        A new process on the node of the leader means that the leader has
        ended. After all processes were killed this saves the 0.75 s until the
        leader would count as lost.
        """
        claim = self.claim
        if claim is None or entry.node != claim.entry.node:
            return
        if entry.incarnation != claim.entry.incarnation:
            self.record_lost(now)

    def record_claim_attempt(self, now: float) -> None:
        """Record that this node tried to claim."""
        self._claim_tried_at = now

    def record_claim_conflict(self) -> None:
        """Record that the claim failed since another record came first.

        The node may claim again once it has read that record.
        """
        self._claim_tried_at = float("-inf")

    def has_active_leader(self, now: float) -> bool:
        """Return whether there is contact with a leader that stays."""
        return self._lost_since is None and self.has_contact(now)

    def has_contact(self, now: float) -> bool:
        """Return whether the leader announces, even if it steps down."""
        timeout_s = self._lost_after_s
        return timeout_s is not None and now - self._last_contact <= timeout_s

    def find_leaderless_s(self, now: float) -> float:
        """Return the seconds without a leader that reaches the store."""
        start_times = []
        if self._lost_since is not None:
            start_times.append(self._lost_since)
        if not self.has_contact(now):
            start_times.append(self._last_contact + (self._lost_after_s or 0.0))
        return now - min(start_times) if start_times else 0.0

    def should_claim(self, rank: int, nodes: int, now: float) -> bool:
        """Return whether this node should claim to lead.

        Args:
          rank: rank of this node among the live ones; lower ranks claim first.
          nodes: number of nodes.
          now: current time.
        """
        if self.is_leader or now - self._claim_tried_at < CLAIM_RETRY_S:
            return False
        stagger_s = min(rank, LAST_RANK) * CLAIM_STAGGER_S
        if self._lost_since is not None and now - self._lost_since > stagger_s:
            return True
        timeout_s = self._lost_after_s
        if timeout_s is None:
            timeout_s = MISSED_INTERVALS * find_interval(nodes)
            timeout_s = min(timeout_s, FIRST_CONTACT_TIMEOUT_S)
        return now - self._last_contact > timeout_s + stagger_s

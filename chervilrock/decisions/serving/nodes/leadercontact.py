"""Whether the leader of a claim that a starting node has read still exists.

Load pattern: all processes are killed at once and start again while traffic
continues, but the host of the leader does not come back. Each node reads the
claim of that leader and gets no announcement. Its timeout alone is longer than
all the rest of a start, in which all groups stay ready. A few nodes therefore
ask the process that claimed and, if it does not answer, some other nodes. The
leader counts as lost if most of them answer and none has contact with it. A
leader that only this node cannot reach has contact with others and is not
replaced.
"""

from collections.abc import Iterable, Sequence
import enum
from typing import NamedTuple, TYPE_CHECKING

from chervilrock.decisions.serving.nodes.leadership import (
    Claim,
    CLAIM_STAGGER_S,
    LAST_RANK,
)
from chervilrock.decisions.serving.view import NodeEntry

if TYPE_CHECKING:
    import random

PROBERS = 3
"""Nodes that ask at the same time, as many as register at once."""

PROBE_STAGGER_S = 0.5
"""Time after which the nodes of the next ranks ask as well, in case the hosts
of the first ones are gone. It is a little less than two timeouts of a call,
which a complete probe takes at most."""

ASKED_NODES = 6
"""Greatest number of other nodes that are asked at once. 300 nodes that start
get 18 questions in total within the first half second."""


class LeaderContact(NamedTuple):
    """What a node answers when another one asks about the leader.

    Attributes:
      incarnation: this start of its process.
      term: greatest term that it knows, -1 for none.
      has_contact: whether it leads in this term, gets announcements of its
        leader, or got an answer of the leader's process a moment ago.
    """

    incarnation: str
    term: int
    has_contact: bool


class ContactAnswer(NamedTuple):
    """Outcome of a question to a node.

    Attributes:
      is_answered: whether any answer arrived. A node of the previous version
        answers, but does not state its contact.
      contact: what it states, None without a readable answer.
    """

    is_answered: bool
    contact: LeaderContact | None = None


class Finding(enum.Enum):
    """What answers show about the leader of a claim.

    Attributes:
      LIVE: it leads, or another node has contact with it.
      UNKNOWN: nothing; the usual timeouts apply.
      ABSENT: its process does not answer, or another one has its address.
      LOST: its process does not answer and no other node has contact with it.
    """

    LIVE = "live"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    LOST = "lost"


def should_probe(rank: int, waited_s: float) -> bool:
    """Return whether a node without contact asks whether the leader exists.

    Args:
      rank: rank of the node in the order of claims.
      waited_s: time since the node has read the claim, in seconds.
    """
    return waited_s >= find_round(rank) * PROBE_STAGGER_S


def find_round(rank: int) -> int:
    """Return how many groups of `PROBERS` nodes ask before a node does."""
    return min(rank, LAST_RANK) // PROBERS


def find_claim_credit(rank: int) -> float:
    """Return the part of its wait to claim that a node has waited to ask.

    Args:
      rank: rank of the node in the order of claims.

    Returns:
      Seconds.
    """
    return find_round(rank) * PROBERS * CLAIM_STAGGER_S


def choose_asked(
    own: NodeEntry,
    leader: NodeEntry,
    nodes: Iterable[NodeEntry],
    *,
    rank: int,
    generator: "random.Random",
) -> tuple[NodeEntry, ...]:
    """Return the nodes to ask about a leader that does not answer.

    The nodes that probe at the same time come first, since only they know of a
    leader that announces to no one yet. The others are drawn from all data
    centres in turn, that of this node last, so that a data centre that is cut
    off does not count a leader outside of it as lost.

    Args:
      own: this node.
      leader: the leader.
      nodes: all known nodes.
      rank: rank of this node in the order of claims.
      generator: draws the nodes of each data centre.
    """
    skipped = {own.node, leader.node}
    others = [node for node in nodes if node.node not in skipped]
    others.sort(key=lambda node: (-node.cores, node))
    first = find_round(rank) * PROBERS
    chosen = others[first : first + PROBERS - 1]
    by_data_centre: dict[str, list[NodeEntry]] = {}
    for node in others[:first] + others[first + PROBERS - 1 :]:
        by_data_centre.setdefault(node.data_centre, []).append(node)
    pools = sorted(
        by_data_centre.items(), key=lambda item: item[0] == own.data_centre
    )
    for _, pool in pools:
        generator.shuffle(pool)
    while len(chosen) < ASKED_NODES and any(pool for _, pool in pools):
        for _, pool in pools:
            if pool and len(chosen) < ASKED_NODES:
                chosen.append(pool.pop())
    return tuple(chosen)


def judge_leader(claim: Claim, answer: ContactAnswer) -> Finding:
    """Return what the answer from the address of a leader shows.

    Args:
      claim: claim of the leader.
      answer: answer from its address. One that states nothing may come from a
        leader of the previous version.
    """
    contact = answer.contact
    if contact is None:
        return Finding.UNKNOWN if answer.is_answered else Finding.ABSENT
    if contact.incarnation != claim.entry.incarnation:
        return Finding.ABSENT
    is_leading = contact.term == claim.term and contact.has_contact
    return Finding.LIVE if is_leading else Finding.UNKNOWN


def judge_others(claim: Claim, answers: Sequence[ContactAnswer]) -> Finding:
    """Return what the answers of other nodes show of a silent leader.

    A node that has not read the claim yet cannot know its leader, so that its
    answer counts as none.

    Args:
      claim: claim of the leader.
      answers: answer of each node that was asked.
    """
    contacts = [
        answer.contact for answer in answers if answer.contact is not None
    ]
    if any(contact.term > claim.term for contact in contacts):
        # The claim of a newer leader is about to be read.
        return Finding.UNKNOWN
    informed = [contact for contact in contacts if contact.term == claim.term]
    if any(contact.has_contact for contact in informed):
        return Finding.LIVE
    has_majority = 2 * len(informed) > len(answers)
    return Finding.LOST if has_majority else Finding.UNKNOWN

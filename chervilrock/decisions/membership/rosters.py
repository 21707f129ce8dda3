"""Sets of members of a data centre, identified by a hash.

Nodes compare hashes and request the members only if these differ. A node caches
the most recent sets of members, so that it can send and apply differences.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

import xxhash

from chervilrock.generated.interfaces import NodePhase, PeerNode, Roster

MAX_SETS = 6
"""Number of sets of members that are cached for each data centre."""

MAX_LOAD = 10.0
PERCENT = 100

Members = Mapping[str, PeerNode]
"""Members of a data centre by incarnation."""

HashedState = tuple[str, NodePhase, bool]
"""Incarnation, phase, and whether the node is reachable."""

_HEXADECIMAL = 16
_HEXADECIMAL_DIGITS = frozenset("0123456789abcdef")
_RANKS = {phase: rank for rank, phase in enumerate(NodePhase)}


def rank_phase(phase: NodePhase) -> int:
    """Return the position of a phase in the lifecycle of a node."""
    return _RANKS[phase]


def is_departing(phase: NodePhase) -> bool:
    """Return whether a node in this phase accepts no new callers."""
    return _RANKS[phase] >= _RANKS[NodePhase.LEAVING]


def hash_states(states: Iterable[HashedState]) -> str:
    """Return a hash of states, which are in the order of incarnations."""
    parts = [f"{key}{phase}{reachable:d}" for key, phase, reachable in states]
    return xxhash.xxh32_hexdigest("\n".join(parts).encode())


def read_state(peer: PeerNode) -> HashedState:
    """Return the fields of an entry that are part of the hash."""
    return peer.incarnation, peer.phase, peer.reachable


def hash_members(members: Members) -> str:
    """Return a hash of a set of members."""
    return hash_states(read_state(members[key]) for key in sorted(members))


def encode_holders(marks: Sequence[bool]) -> str:
    """Encode a bitmap of members as hexadecimal, empty if all are marked."""
    if all(marks):
        return ""
    bits = 0
    for mark in marks:
        bits = bits * 2 + mark
    return f"{bits:x}"


def decode_holders(incarnations: list[str], holders: str) -> list[str]:
    """Return the incarnations that `encode_holders` marked.

    Text that is not hexadecimal marks no member.
    """
    if not holders:
        return incarnations
    if not _HEXADECIMAL_DIGITS.issuperset(holders):
        return []
    bits = int(holders, _HEXADECIMAL)
    backwards = sorted(incarnations, reverse=True)
    return [
        key for position, key in enumerate(backwards) if bits >> position & 1
    ]


def mean_load(loads: Sequence[float]) -> int:
    """Return the mean of loads in percent, 0 when there are none."""
    if not loads:
        return 0
    bounded = [min(max(load, 0.0), MAX_LOAD) for load in loads]
    return round(PERCENT * sum(bounded) / len(bounded))


class RosterCache:
    """A cache of the most recent sets of members of one data centre."""

    def __init__(self, *, data_centre: str) -> None:
        """Create an empty cache.

        Args:
          data_centre: name of the data centre
        """
        self._data_centre = data_centre
        self._sets: OrderedDict[str, Members] = OrderedDict()

    def __contains__(self, key: str) -> bool:
        return key in self._sets

    def keep(self, members: Members) -> None:
        """Add a set of members and evict the least recently used one."""
        key = hash_members(members)
        self._sets[key] = members
        self._sets.move_to_end(key)
        if len(self._sets) > MAX_SETS:
            self._sets.popitem(last=False)

    def find(self, key: str) -> Members | None:
        """Return a cached set of members by its hash."""
        members = self._sets.get(key)
        if members is not None:
            self._sets.move_to_end(key)
        return members

    def make(self, members: Members, base: str) -> Roster:
        """Return members as a difference from a base, all if it is unknown."""
        known = self._sets.get(base)
        if known is None:
            base, known = "", {}
        return Roster(
            data_centre=self._data_centre,
            members=hash_members(members),
            base=base,
            added=tuple(
                peer
                for key, peer in members.items()
                if key not in known
                or read_state(known[key]) != read_state(peer)
            ),
            removed=tuple(key for key in known if key not in members),
        )

    def read(self, roster: Roster) -> None:
        """Cache the members that a roster describes.

        A roster with an unknown base or a wrong hash is ignored.
        """
        known = self._sets.get(roster.base) if roster.base else {}
        if known is None:
            return
        members = dict(known)
        for key in roster.removed:
            members.pop(key, None)
        for peer in roster.added:
            members[peer.incarnation] = peer
        if hash_members(members) == roster.members:
            self.keep(members)

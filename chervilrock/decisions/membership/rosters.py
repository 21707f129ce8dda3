"""The members of a data centre as a value with a hash.

Nodes compare hashes and ask for the members only when these differ. A node
remembers the last sets of members, so that it can send and read differences.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

import xxhash

from chervilrock.generated.interfaces import NodePhase, PeerNode, Roster

MAX_SETS = 6
"""Sets of members that are remembered for each data centre."""

MAX_LOAD = 10.0
PERCENT = 100

Members = Mapping[str, PeerNode]
"""Members of a data centre by incarnation."""

Trait = tuple[str, NodePhase, bool]
"""Incarnation, phase, and whether the node is reachable."""

_HEXADECIMAL = 16
_HEXADECIMAL_DIGITS = frozenset("0123456789abcdef")
_RANKS = {phase: rank for rank, phase in enumerate(NodePhase)}


def rank_phase(phase: NodePhase) -> int:
    """Return the place of a phase in the life of a node."""
    return _RANKS[phase]


def is_departing(phase: NodePhase) -> bool:
    """Say whether a node in this phase takes no new callers any more."""
    return _RANKS[phase] >= _RANKS[NodePhase.LEAVING]


def hash_traits(traits: Iterable[Trait]) -> str:
    """Return a hash of traits, which are in the order of incarnations."""
    parts = [f"{key}{phase}{reachable:d}" for key, phase, reachable in traits]
    return xxhash.xxh32_hexdigest("\n".join(parts).encode())


def read_trait(peer: PeerNode) -> Trait:
    """Return what of an entry makes a set of members another one."""
    return peer.incarnation, peer.phase, peer.reachable


def hash_members(members: Members) -> str:
    """Return a hash of the traits of members."""
    return hash_traits(read_trait(members[key]) for key in sorted(members))


def encode_holders(holds: Sequence[bool]) -> str:
    """Return marks of members, in their order, as text; empty for all."""
    if all(holds):
        return ""
    bits = 0
    for mark in holds:
        bits = bits * 2 + mark
    return f"{bits:x}"


def decode_holders(incarnations: list[str], holders: str) -> list[str]:
    """Return the incarnations that `encode_holders` marked.

    Text that is no such mark stands for no member.
    """
    if not holders:
        return incarnations
    if not _HEXADECIMAL_DIGITS.issuperset(holders):
        return []
    bits = int(holders, _HEXADECIMAL)
    backwards = sorted(incarnations, reverse=True)
    return [key for place, key in enumerate(backwards) if bits >> place & 1]


def mean_load(loads: Sequence[float]) -> int:
    """Return the mean of loads in percent, 0 when there are none."""
    if not loads:
        return 0
    bounded = [min(max(load, 0.0), MAX_LOAD) for load in loads]
    return round(PERCENT * sum(bounded) / len(bounded))


class RosterBook:
    """The last sets of members of one data centre."""

    def __init__(self, *, data_centre: str) -> None:
        """Remember no set.

        Args:
          data_centre: name of the data centre
        """
        self._data_centre = data_centre
        self._sets: OrderedDict[str, Members] = OrderedDict()

    def __contains__(self, key: str) -> bool:
        return key in self._sets

    def keep(self, members: Members) -> None:
        """Remember a set of members."""
        key = hash_members(members)
        self._sets[key] = members
        self._sets.move_to_end(key)
        if len(self._sets) > MAX_SETS:
            self._sets.popitem(last=False)

    def find(self, key: str) -> Members | None:
        """Return a remembered set of members by its hash."""
        members = self._sets.get(key)
        if members is not None:
            self._sets.move_to_end(key)
        return members

    def make(self, members: Members, base: str) -> Roster:
        """Return members as a difference to a set, whole if it is unknown."""
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
                or read_trait(known[key]) != read_trait(peer)
            ),
            removed=tuple(key for key in known if key not in members),
        )

    def read(self, roster: Roster) -> None:
        """Remember the members that a roster describes.

        Nothing is remembered when the base is unknown or the hash is wrong.
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

"""Bounds of workspaces over all nodes, without a central counter.

Each node tells its peers how many requests of each bounded workspace it runs
and holds. A node's part of a bound follows the demand at all nodes. Nodes
learn of each other with a lag, so a part shrinks at once but grows only after
`SETTLE_S`, when the others have had time to shrink theirs, and only as far as
leaves room for what the others still run or have reserved.

A node that lacks fresh news of any member falls back to an equal part for
each member, which needs no news: in a partition the sum over both sides stays
within the bound. There a part grows only after the longest time of a request,
when the requests that ran on the other side have ended. Members count until
the node drops them from its table, so a member that cannot be seen keeps its
part.
"""

from collections.abc import Iterable, Mapping
import math
from typing import NamedTuple

from chervilrock.generated import interfaces

SETTLE_S = 3.0
"""Time in which news reaches every node; parts grow only after it."""

FRESH_S = 3.0
"""Greatest age of news of a peer in seconds."""


class _PeerUse(NamedTuple):
    known_at: float
    uses: Mapping[str, interfaces.WorkspaceUse]


class _Part(NamedTuple):
    allowed: int
    wanted: int
    wanted_since: float


class Quota:
    """This node's parts of the bounds of workspaces."""

    def __init__(self, *, node: str) -> None:
        """Start with no bound and no members.

        Args:
          node: identifier of this node.
        """
        self._node = node
        self._bounds: dict[str, int] = {}
        self._members: frozenset[str] = frozenset({node})
        self._peers: dict[str, _PeerUse] = {}
        self._parts: dict[str, _Part] = {}
        self._allowed: dict[str, int] = {}
        self._longest_s = 0.0

    def set_bounds(
        self, bounds: Mapping[str, int], *, longest_s: float
    ) -> None:
        """Set the bounds.

        Args:
          bounds: bound of each bounded workspace over all nodes.
          longest_s: longest time of a request in seconds.
        """
        self._bounds = dict(bounds)
        self._longest_s = longest_s
        self._parts = {
            name: part for name, part in self._parts.items() if name in bounds
        }
        self._allowed = {
            name: allowed
            for name, allowed in self._allowed.items()
            if name in bounds
        }

    def is_bounded(self, workspace: str) -> bool:
        """Tell whether a workspace has a bound."""
        return workspace in self._bounds

    def bounded(self) -> tuple[str, ...]:
        """Return the names of the bounded workspaces."""
        return tuple(self._bounds)

    def observe_members(self, members: Iterable[str]) -> None:
        """Learn all nodes that may run requests, reachable or not."""
        self._members = frozenset(members) | {self._node}
        self._peers = {
            node: use
            for node, use in self._peers.items()
            if node in self._members
        }

    def observe_peer(self, use: interfaces.NodeUse, now: float) -> None:
        """Learn the use of a peer; older news than the known is dropped."""
        if use.node == self._node:
            return
        known_at = now - use.age_ms / 1000.0
        known = self._peers.get(use.node)
        if known is not None and known.known_at >= known_at:
            return
        uses = {entry.workspace: entry for entry in use.uses}
        self._peers[use.node] = _PeerUse(known_at, uses)

    def peer_uses(self, now: float) -> tuple[interfaces.NodeUse, ...]:
        """Return fresh news of peers with its age, to be handed on."""
        return tuple(
            interfaces.NodeUse(
                node=node,
                age_ms=math.ceil((now - use.known_at) * 1000.0),
                uses=tuple(use.uses.values()),
            )
            for node, use in self._peers.items()
            if now - use.known_at <= FRESH_S
        )

    def update(
        self, own: Iterable[interfaces.WorkspaceUse], now: float
    ) -> None:
        """Move the parts of all bounded workspaces.

        It has to be called several times a second.

        Args:
          own: use of each bounded workspace at this node.
          now: present time.
        """
        knows_all = self._knows_all(now)
        settle = SETTLE_S if knows_all else max(SETTLE_S, self._longest_s)
        for use in own:
            name = use.workspace
            wanted = self._equal_part(name)
            if knows_all:
                wanted = self._wanted_part(use)
            part = self._parts.get(name, _Part(0, wanted, now))
            part = _move_part(part, wanted, settle, now)
            self._parts[name] = part
            excess = self._excess(use) if knows_all else 0
            self._allowed[name] = max(0, part.allowed - excess)

    def allowed(self, workspace: str) -> int:
        """Return how many requests of a bounded workspace may run here."""
        return self._allowed.get(workspace, 0)

    def reserved(self, workspace: str) -> int:
        """Return how many requests may run here now or soon.

        A part is told to the others before it is used.
        """
        part = self._parts.get(workspace)
        return max(part.allowed, part.wanted) if part is not None else 0

    def _knows_all(self, now: float) -> bool:
        for node in self._members:
            if node == self._node:
                continue
            use = self._peers.get(node)
            if use is None or now - use.known_at > FRESH_S:
                return False
        return True

    def _equal_part(self, workspace: str) -> int:
        """Return the part that is safe without news of the others."""
        whole, rest = divmod(self._bounds[workspace], len(self._members))
        place = sorted(self._members).index(self._node)
        return whole + (1 if place < rest else 0)

    def _wanted_part(self, own: interfaces.WorkspaceUse) -> int:
        """Return the part by demand, with the news that this node has."""
        return self._part_for(own, self._demand(own))

    def _demand(self, own: interfaces.WorkspaceUse) -> int:
        """Return the demand at all nodes.

        Each member counts one request more, so that none gets nothing.
        """
        entries = [own, *self._peer_entries(own.workspace)]
        demand = sum(entry.in_flight + entry.waiting for entry in entries)
        return demand + len(self._members)

    def _part_for(self, use: interfaces.WorkspaceUse, total: int) -> int:
        demand = use.in_flight + use.waiting + 1
        return self._bounds[use.workspace] * demand // total

    def _excess(self, own: interfaces.WorkspaceUse) -> int:
        """Return by how much others run or reserve more than their parts.

        A node whose part has shrunk still runs what it started before. Every
        other node leaves room for all of it, which is more than needed, but
        needs no agreement on who leaves how much.
        """
        total = self._demand(own)
        return sum(
            max(
                0, max(use.in_flight, use.reserved) - self._part_for(use, total)
            )
            for use in self._peer_entries(own.workspace)
        )

    def _peer_entries(
        self, workspace: str
    ) -> Iterable[interfaces.WorkspaceUse]:
        for use in self._peers.values():
            entry = use.uses.get(workspace)
            if entry is not None:
                yield entry


def _move_part(part: _Part, wanted: int, settle: float, now: float) -> _Part:
    """Shrink a part at once; grow it to the least wish of the last time."""
    if wanted <= part.allowed:
        return _Part(wanted, wanted, now)
    if wanted < part.wanted or part.wanted <= part.allowed:
        return _Part(part.allowed, wanted, now)
    if now - part.wanted_since >= settle:
        return _Part(part.wanted, wanted, now)
    return part

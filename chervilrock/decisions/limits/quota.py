"""Bounds of workspaces over all nodes, without a central counter.

Each node reports to its peers how many requests of each bounded workspace run
and wait at it. Each node has an allocation of a bound, which follows the
demand at all nodes. Reports arrive with a lag, so an allocation shrinks at
once but grows only after `PROPAGATION_S`, when the other nodes have had time
to shrink theirs, and only as far as what the others still run or have
reserved permits.

A node without fresh reports from all members falls back to an equal
allocation for each member, which needs no reports: in a partition, the sum
over both sides stays within the bound. In that case an allocation grows only
after the maximum duration of a request, when the requests that ran on the
other side have ended. Members count until the node drops them from its table,
so an unreachable member keeps its allocation.
"""

from collections.abc import Iterable, Mapping
import math
from typing import NamedTuple

from chervilrock.generated import interfaces

PROPAGATION_S = 3.0
"""Time for a report to reach all nodes; allocations grow only after it."""

MAX_PEER_AGE_S = 3.0
"""Maximum age in seconds at which the report of a peer is used."""


class _PeerUse(NamedTuple):
    measured_at: float
    uses: Mapping[str, interfaces.WorkspaceUse]


class _Allocation(NamedTuple):
    allowed: int
    wanted: int
    wanted_since: float


class Quota:
    """Allocations of this node from the bounds of workspaces."""

    def __init__(self, *, node: str) -> None:
        """Create a quota without bounds, with this node as the only member.

        Args:
          node: identifier of this node.
        """
        self._node = node
        self._bounds: dict[str, int] = {}
        self._members: frozenset[str] = frozenset({node})
        self._peers: dict[str, _PeerUse] = {}
        self._allocations: dict[str, _Allocation] = {}
        self._allowed: dict[str, int] = {}
        self._max_request_s = 0.0

    def set_bounds(
        self, bounds: Mapping[str, int], *, max_request_s: float
    ) -> None:
        """Set the bounds.

        Args:
          bounds: bound of each bounded workspace over all nodes.
          max_request_s: maximum duration of a request in seconds.
        """
        self._bounds = dict(bounds)
        self._max_request_s = max_request_s
        self._allocations = {
            name: allocation
            for name, allocation in self._allocations.items()
            if name in bounds
        }
        self._allowed = {
            name: allowed
            for name, allowed in self._allowed.items()
            if name in bounds
        }

    def is_bounded(self, workspace: str) -> bool:
        """Return whether a workspace has a bound."""
        return workspace in self._bounds

    def bounded(self) -> tuple[str, ...]:
        """Return the names of the bounded workspaces."""
        return tuple(self._bounds)

    def observe_members(self, members: Iterable[str]) -> None:
        """Set all nodes that may run requests, reachable or not."""
        self._members = frozenset(members) | {self._node}
        self._peers = {
            node: use
            for node, use in self._peers.items()
            if node in self._members
        }

    def observe_peer(self, use: interfaces.NodeUse, now: float) -> None:
        """Record the use of a peer unless a newer report is known."""
        if use.node == self._node:
            return
        measured_at = now - use.age_ms / 1000.0
        known = self._peers.get(use.node)
        if known is not None and known.measured_at >= measured_at:
            return
        uses = {entry.workspace: entry for entry in use.uses}
        self._peers[use.node] = _PeerUse(measured_at, uses)

    def peer_uses(self, now: float) -> tuple[interfaces.NodeUse, ...]:
        """Return the fresh reports of peers with their age, to forward."""
        return tuple(
            interfaces.NodeUse(
                node=node,
                age_ms=math.ceil((now - use.measured_at) * 1000.0),
                uses=tuple(use.uses.values()),
            )
            for node, use in self._peers.items()
            if now - use.measured_at <= MAX_PEER_AGE_S
        )

    def update(
        self, own: Iterable[interfaces.WorkspaceUse], now: float
    ) -> None:
        """Update the allocations of all bounded workspaces.

        It must be called several times a second.

        Args:
          own: use of each bounded workspace at this node.
          now: present time.
        """
        has_fresh_peers = self._has_fresh_peers(now)
        settle_s = (
            PROPAGATION_S
            if has_fresh_peers
            else max(PROPAGATION_S, self._max_request_s)
        )
        for use in own:
            name = use.workspace
            wanted = self._equal_allocation(name)
            if has_fresh_peers:
                wanted = self._wanted_allocation(use)
            allocation = self._allocations.get(
                name, _Allocation(0, wanted, now)
            )
            allocation = _update_allocation(allocation, wanted, settle_s, now)
            self._allocations[name] = allocation
            excess = self._excess(use) if has_fresh_peers else 0
            self._allowed[name] = max(0, allocation.allowed - excess)

    def allowed(self, workspace: str) -> int:
        """Return how many requests of a bounded workspace may run here."""
        return self._allowed.get(workspace, 0)

    def reserved(self, workspace: str) -> int:
        """Return how many requests may run here now or soon.

        An allocation is reported to the other nodes before it is used.
        """
        allocation = self._allocations.get(workspace)
        return (
            max(allocation.allowed, allocation.wanted)
            if allocation is not None
            else 0
        )

    def _has_fresh_peers(self, now: float) -> bool:
        for node in self._members:
            if node == self._node:
                continue
            use = self._peers.get(node)
            if use is None or now - use.measured_at > MAX_PEER_AGE_S:
                return False
        return True

    def _equal_allocation(self, workspace: str) -> int:
        """Return the allocation that is safe without reports of peers."""
        whole, remainder = divmod(self._bounds[workspace], len(self._members))
        rank = sorted(self._members).index(self._node)
        return whole + (1 if rank < remainder else 0)

    def _wanted_allocation(self, own: interfaces.WorkspaceUse) -> int:
        """Return the allocation by demand, from the reports at this node."""
        return self._allocation_for(own, self._demand(own))

    def _demand(self, own: interfaces.WorkspaceUse) -> int:
        """Return the demand at all nodes.

        Each member counts as one more request, so that a member without
        requests still has some demand.
        """
        entries = [own, *self._peer_entries(own.workspace)]
        demand = sum(entry.in_flight + entry.waiting for entry in entries)
        return demand + len(self._members)

    def _allocation_for(self, use: interfaces.WorkspaceUse, total: int) -> int:
        demand = use.in_flight + use.waiting + 1
        return self._bounds[use.workspace] * demand // total

    def _excess(self, own: interfaces.WorkspaceUse) -> int:
        """Return how much peers run or reserve beyond their allocations.

        A node whose allocation has shrunk still runs the requests that it
        started before. Every other node subtracts all of this excess, which
        is more than needed, but requires no agreement on how to divide it.
        """
        total = self._demand(own)
        return sum(
            max(
                0,
                max(use.in_flight, use.reserved)
                - self._allocation_for(use, total),
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


def _update_allocation(
    allocation: _Allocation, wanted: int, settle_s: float, now: float
) -> _Allocation:
    """Shrink at once; grow to the minimum wanted during `settle_s`."""
    if wanted <= allocation.allowed:
        return _Allocation(wanted, wanted, now)
    if wanted < allocation.wanted or allocation.wanted <= allocation.allowed:
        return _Allocation(allocation.allowed, wanted, now)
    if now - allocation.wanted_since >= settle_s:
        return _Allocation(allocation.wanted, wanted, now)
    return allocation

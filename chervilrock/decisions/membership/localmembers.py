"""The nodes of the own data centre.

The heartbeat of a node is its own clock, which its neighbours forward. They
therefore know the age of an update on any path, and neither a delayed message
nor a node that was paused can make a dead node look live. Phase and revision
only increase, so updates may arrive in any order.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from chervilrock.decisions.membership.clocks import (
    ClockEstimate,
    Counter,
    MAX_COUNTER,
)
from chervilrock.decisions.membership.rosters import (
    decode_holders,
    encode_holders,
    hash_states,
    HashedState,
    is_departing,
    mean_load,
    Members,
    rank_phase,
    RosterCache,
)
from chervilrock.generated.interfaces import (
    DataCentreReport,
    HeartbeatReport,
    NodePhase,
    PeerNode,
)

MAX_MEMBERS = 1024
PERCENT = 100


class LocalMember:
    """The known state of a node of the own data centre.

    Attributes:
      entry: the first entry received of the node
      heartbeat: its greatest heartbeat
      phase: its latest phase
      load: its load
      revision: its greatest configuration revision
      reachable: whether a node of another data centre has reached it
      last_seen: estimated time at which it sent its greatest heartbeat, in
        seconds of the local clock
    """

    __slots__ = (
        "entry",
        "heartbeat",
        "phase",
        "load",
        "revision",
        "reachable",
        "last_seen",
        "_clock",
    )

    def __init__(self, *, entry: PeerNode, last_seen: float) -> None:
        """Create a member from the first entry received."""
        self.entry = entry
        self.heartbeat = entry.heartbeat
        self.phase = entry.phase
        self.load = entry.load
        self.revision = entry.revision
        self.reachable = entry.reachable
        self.last_seen = last_seen
        self._clock = ClockEstimate(counter=entry.heartbeat, now=last_seen)

    @property
    def peer(self) -> PeerNode:
        """The entry of the node, up to date."""
        return self.entry._replace(
            heartbeat=self.heartbeat,
            phase=self.phase,
            load=self.load,
            revision=self.revision,
            reachable=self.reachable,
        )

    @property
    def hashed_state(self) -> HashedState:
        """The fields that are part of the hash of a set of members."""
        return self.entry.incarnation, self.phase, self.reachable

    def update_heartbeat(self, heartbeat: int, load: float, now: float) -> None:
        """Apply a heartbeat and the load sent with it, if it is newer."""
        if self.heartbeat < heartbeat < MAX_COUNTER:
            self.heartbeat = heartbeat
            self.load = load
            self.last_seen = self._clock.update(heartbeat, now)

    def expect_heartbeat(self, now: float) -> int:
        """Return the heartbeat that the node should have reached."""
        return self._clock.expect(now)

    def update_phase(self, phase: NodePhase) -> bool:
        """Apply a phase, unless it is an earlier one.

        Returns:
          Whether the node has begun to leave or stopped with this phase.
        """
        if rank_phase(phase) <= rank_phase(self.phase):
            return False
        self.phase = phase
        return is_departing(phase)


class LocalView(NamedTuple):
    """The live nodes of the own data centre, this one included.

    Attributes:
      key: hash of the members
      members: the members in the order of incarnations
    """

    key: str
    members: tuple[LocalMember, ...]


class LocalMembers:
    """The nodes of the own data centre, including recently dead ones.

    Attributes:
      own: this node
      departures: number of nodes that were observed to leave or stop
      disputed: incarnations of nodes that this node considers dead and
        another node reported as live
    """

    def __init__(self, *, own: PeerNode) -> None:
        """Create a set that contains only this node."""
        self.own = LocalMember(entry=own, last_seen=math.inf)
        self.departures = 0
        self.disputed: set[str] = set()
        self._others: dict[str, LocalMember] = {}
        self._counter = Counter()
        self._roster_cache = RosterCache(data_centre=own.data_centre)
        self._live: list[LocalMember] = []
        self._states: list[HashedState] = []
        self._view = LocalView("", ())

    @property
    def roster_cache(self) -> RosterCache:
        """The most recent sets of live members."""
        return self._roster_cache

    @property
    def others(self) -> Iterable[LocalMember]:
        """All other nodes, including dead ones."""
        return self._others.values()

    def view(self, now: float, dead_after_s: float) -> LocalView:
        """Return the live members, and cache them if they changed."""
        live = [*self.live(now, dead_after_s)]
        if self.own.phase != NodePhase.STOPPED or not live:
            live.append(self.own)
        states = [member.hashed_state for member in live]
        if live != self._live or states != self._states:
            self._live, self._states = live, states
            self._view = _make_view(live)
            self._roster_cache.keep(to_members(self._view.members))
        return self._view

    def live(self, now: float, dead_after_s: float) -> list[LocalMember]:
        """Return the other nodes that are live and have not stopped."""
        return [
            member
            for member in self._others.values()
            if now - member.last_seen <= dead_after_s
            and member.phase != NodePhase.STOPPED
        ]

    def merge_entry(self, peer: PeerNode, now: float) -> None:
        """Merge an entry from the node itself or from another node."""
        if peer.incarnation == self.own.entry.incarnation:
            self.advance_own(peer.heartbeat, now)
            return
        known = self._others.get(peer.incarnation)
        if known is None:
            if peer.phase != NodePhase.STOPPED:
                self._make_room()
                member = LocalMember(entry=peer, last_seen=now)
                self._others[peer.incarnation] = member
            return
        known.update_heartbeat(peer.heartbeat, peer.load, now)
        known.revision = max(known.revision, peer.revision)
        known.reachable = known.reachable or peer.reachable
        self.departures += known.update_phase(peer.phase)

    def merge_heartbeats(self, report: HeartbeatReport, now: float) -> None:
        """Merge heartbeats, if the set of members they refer to is known."""
        members = self._roster_cache.find(report.members)
        if members is None or len(report.heartbeats) != len(members):
            return
        updates = zip(
            sorted(members), report.heartbeats, report.loads, strict=False
        )
        own = self.own.entry.incarnation
        for incarnation, heartbeat, load in updates:
            known = self._others.get(incarnation)
            if known is not None:
                known.update_heartbeat(heartbeat, load / PERCENT, now)
            elif incarnation == own:
                self.advance_own(heartbeat, now)

    def merge_holders(self, report: DataCentreReport) -> None:
        """Merge which nodes have a configuration revision in force."""
        members = self._roster_cache.find(report.members)
        if members is None:
            return
        for incarnation in decode_holders(list(members), report.holders):
            known = self._others.get(incarnation)
            if known is not None:
                known.revision = max(known.revision, report.revision)

    def beat(self, now: float) -> None:
        """Update the own heartbeat."""
        self.own.heartbeat = self._counter.read(now)

    def advance_own(self, heartbeat: int, now: float) -> None:
        """Advance the own heartbeat to the value that others expect."""
        self._counter.advance(heartbeat, now)
        self.beat(now)

    def expect_heartbeat(self, incarnation: str, now: float) -> int:
        """Return the heartbeat that a node should have, 0 if unknown."""
        known = self._others.get(incarnation)
        return 0 if known is None else known.expect_heartbeat(now)

    def forget(self, now: float, after_s: float) -> None:
        """Drop nodes without a heartbeat for `after_s` seconds."""
        expired = [
            key
            for key, member in self._others.items()
            if now - member.last_seen > after_s
        ]
        for key in expired:
            del self._others[key]

    def _make_room(self) -> None:
        """Drop the least recently seen node if the limit is reached."""
        if len(self._others) >= MAX_MEMBERS:
            oldest = min(
                self._others, key=lambda key: self._others[key].last_seen
            )
            del self._others[oldest]


def to_members(local_members: Iterable[LocalMember]) -> Members:
    """Return members by incarnation."""
    return {member.entry.incarnation: member.peer for member in local_members}


def report_heartbeats(view: LocalView) -> HeartbeatReport:
    """Return the heartbeats and loads of members as sent to each other."""
    return HeartbeatReport(
        members=view.key,
        heartbeats=tuple([member.heartbeat for member in view.members]),
        loads=tuple([round(m.load * PERCENT) for m in view.members]),
    )


def report_data_centre(
    view: LocalView, data_centre: str, clock: int
) -> DataCentreReport:
    """Return the report of the own data centre as it is sent."""
    revisions = [member.revision for member in view.members]
    newest = max(revisions)
    serving = [
        member.load
        for member in view.members
        if member.phase == NodePhase.SERVING
    ]
    return DataCentreReport(
        data_centre=data_centre,
        clock=clock,
        members=view.key,
        load=mean_load(serving),
        revision=newest,
        holders=encode_holders([revision >= newest for revision in revisions]),
    )


def _make_view(live: list[LocalMember]) -> LocalView:
    ordered = sorted(live, key=lambda member: member.entry.incarnation)
    key = hash_states(member.hashed_state for member in ordered)
    return LocalView(key, tuple(ordered))

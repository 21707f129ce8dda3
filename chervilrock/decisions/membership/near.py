"""The nodes of the own data centre.

The heartbeat of a node is its own clock, which its neighbours hand on. So they
know how old news of it is, however it came, and neither a delayed message nor
a node that was paused can make a dead node look alive. Phase and revision
only ever go up, so the order in which news arrives does not matter.
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
    hash_traits,
    is_departing,
    mean_load,
    Members,
    rank_phase,
    RosterBook,
    Trait,
)
from chervilrock.generated.interfaces import (
    DataCentreReport,
    HeartbeatReport,
    NodePhase,
    PeerNode,
)

MAX_MEMBERS = 1024
PERCENT = 100


class NearMember:
    """What is known of a node of the own data centre.

    Attributes:
      entry: the node as it was first heard of
      heartbeat: its greatest heartbeat
      phase: its latest phase
      load: its load
      revision: its greatest configuration revision
      reachable: whether a node of another data centre has reached it
      heard: when it sent its greatest heartbeat, as far as is known, in
        seconds of the local clock
    """

    __slots__ = (
        "entry",
        "heartbeat",
        "phase",
        "load",
        "revision",
        "reachable",
        "heard",
        "_clock",
    )

    def __init__(self, *, entry: PeerNode, heard: float) -> None:
        """Take an entry that is heard of for the first time."""
        self.entry = entry
        self.heartbeat = entry.heartbeat
        self.phase = entry.phase
        self.load = entry.load
        self.revision = entry.revision
        self.reachable = entry.reachable
        self.heard = heard
        self._clock = ClockEstimate(counter=entry.heartbeat, now=heard)

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
    def trait(self) -> Trait:
        """What makes a set of members another one."""
        return self.entry.incarnation, self.phase, self.reachable

    def take_heartbeat(self, heartbeat: int, load: float, now: float) -> None:
        """Take a heartbeat and the load told with it, if it is news."""
        if self.heartbeat < heartbeat < MAX_COUNTER:
            self.heartbeat = heartbeat
            self.load = load
            self.heard = self._clock.take(heartbeat, now)

    def expect_heartbeat(self, now: float) -> int:
        """Return the heartbeat that the node should have reached."""
        return self._clock.expect(now)

    def take_phase(self, phase: NodePhase) -> bool:
        """Take a phase, unless it is an earlier one.

        Returns:
          Whether the node has thereby begun to leave, or stopped.
        """
        if rank_phase(phase) <= rank_phase(self.phase):
            return False
        self.phase = phase
        return is_departing(phase)


class NearView(NamedTuple):
    """The live nodes of the own data centre, this one included.

    Attributes:
      key: hash of the members
      members: the members in the order of incarnations
    """

    key: str
    members: tuple[NearMember, ...]


class NearMembers:
    """The nodes of the own data centre, dead ones for a while.

    Attributes:
      own: this node
      departures: counts the nodes that were seen to leave or stop
      disputed: incarnations of nodes that are dead for this node and that
        another one named as live
    """

    def __init__(self, *, own: PeerNode) -> None:
        """Know only this node."""
        self.own = NearMember(entry=own, heard=math.inf)
        self.departures = 0
        self.disputed: set[str] = set()
        self._others: dict[str, NearMember] = {}
        self._counter = Counter()
        self._book = RosterBook(data_centre=own.data_centre)
        self._live: list[NearMember] = []
        self._traits: list[Trait] = []
        self._view = NearView("", ())

    @property
    def book(self) -> RosterBook:
        """The last sets of live members."""
        return self._book

    @property
    def others(self) -> Iterable[NearMember]:
        """All other nodes, dead ones too."""
        return self._others.values()

    def view(self, now: float, dead_after_s: float) -> NearView:
        """Return the live members, and remember them when they changed."""
        live = [*self.live(now, dead_after_s)]
        if self.own.phase != NodePhase.STOPPED or not live:
            live.append(self.own)
        traits = [member.trait for member in live]
        if live != self._live or traits != self._traits:
            self._live, self._traits = live, traits
            self._view = _make_view(live)
            self._book.keep(to_members(self._view.members))
        return self._view

    def live(self, now: float, dead_after_s: float) -> list[NearMember]:
        """Return the other nodes that live and have not stopped."""
        return [
            member
            for member in self._others.values()
            if now - member.heard <= dead_after_s
            and member.phase != NodePhase.STOPPED
        ]

    def merge_entry(self, peer: PeerNode, now: float) -> None:
        """Take what a node says of itself or another node knows of it."""
        if peer.incarnation == self.own.entry.incarnation:
            self.advance_own(peer.heartbeat, now)
            return
        known = self._others.get(peer.incarnation)
        if known is None:
            if peer.phase != NodePhase.STOPPED:
                self._make_room()
                member = NearMember(entry=peer, heard=now)
                self._others[peer.incarnation] = member
            return
        known.take_heartbeat(peer.heartbeat, peer.load, now)
        known.revision = max(known.revision, peer.revision)
        known.reachable = known.reachable or peer.reachable
        self.departures += known.take_phase(peer.phase)

    def merge_heartbeats(self, report: HeartbeatReport, now: float) -> None:
        """Take news of nodes, if the members it is about are known."""
        members = self._book.find(report.members)
        if members is None or len(report.heartbeats) != len(members):
            return
        news = zip(
            sorted(members), report.heartbeats, report.loads, strict=False
        )
        own = self.own.entry.incarnation
        for incarnation, heartbeat, load in news:
            known = self._others.get(incarnation)
            if known is not None:
                known.take_heartbeat(heartbeat, load / PERCENT, now)
            elif incarnation == own:
                self.advance_own(heartbeat, now)

    def merge_holders(self, report: DataCentreReport) -> None:
        """Take which nodes have a configuration revision in force."""
        members = self._book.find(report.members)
        if members is None:
            return
        for incarnation in decode_holders(list(members), report.holders):
            known = self._others.get(incarnation)
            if known is not None:
                known.revision = max(known.revision, report.revision)

    def beat(self, now: float) -> None:
        """Bring the own heartbeat up to date."""
        self.own.heartbeat = self._counter.read(now)

    def advance_own(self, heartbeat: int, now: float) -> None:
        """Catch up with the heartbeat that others expect of this node."""
        self._counter.advance(heartbeat, now)
        self.beat(now)

    def expect_heartbeat(self, incarnation: str, now: float) -> int:
        """Return the heartbeat that a node should have, 0 if unknown."""
        known = self._others.get(incarnation)
        return 0 if known is None else known.expect_heartbeat(now)

    def forget(self, now: float, after_s: float) -> None:
        """Drop nodes that have been silent for long."""
        gone = [
            key
            for key, member in self._others.items()
            if now - member.heard > after_s
        ]
        for key in gone:
            del self._others[key]

    def _make_room(self) -> None:
        """Drop the node that has been silent longest when there are many."""
        if len(self._others) >= MAX_MEMBERS:
            oldest = min(self._others, key=lambda key: self._others[key].heard)
            del self._others[oldest]


def to_members(near: Iterable[NearMember]) -> Members:
    """Return members by incarnation."""
    return {member.entry.incarnation: member.peer for member in near}


def report_heartbeats(view: NearView) -> HeartbeatReport:
    """Return the news of members as it is sent to others of them."""
    return HeartbeatReport(
        members=view.key,
        heartbeats=tuple([member.heartbeat for member in view.members]),
        loads=tuple([round(m.load * PERCENT) for m in view.members]),
    )


def report_data_centre(
    view: NearView, data_centre: str, clock: int
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
        holders=encode_holders([one >= newest for one in revisions]),
    )


def _make_view(live: list[NearMember]) -> NearView:
    ordered = sorted(live, key=lambda member: member.entry.incarnation)
    key = hash_traits(member.trait for member in ordered)
    return NearView(key, tuple(ordered))

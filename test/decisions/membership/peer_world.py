"""Simulated nodes that exchange digests under fake time, without a network."""

import random

import msgspec

from chervilrock.decisions.membership.exchange import Message, PeerExchange
from chervilrock.decisions.membership.links import PeerLinks
from chervilrock.decisions.membership.localconfiguration import (
    LocalConfiguration,
)
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.generated.interfaces import NodePhase, NodeUse, PeerDigest
from chervilrock.generated.records import (
    Record,
    RecordId,
    RecordKind,
    StoredRecord,
)
from test.decisions.membership.peer_nodes import make_node

INTERVAL_S = 0.5
STEP_S = 0.5


def make_stored(revision: int) -> StoredRecord:
    """Returns a record of a configuration with an empty body."""
    return StoredRecord(
        offset=revision,
        record=Record(
            kind=RecordKind.CONFIGURATION_APPLIED,
            record_id=RecordId(writer="w", sequence=revision),
            body={},
        ),
    )


class FakeConfiguration(LocalConfiguration):
    """A configuration that records the revisions it was asked to adopt."""

    def __init__(self, *, follows: bool = False) -> None:
        self.adopted_revisions: list[int] = []
        self.follows = follows
        self._stored: StoredRecord | None = None

    @property
    def revision(self) -> int:
        return 0 if self._stored is None else self._stored.offset

    def current(self) -> StoredRecord | None:
        return self._stored

    def adopt(self, stored: StoredRecord, now: float) -> None:
        self.adopted_revisions.append(stored.offset)
        if stored.offset > self.revision:
            self._stored = stored

    def follows_log(self, now: float) -> bool:
        return self.follows


class FakeShareTracker:
    """A share tracker that records the uses and members it receives."""

    def __init__(self) -> None:
        self.uses: tuple[NodeUse, ...] = ()
        self.seen: list[NodeUse] = []
        self.members: set[str] = set()

    def shares(self, now: float) -> tuple[NodeUse, ...]:
        return self.uses

    def observe_peer_uses(self, uses: object, now: float) -> None:
        self.seen += uses  # type: ignore[arg-type]

    def observe_members(self, members: object, now: float) -> None:
        self.members = set(members)  # type: ignore[call-overload]


class SimNode:
    """A simulated node.

    Attributes:
      paused: whether the node is paused
      lag_s: how far its clock is behind that of the world, in seconds
    """

    def __init__(
        self,
        name: str,
        *,
        data_centre: str = "d1",
        region: str = "r1",
        start: int = 1,
        seeds: tuple[str, ...] = (),
        follows: bool = False,
    ) -> None:
        self.name = name
        self.incarnation = f"{name}.{start}"
        self.address = f"{name}:1"
        self.localconfiguration = FakeConfiguration(follows=follows)
        self.shares = FakeShareTracker()
        self.paused = False
        self.lag_s = 0.0
        generator = random.Random(f"{name}.{start}")
        self.table = MemberTable(
            own=make_node(
                name,
                incarnation=self.incarnation,
                data_centre=data_centre,
                region=region,
            ),
            interval_s=INTERVAL_S,
        )
        self.links = PeerLinks(
            table=self.table, seeds=seeds, generator=generator
        )
        self.exchange = PeerExchange(
            table=self.table,
            links=self.links,
            localconfiguration=self.localconfiguration,
            shares=self.shares,
            generator=generator,
        )

    def update(self, phase: NodePhase | None = None) -> None:
        own = self.table.own
        self.table.update_own(
            phase=phase or own.phase,
            load=own.load,
            revision=self.localconfiguration.revision,
        )

    def see_live(self, now: float) -> set[str]:
        """Returns the incarnations that this node considers live."""
        return {peer.incarnation for peer in self.table.live(now)}


class World:
    """Nodes that reach each other unless they are partitioned.

    Attributes:
      now: present time in seconds
      nodes: running nodes by address, paused ones too
      sides: side of a partition by data centre, empty for no partition
      isolated: names of nodes that cannot reach the others
      carried: the digests of the last exchanges, in order
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.nodes: dict[str, SimNode] = {}
        self.sides: dict[str, int] = {}
        self.isolated: set[str] = set()
        self.carried: list[PeerDigest] = []

    def add(self, node: SimNode) -> SimNode:
        self.nodes[node.address] = node
        return node

    def remove(self, node: SimNode) -> None:
        del self.nodes[node.address]

    def clock(self, node: SimNode) -> float:
        """Returns the present time by the clock of a node."""
        return self.now - node.lag_s

    def active(self) -> list[SimNode]:
        return [node for node in self.nodes.values() if not node.paused]

    def run(self, seconds: float) -> None:
        """Runs the exchanges of all nodes for a time."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + STEP_S)
            for node in self.active():
                node.update()
                for message in node.exchange.begin(self.clock(node)):
                    self.carry(node, message)
                self.run_immediate(node)

    def run_immediate(self, node: SimNode) -> None:
        """Runs the immediate exchanges of a node."""
        for _ in range(12):
            if not node.exchange.is_immediate_due():
                return
            node.update()
            message = node.exchange.begin_immediate(self.clock(node))
            if message is None:
                return
            self.carry(node, message)

    def carry(self, node: SimNode, message: Message) -> None:
        """Delivers a message and its follow-ups, encoded and decoded."""
        following: Message | None = message
        while following is not None:
            target = self.nodes.get(following.address)
            if target is None or target.paused or self.is_cut(node, target):
                node.exchange.fail(following, self.clock(node))
                return
            digest = copy_digest(following.digest)
            target.update()
            answer = copy_digest(
                target.exchange.answer(digest, self.clock(target))
            )
            target.update()
            self.carried += [digest, answer]
            following = node.exchange.finish(
                following, answer, self.clock(node)
            )
            node.update()

    def is_cut(self, one: SimNode, other: SimNode) -> bool:
        if (one.name in self.isolated) != (other.name in self.isolated):
            return True
        if not self.sides:
            return False
        places = (one.table.own.data_centre, other.table.own.data_centre)
        return self.sides[places[0]] != self.sides[places[1]]

    def agree(self) -> bool:
        """Returns whether all nodes consider just the running nodes live."""
        running = {node.incarnation for node in self.active()}
        return all(
            node.see_live(self.clock(node)) == running for node in self.active()
        )


def copy_digest(digest: PeerDigest) -> PeerDigest:
    return msgspec.json.decode(msgspec.json.encode(digest), type=PeerDigest)


def make_world(layout: dict[str, int], seeds: int = 2) -> World:
    """Returns a world; `layout` is the number of nodes by data centre."""
    world = World()
    names = [
        (f"{data_centre}n{number}", data_centre)
        for data_centre, count in layout.items()
        for number in range(count)
    ]
    addresses = tuple(f"{name}:1" for name, _ in names[:seeds])
    for name, data_centre in names:
        world.add(SimNode(name, data_centre=data_centre, seeds=addresses))
    return world

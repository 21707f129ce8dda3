"""Stateful test of membership under faults, compared with a model.

The model records which nodes run, when others died, the last phase that each
node announced and the configurations that were applied.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
)

from chervilrock.decisions.membership.rosters import rank_phase
from chervilrock.generated.interfaces import NodePhase, PeerDigest
from test.decisions.membership.peer_world import (
    make_stored,
    make_world,
    SimNode,
    World,
)

LAYOUT = {"d1": 3, "d2": 2, "d3": 1}
RESTING_S = 25.0
"""Time within which a death and any other update reaches every node."""

MAX_CARRIED = 200
PLACES = sorted(LAYOUT)


class MembershipMachine(RuleBasedStateMachine):
    """Faults in any order; rests, after which all nodes must agree."""

    def __init__(self) -> None:
        super().__init__()
        self.world: World = make_world(LAYOUT)
        self.starts: dict[str, int] = {}
        self.dead: dict[str, float] = {}
        self.seen_live: set[tuple[str, str]] = set()
        self.seen_dead: set[tuple[str, str]] = set()
        self.phases: dict[tuple[str, str], int] = {}
        self.revisions: dict[str, int] = {}
        self.revision = 0

    def choose(self, number: int, *, paused: bool = False) -> SimNode | None:
        nodes = [n for n in self.world.nodes.values() if n.paused == paused]
        return nodes[number % len(nodes)] if nodes else None

    @initialize()
    def settle(self) -> None:
        self.world.run(12.0)

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.0, 5.0]))
    def run(self, seconds: float) -> None:
        self.world.run(seconds)
        del self.world.carried[:-MAX_CARRIED]

    @precondition(lambda self: len(self.world.nodes) > 3)
    @rule(number=st.integers(0, 9))
    def kill(self, number: int) -> None:
        node = self.choose(number)
        if node is not None:
            self.world.remove(node)
            self.dead[node.incarnation] = self.world.now

    @rule(number=st.integers(0, 5))
    def start(self, number: int) -> None:
        places = [(f"{p}n{i}", p) for p in PLACES for i in range(LAYOUT[p])]
        name, place = places[number]
        if f"{name}:1" in self.world.nodes:
            return
        start = self.starts.get(name, 1) + 1
        self.starts[name] = start
        seeds = tuple(sorted(self.world.nodes))[:2]
        self.world.add(
            SimNode(name, data_centre=place, start=start, seeds=seeds)
        )

    @precondition(lambda self: len(self.world.active()) > 3)
    @rule(number=st.integers(0, 9))
    def pause(self, number: int) -> None:
        node = self.choose(number)
        if node is not None:
            node.paused = True

    @rule(number=st.integers(0, 9))
    def resume(self, number: int) -> None:
        node = self.choose(number, paused=True)
        if node is not None:
            node.paused = False

    @rule(number=st.integers(0, 9))
    def leave(self, number: int) -> None:
        node = self.choose(number)
        if node is not None and node.table.own.phase == NodePhase.SERVING:
            node.update(NodePhase.LEAVING)

    @rule(side=st.sampled_from(PLACES))
    def cut(self, side: str) -> None:
        self.world.sides = {place: place == side for place in PLACES}

    @rule()
    def mend(self) -> None:
        self.world.sides = {}

    @rule(number=st.integers(0, 9))
    def apply(self, number: int) -> None:
        node = self.choose(number)
        if node is not None:
            self.revision += 1
            node.localconfiguration.adopt(
                make_stored(self.revision), self.world.now
            )
            node.update()

    @precondition(lambda self: self.world.carried)
    @rule(number=st.integers(0, 9), place=st.integers(0, MAX_CARRIED))
    def deliver_late(self, number: int, place: int) -> None:
        node = self.choose(number)
        if node is None:
            return
        digest: PeerDigest = self.world.carried[place % len(self.world.carried)]
        node.exchange.answer(digest, self.world.now)
        node.update()

    @rule()
    def rest(self) -> None:
        """Mend everything; soon all nodes must agree about everything."""
        self.world.sides = {}
        for node in self.world.nodes.values():
            node.paused = False
        self.world.run(RESTING_S)
        running = {node.incarnation for node in self.world.active()}
        for node in self.world.active():
            assert node.see_live(self.world.now) == running
            assert node.localconfiguration.revision == self.newest()
            for peer in node.table.live(self.world.now):
                assert peer.revision == self.newest()
                assert peer.phase == self.phase_of(peer.incarnation)

    def newest(self) -> int:
        return max(
            n.localconfiguration.revision for n in self.world.nodes.values()
        )

    def phase_of(self, incarnation: str) -> NodePhase:
        for node in self.world.nodes.values():
            if node.incarnation == incarnation:
                return node.table.own.phase
        raise AssertionError(f"{incarnation} does not run")

    @invariant()
    def dead_nodes_stay_dead(self) -> None:
        """A node that saw another one die never sees it live again."""
        for node in self.world.active():
            live = node.see_live(self.world.now)
            self.seen_live |= {(node.incarnation, other) for other in live}
            for incarnation, died in self.dead.items():
                pair = (node.incarnation, incarnation)
                if incarnation not in live:
                    if pair in self.seen_live:
                        self.seen_dead.add(pair)
                    continue
                assert self.world.now - died < RESTING_S
                near = incarnation[:2] == node.incarnation[:2]
                assert not near or pair not in self.seen_dead

    @invariant()
    def phases_only_go_on(self) -> None:
        for node in self.world.active():
            for peer, _ in node.table.known(self.world.now):
                pair = (node.incarnation, peer.incarnation)
                rank = rank_phase(peer.phase)
                assert rank >= self.phases.get(pair, 0)
                self.phases[pair] = rank

    @invariant()
    def revisions_only_go_up(self) -> None:
        for node in self.world.nodes.values():
            known = self.revisions.get(node.incarnation, 0)
            assert node.localconfiguration.revision >= known
            self.revisions[node.incarnation] = node.localconfiguration.revision

    @invariant()
    def a_node_knows_itself(self) -> None:
        for node in self.world.active():
            assert node.incarnation in node.see_live(self.world.now)


MembershipMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=20
)
test_membership_holds = MembershipMachine.TestCase

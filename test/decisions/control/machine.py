"""A Hypothesis state machine that injects faults into a simulated region."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    rule,
    RuleBasedStateMachine,
)

from test.decisions.control.oracle import check
from test.decisions.control.world import make_configuration, World

SETTLE_STEPS = 12
NODES = st.integers(0, 1)
ENGINES = st.integers(0, 4).map("h{}".format)
DELAYS = st.sampled_from((0.0, 1.0, 3.5))
VERSIONS = st.sampled_from(("v1", "v2"))


class FaultMachine(RuleBasedStateMachine):
    """Two controllers and five hosts; two of the engines ignore numbers."""

    def __init__(self):
        super().__init__()
        self.world = World()

    def steps(self, count):
        for _ in range(count):
            self.world.step()
            check(self.world)

    @initialize(ignoring=st.booleans(), spares=st.integers(0, 1))
    def settle(self, ignoring, spares):
        if ignoring:
            for engine in self.world.engines.values():
                engine.checks = False
        self.world.apply(make_configuration(spares=spares))
        self.steps(SETTLE_STEPS)

    @rule(count=st.integers(1, 12))
    def run(self, count):
        self.steps(count)

    @rule(count=st.integers(12, 24))
    def run_long(self, count):
        self.steps(count)

    @rule(node=NODES, count=st.integers(2, 16))
    def pause_node(self, node, count):
        self.world.nodes[node].paused = True
        self.steps(count)
        self.world.nodes[node].paused = False

    @rule(node=NODES)
    def restart_node(self, node):
        self.world.nodes[node].start()

    @rule(node=NODES)
    def cut_node(self, node):
        one = self.world.nodes[node]
        one.cut = not one.cut

    @rule(node=NODES, engine=ENGINES)
    def hide_engine(self, node, engine):
        self.world.nodes[node].hidden ^= {engine}

    @rule()
    def switch_log(self):
        self.world.out = not self.world.out

    @rule(engine=ENGINES)
    def pause_engine(self, engine):
        one = self.world.engines[engine]
        one.paused = not one.paused

    @rule(engine=ENGINES)
    def restart_engine(self, engine):
        self.world.engines[engine].restart()

    @rule(engine=ENGINES)
    def leave(self, engine):
        self.world.leaving ^= {engine}

    @rule(delay=DELAYS)
    def delay_orders(self, delay):
        self.world.order_delay = delay

    @rule(count=st.integers(1, 4))
    def lose_appends(self, count):
        self.world.lose_appends = count

    @rule(count=st.integers(1, 4))
    def lose_answers(self, count):
        self.world.lose_answers = count

    @rule(times=st.integers(1, 2))
    def deliver_late(self, times):
        for record in self.world.delayed * times:
            self.world.region.append(record)
        self.world.delayed.clear()

    @rule(version=VERSIONS, groups=st.integers(0, 2))
    def apply(self, version, groups):
        self.world.apply(make_configuration(version, groups))

    @rule(version=VERSIONS, base=st.integers(0, 2))
    def apply_stale(self, version, base):
        self.world.apply(make_configuration(version), base)

    @rule(node=NODES)
    def snapshot(self, node):
        self.world.nodes[node].snapshot()

    @rule(kept=st.integers(0, 8))
    def trim(self, kept):
        for log in (self.world.region, self.world.config):
            log.trim(len(log.stored) + 1 - kept)

    @rule(version=VERSIONS, before=st.integers(2, 5), after=st.integers(4, 12))
    def change_twice(self, version, before, after):
        """Want no group any more while the orders for one are under way."""
        self.world.order_delay = 3.5
        self.world.apply(make_configuration(version, 2))
        self.steps(before)
        self.world.order_delay = 0.0
        self.world.apply(make_configuration(version, 0))
        self.steps(after)

    @rule(node=NODES, before=st.integers(1, 3), away=st.integers(8, 16))
    def append_late(self, node, before, away):
        """Let appends of a node take effect after another has taken over."""
        self.world.lose_appends = before
        self.steps(before)
        self.world.nodes[node].paused = True
        self.steps(away)
        for record in self.world.delayed:
            self.world.region.append(record)
        self.world.delayed.clear()
        self.steps(2)
        self.world.nodes[node].start()
        self.world.nodes[node].paused = False

    @rule(engine=ENGINES, before=st.integers(7, 9), unread=st.integers(2, 5))
    def repair_unread(self, engine, before, unread):
        """Let appends take effect and nobody read them for a while."""
        one = self.world.engines[engine]
        one.paused = True
        self.steps(before)
        self.world.unread = True
        self.steps(unread)
        self.world.unread = False
        self.steps(1)
        one.paused = False

    @rule(node=NODES, engine=ENGINES, count=st.integers(10, 24))
    def lose_host_without_log(self, node, engine, count):
        """Cut one node from the log, which then misses a host as well."""
        one = self.world.nodes[node]
        one.cut = True
        one.hidden.add(engine)
        self.steps(count)
        one.cut = False
        one.hidden.discard(engine)

    @rule(rank=st.integers(0, 1), count=st.integers(20, 28))
    def lose_host_in_outage(self, rank, count):
        """Stop the host of a group for a while in which nobody has the log."""
        for group in self.world.nodes[0].served()[:1]:
            one = self.world.engines[group.hosts[rank]]
            self.world.out = one.paused = True
            self.steps(count)
            self.world.out = one.paused = False

    @rule(node=NODES, version=VERSIONS)
    def hand_on_old(self, node, version):
        """Let a node that cannot read the log hand on what it has."""
        one = self.world.nodes[node]
        cut, one.cut = one.cut, True
        self.world.apply(make_configuration(version))
        self.steps(3)
        self.hand_on(node)
        self.steps(1)
        one.cut = cut

    @rule(node=NODES)
    def hand_on(self, node):
        accepted = self.world.nodes[node].configs.fold.in_force
        if accepted is not None:
            other = self.world.nodes[1 - node].configs.fold
            other.adopt(accepted.stored)

    @invariant()
    def holds(self):
        check(self.world)

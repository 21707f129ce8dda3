"""A simulation of a region: log, engines, clocks and controllers.

One step of the simulation takes `STEP_S` seconds. Tests switch faults on and
off; the decisions under test are called as the tasks of a node call them.
"""

import random
from typing import Any

from chervilrock.decisions.actions import (
    Action,
    FormGroup,
    Prices,
    RepairGroup,
)
from chervilrock.decisions.configurations import ConfigurationFold
from chervilrock.decisions.control.context import ControlTiming
from chervilrock.decisions.control.effects import AppendRecord, SendOrder
from chervilrock.decisions.control.progress import Progress
from chervilrock.decisions.control.view import make_plan_input
from chervilrock.decisions.controller import decide
from chervilrock.decisions.lease import LeaseStep, LeaseTiming, LeaseView
from chervilrock.decisions.outage import decide_outage, OutageTiming
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.records import Body, RecordWriter
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.snapshots import split_snapshot
from chervilrock.decisions.streams import StreamReader
from chervilrock.generated.configuration import Configuration, ModelSpec
from chervilrock.generated.records import (
    ConfigurationApplied,
    ControllerClaimed,
    ControllerRenewed,
    Record,
)
from test.decisions.control.fakes import Engine, Log, STEP_S
from test.decisions.control.oracle import (
    AGE_LIMIT_S,
    check_load,
    DRIFT,
    Owners,
    replay_configurations,
)

LEASE = LeaseTiming(
    lease_s=3.0, drift=DRIFT, order_timeout_s=4.0, stagger_s=0.5
)
TIMING = ControlTiming(
    order_timeout_s=4.0,
    drain_settle_s=1.0,
    drain_limit_s=2.0,
    lost_after_s=2.5,
    quarantine_after_s=8.0,
    rollout_pause_s=3.0,
)
OUTAGE = OutageTiming(out_after_s=3.5, lost_after_s=2.5, order_timeout_s=2.0)
EMPTY: Configuration = {"name": "test", "data_centres": ("d",), "models": ()}


def make_configuration(version="v1", groups=1, spares=1) -> Configuration:
    model = ModelSpec(
        name="m",
        version=version,
        groups=groups,
        hosts_per_group=2,
        spares=spares,
    )
    return {**EMPTY, "models": (model,) if groups else ()}


class Node:
    """A candidate for the controller, with a clock of its own.

    Attributes:
      rate: seconds that its clock advances in a true second
      paused: whether the process is stopped
      cut: whether it has no connection to the log
      hidden: engines that it has no connection to
      starts: number of times that the process has started
    """

    def __init__(self, world, name, rate):
        self.world = world
        self.name = name
        self.rate = rate
        self.paused = False
        self.cut = False
        self.hidden: set[str] = set()
        self.starts = 0
        self.start()

    def start(self):
        """Start as a new process without any state."""
        self.starts += 1
        now = self.now()
        self.writer = RecordWriter(node=self.name, incarnation=str(self.starts))
        self.config_writer = RecordWriter(
            node=self.name + "config", incarnation=str(self.starts)
        )
        self.reader = StreamReader(fold=RegionState())
        self.configs = StreamReader(fold=ConfigurationFold())
        self.lease = LeaseView(
            timing=LEASE,
            writer=self.writer.writer,
            generator=random.Random(f"{self.name}{self.starts}"),
        )
        self.presence = PresenceTable(limit=AGE_LIMIT_S, now=now)
        self.progress = Progress(pending_s=1.0)
        self.outbox: list[Record] = []
        self.orders: list[SendOrder] = []
        self.read_at = now

    def now(self):
        return 100.0 + self.world.now * self.rate

    @property
    def region(self):
        return self.reader.fold

    def step(self):
        """Run the tasks of a node for one step."""
        self.send_orders()
        self.read()
        self.probe()
        self.keep_lease()
        self.control()
        self.flush()

    def send_orders(self):
        orders, self.orders = self.orders, []
        for effect in orders:
            if self.now() < effect.valid_until:
                self.world.send_order(self, effect)

    def read(self):
        if self.cut or self.world.out or self.world.unread:
            return
        self.read_at = now = self.now()
        result = self.reader.read(
            self.reader.position, self.world.region.read(self.reader.position)
        )
        for step in result.steps:
            record_id = step.stored.record.record_id
            self.lease.read(record_id, step.verdict, now)
            self.progress.record_read(record_id)
        if result.restored:
            controller = self.region.controller
            lease_s = controller.lease_s if controller else None
            self.lease.adopt(self.region.epoch, lease_s, now)
        self.configs.read(
            self.configs.position,
            self.world.config.read(self.configs.position),
        )

    def probe(self):
        for engine in self.world.engines.values():
            if not engine.paused and engine.name not in self.hidden:
                self.presence.observe(engine.name, engine.state(), self.now())

    def keep_lease(self):
        now = self.now()
        step = self.lease.decide(now, known=self.reader.known).step
        body: Body
        region = self.region
        if step is LeaseStep.CLAIM:
            lease_ms = int(LEASE.lease_s * 1000)
            body = ControllerClaimed(
                self.name, "a", region.epoch, lease_ms, region.renewed
            )
        elif step is LeaseStep.RENEW:
            body = ControllerRenewed(region.epoch)
        else:
            return
        record = self.writer.prepare(body)
        self.lease.holder.record_sent(record.record_id, now)
        self.outbox.append(record)

    def control(self):
        config = self.configs.fold.in_force
        if not self.reader.known or config is None:
            return
        now = self.now()
        hosts = self.world.entries()
        effects = decide(
            region=self.region,
            wanted=config.document,
            revision=config.revision,
            presence=self.presence,
            hosts=hosts,
            actions=self.plan(config.document, hosts),
            pending=self.progress,
            lease=self.lease,
            now=now,
            timing=TIMING,
        )
        out = self.cut or self.world.out
        orders = decide_outage(
            region=self.region,
            presence=self.presence,
            hosts=hosts,
            pending=self.progress,
            lease=self.lease,
            outage_since=self.read_at if out else None,
            now=now,
            timing=OUTAGE,
        )
        for effect in (*effects, *orders):
            self.perform(effect, now)

    def perform(self, effect, now):
        if isinstance(effect, AppendRecord):
            record = self.writer.prepare(effect.body)
            self.progress.record_appended(effect.body, record.record_id, now)
            self.outbox.append(record)
        else:
            self.progress.record_ordered(effect, now)
            self.orders.append(effect)

    def plan(self, wanted, hosts):
        """Plan by greedy first fit, the simplest planner that suffices."""
        view = make_plan_input(
            region=self.region,
            wanted=wanted,
            presence=self.presence,
            hosts=hosts,
            pending=self.progress,
            prices=Prices(),
            now=self.now(),
        )
        free = [
            host.host
            for host in view.hosts
            if host.free and host.present and not host.leaving
        ]
        actions: list[Action] = []
        for group in view.groups:
            missing_since = group.missing_since
            if (
                missing_since is None
                or self.now() < missing_since + 2.0
                or not free
            ):
                continue
            hosts = tuple(
                free.pop(0) if host in group.missing and free else host
                for host in group.hosts
            )
            actions.append(RepairGroup(group.name, group.fence, hosts, "f"))
        for spec in view.models:
            size = spec["hosts_per_group"]
            count = sum(
                group.model == spec["name"] and group.version == spec["version"]
                for group in view.groups
            )
            while count < spec["groups"] and len(free) >= size:
                hosts, free = tuple(free[:size]), free[size:]
                actions.append(
                    FormGroup(spec["name"], spec["version"], (), hosts, "f")
                )
                count += 1
        return tuple(actions)

    def snapshot(self):
        name = f"{self.name}.{self.starts}.{self.world.now}"
        if self.reader.known:
            for part in split_snapshot(
                name, self.region.upto, self.region.export(), 300
            ):
                self.outbox.append(self.writer.prepare(part))
        fold = self.configs.fold
        if self.configs.known and not (self.cut or self.world.out):
            for part in split_snapshot(name, fold.upto, fold.export(), 300):
                self.world.config.append(self.config_writer.prepare(part))

    def flush(self):
        """Append the waiting records in order; an answer may be lost."""
        while self.outbox and not (self.cut or self.world.out):
            record = self.outbox[0]
            if self.world.lose_appends > 0:
                self.world.lose_appends -= 1
                self.world.delayed.append(record)
                return
            self.world.region.append(record)
            if self.world.lose_answers > 0:
                self.world.lose_answers -= 1
                return
            self.outbox.pop(0)

    def served(self):
        if not self.reader.known:
            return ()
        return self.presence.servable(self.region, self.now())


class World:
    """The whole simulated region, with the true time in `now`.

    Attributes:
      out: whether the log is unavailable
      unread: whether no node reads the log, while appends take effect
      lose_appends: number of appends to delay instead of storing them
      lose_answers: number of appends to store without an answer
      order_delay: seconds from sending an order to its delivery
      delayed: delayed appends, oldest first
      orders_in_flight: times of delivery, senders and effects
      leaving: hosts that are announced to leave
    """

    def __init__(self, checks=(True, True, True, False, False)):
        self.now = 0.0
        self.region = Log()
        self.config = Log()
        self.out = False
        self.unread = False
        self.lose_appends = 0
        self.lose_answers = 0
        self.order_delay = 0.0
        self.delayed: list[Record] = []
        self.orders_in_flight: list[Any] = []
        self.leaving: set[str] = set()
        self.owners = Owners()
        self.engines = {
            f"h{i}": Engine(f"h{i}", fenced) for i, fenced in enumerate(checks)
        }
        self.nodes = [
            Node(self, "a", 1.0 - DRIFT / 3),
            Node(self, "b", 1.0 + DRIFT / 3),
        ]
        self.operator = RecordWriter(node="operator", incarnation="1")

    def entries(self):
        return tuple(
            engine.entry(engine.name in self.leaving)
            for engine in self.engines.values()
        )

    def apply(self, document, base=None):
        """Publish a configuration, by default on the last accepted revision."""
        if base is None:
            base = replay_configurations(self.config.stored)
        body = ConfigurationApplied(base, "operator", "", document)
        self.config.append(self.operator.prepare(body))

    def send_order(self, node, effect):
        self.orders_in_flight.append(
            (self.now + self.order_delay, node, effect)
        )

    def step(self):
        self.now += STEP_S
        in_flight, self.orders_in_flight = self.orders_in_flight, []
        for due_at, node, effect in in_flight:
            if due_at > self.now:
                self.orders_in_flight.append((due_at, node, effect))
            else:
                self.deliver(node, effect)
        for engine in self.engines.values():
            while engine.delayed_orders and not engine.paused:
                self.execute_order(engine, *engine.delayed_orders.pop(0))
            engine.step(self.now)
        for node in self.nodes:
            if not node.paused:
                node.step()

    def deliver(self, node, effect):
        engine = self.engines[effect.host]
        if engine.name in node.hidden:
            return
        sent_at = node.now() - self.order_delay
        if engine.paused:
            engine.delayed_orders.append((None, effect.order, sent_at))
        else:
            self.execute_order(engine, node, effect.order, sent_at)

    def execute_order(self, engine, node, order, sent_at):
        accepted = engine.apply_order(order)
        if accepted and order.get("shard") is not None:
            check_load(self, engine.name, order["group"])
        if node is not None:
            node.progress.record_answered(engine.name, order, accepted, sent_at)

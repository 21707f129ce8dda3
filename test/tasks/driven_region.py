"""A region task over model engines and a model log, moved on by a test."""

import random
from typing import Any

from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.decisions.lease import LeaseTiming, LeaseView
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.snapshots import SnapshotPolicy, SnapshotSchedule
from chervilrock.generated.interfaces import HostList
from chervilrock.metrics import Metrics
from chervilrock.tasks.log import AppendTask, ReadTask
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.messages import (
    BatchAppended,
    ConfigurationInForce,
    HostProbed,
    HostsListed,
    OrderAnswered,
    PageRead,
    ReadFailed,
)
from chervilrock.tasks.orders import OrderTask
from chervilrock.tasks.outages import OutageLog
from chervilrock.tasks.region import RegionIdentity, RegionPorts, RegionTask
from test.decisions.control.fakes import Engine, Log, STEP

STREAM = "region.r"
LIMIT_S = 3.0


class Unused:
    """Stands for a client that a task gets and never calls here."""

    def __getattr__(self, name):
        raise AssertionError(f"{name} was called")


class DrivenRegion:
    """A region of one node.

    Attributes:
      now: present time in seconds
      log: the stream of the region
      engines: model engines by host
      unread: whether reads of the log bring nothing, yet do not fail
      out: whether reads and appends fail
      silent: hosts whose probes get no answer
      view: last view that the task published
      views: number of views published
    """

    def __init__(self, *, hosts=4, checks=True):
        self.now = 100.0
        self.log = Log()
        self.engines = {f"h{i}": Engine(f"h{i}", checks) for i in range(hosts)}
        self.unread = self.out = False
        self.silent: set[str] = set()
        self.view: Any = None
        self.views = 0
        self.metrics = Metrics()
        self.start()

    def start(self):
        """Begin as a new process, with the lease of the old one unknown."""
        writer = RecordWriter(node="n", incarnation=str(self.now))
        timing = LeaseTiming(lease_s=3.0, stagger_s=0.1)
        self.task = RegionTask(
            identity=RegionIdentity("r", "n", "n:1", 3000),
            clock=lambda: self.now,
            lease=LeaseView(
                timing=timing,
                writer=writer.writer,
                generator=random.Random(1),
            ),
            presence=PresenceTable(limit=LIMIT_S, now=self.now),
            writer=writer,
            schedule=SnapshotSchedule(policy=SnapshotPolicy()),
            metrics=self.metrics,
            outages=OutageLog(metrics=self.metrics),
        )
        inbox = self.task.inbox
        unused: Any = Unused()
        self.published: Mailbox[Any] = Mailbox()
        clock = self.task._clock
        self.ports = RegionPorts(
            reader=ReadTask(
                log=unused, stream=STREAM, clock=clock, outbox=inbox
            ),
            appender=AppendTask(
                log=unused, stream=STREAM, clock=clock, outbox=inbox
            ),
            orders=OrderTask(engine=unused, clock=clock, outbox=inbox),
            probes=Mailbox(),
            loads=Mailbox(),
            views=(self.published,),
        )
        self.position = 1
        self.list_hosts()

    def apply(self, document, revision=1):
        """Put a configuration in force."""
        stored: Any = None
        message = ConfigurationInForce(revision, document, stored)
        self.task.inbox.offer(message)

    def list_hosts(self, leaving=()):
        """Let the task read the host list."""
        entries = tuple(
            engine.entry(name in leaving)
            for name, engine in self.engines.items()
        )
        hosts = HostList(hosts=entries, services=(), age_ms=0)
        self.task.inbox.offer(HostsListed(hosts, self.now))

    def run(self, steps):
        """Let time pass."""
        for _ in range(steps):
            self.step()

    def step(self):
        """Let one step pass, in which everything is asked once."""
        self.now += STEP
        for name, engine in self.engines.items():
            engine.step(self.now)
            if name not in self.silent:
                self.probe(name)
        self.read()
        self.turn()

    def probe(self, name):
        """Let the task have the answer of an engine."""
        state = self.engines[name].state()
        self.task.inbox.offer(HostProbed(name, state, self.now, self.now))

    def turn(self):
        """Let the task take what waits, and answer what it asks for."""
        self.task.advance(self.ports)
        self.append()
        for request in self.ports.orders.inbox.receive_waiting():
            engine = self.engines[request.host]
            if request.host not in self.silent:
                accepted = engine.take(request.order)
                self.task.inbox.offer(
                    OrderAnswered(
                        request.host,
                        request.order,
                        accepted,
                        engine.state(),
                        self.now,
                        self.now,
                    )
                )
        for view in self.published.receive_waiting():
            self.view = view
            self.views += 1

    def read(self):
        """Let the task read the log."""
        if self.out:
            error = PlatformError(PlatformErrorKind.OUTAGE, "out")
            self.task.inbox.offer(ReadFailed(STREAM, error, self.now))
        elif not self.unread:
            page = self.log.read(self.position)
            if page.records:
                start, self.position = self.position, page.records[-1][0] + 1
            else:
                start = self.position
            message = PageRead(STREAM, start, page, self.now, self.now)
            self.task.inbox.offer(message)

    def append(self):
        """Take the records of the task into the log."""
        records = self.ports.appender.inbox.receive_waiting()
        error = None
        if self.out:
            error = PlatformError(PlatformErrorKind.OUTAGE, "out")
        else:
            for record in records:
                self.log.append(record)
        if records:
            self.task.inbox.offer(
                BatchAppended(STREAM, records, error, self.now, self.now)
            )

    def list_kinds(self):
        """Return the kinds of the records but for the lease."""
        kinds = [str(stored.record.kind) for stored in self.log.stored]
        return [kind for kind in kinds if not kind.startswith("controller")]

    def served(self):
        """Return the hosts of each group that requests may use now."""
        return {
            timed.endpoint.group: timed.endpoint
            for timed in self.view.endpoints
            if self.now < timed.until
        }

"""A region task with simulated engines and log, stepped by a test."""

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
from test.decisions.control.fakes import Engine, Log, STEP_S

STREAM = "region.r"
PRESENCE_LIMIT_S = 3.0


class UnusedClient:
    """Client that a task receives and must not call."""

    def __getattr__(self, name):
        raise AssertionError(f"{name} was called")


class DrivenRegion:
    """A region of one node.

    Attributes:
      now: current time in seconds
      log: the stream of the region
      engines: model engines by host
      reads_are_empty: whether reads of the log succeed without records
      log_fails: whether reads and appends fail
      unresponsive: hosts whose probes get no answer
      view: last view that the task published
      views: number of views published
    """

    def __init__(self, *, hosts=4, checks=True):
        self.now = 100.0
        self.log = Log()
        self.engines = {f"h{i}": Engine(f"h{i}", checks) for i in range(hosts)}
        self.reads_are_empty = self.log_fails = False
        self.unresponsive: set[str] = set()
        self.view: Any = None
        self.views = 0
        self.metrics = Metrics()
        self.start()

    def start(self):
        """Start a new process that does not know the lease of the old one."""
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
            presence=PresenceTable(limit=PRESENCE_LIMIT_S, now=self.now),
            writer=writer,
            schedule=SnapshotSchedule(policy=SnapshotPolicy()),
            metrics=self.metrics,
            outages=OutageLog(metrics=self.metrics),
        )
        inbox = self.task.inbox
        unused: Any = UnusedClient()
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
        """Send the host list to the task."""
        entries = tuple(
            engine.entry(name in leaving)
            for name, engine in self.engines.items()
        )
        hosts = HostList(hosts=entries, services=(), age_ms=0)
        self.task.inbox.offer(HostsListed(hosts, self.now))

    def run(self, steps):
        """Run a number of steps."""
        for _ in range(steps):
            self.step()

    def step(self):
        """Advance by one step, with one probe per engine and one read."""
        self.now += STEP_S
        for name, engine in self.engines.items():
            engine.step(self.now)
            if name not in self.unresponsive:
                self.probe(name)
        self.read()
        self.handle_messages()

    def probe(self, name):
        """Send the state of an engine to the task."""
        state = self.engines[name].state()
        self.task.inbox.offer(HostProbed(name, state, self.now, self.now))

    def handle_messages(self):
        """Let the task handle its messages, and answer its requests."""
        self.task.advance(self.ports)
        self.append()
        for request in self.ports.orders.inbox.receive_waiting():
            engine = self.engines[request.host]
            if request.host not in self.unresponsive:
                accepted = engine.apply_order(request.order)
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
        """Send a page of the log to the task."""
        if self.log_fails:
            error = PlatformError(PlatformErrorKind.OUTAGE, "out")
            self.task.inbox.offer(ReadFailed(STREAM, error, self.now))
        elif not self.reads_are_empty:
            page = self.log.read(self.position)
            if page.records:
                start, self.position = self.position, page.records[-1][0] + 1
            else:
                start = self.position
            message = PageRead(STREAM, start, page, self.now, self.now)
            self.task.inbox.offer(message)

    def append(self):
        """Append the records of the task to the log."""
        records = self.ports.appender.inbox.receive_waiting()
        error = None
        if self.log_fails:
            error = PlatformError(PlatformErrorKind.OUTAGE, "out")
        else:
            for record in records:
                self.log.append(record)
        if records:
            self.task.inbox.offer(
                BatchAppended(STREAM, records, error, self.now, self.now)
            )

    def list_kinds(self):
        """Return the kinds of the records, except those of the lease."""
        kinds = [str(stored.record.kind) for stored in self.log.stored]
        return [kind for kind in kinds if not kind.startswith("controller")]

    def list_served(self):
        """Return the endpoints that requests may use now, by group."""
        return {
            timed.endpoint.group: timed.endpoint
            for timed in self.view.endpoints
            if self.now < timed.until
        }

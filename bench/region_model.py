"""A region task with in-memory model engines and an in-memory log.

It drives the product's region task by messages, as the tasks of a node do,
under simulated time. Engines load instantly. Helper of the benches.
"""

from collections.abc import Iterator
import random
import time
from typing import Any, NamedTuple

import msgspec

from chervilrock.clients.base import LogPage
from chervilrock.decisions.lease import LeaseTiming, LeaseView
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.records import Body, RecordWriter
from chervilrock.decisions.snapshots import SnapshotPolicy, SnapshotSchedule
from chervilrock.events import configure_logging
from chervilrock.generated.configuration import Configuration, ModelSpec
from chervilrock.generated.interfaces import (
    EngineLoad,
    EngineOrder,
    EnginePhase,
    EngineShard,
    EngineState,
    HostEntry,
    HostList,
)
from chervilrock.generated.records import (
    ControllerClaimed,
    ControllerRenewed,
    GroupGranted,
    GroupPhase,
    GroupPhaseChanged,
    Record,
    RecordKind,
    SparesGranted,
    StoredRecord,
)
from chervilrock.metrics import Metrics
from chervilrock.tasks.loads import GroupLoad, LoadTarget
from chervilrock.tasks.log import AppendTask, ReadTask
from chervilrock.tasks.mailbox import Mailbox
from chervilrock.tasks.messages import (
    BatchAppended,
    ConfigurationInForce,
    HostProbed,
    HostsListed,
    OrderAnswered,
    PageRead,
)
from chervilrock.tasks.orders import OrderTask
from chervilrock.tasks.outages import OutageLog
from chervilrock.tasks.region import RegionIdentity, RegionPorts, RegionTask

REGION = "north"
STREAM = f"region.{REGION}"
GROUP_HOSTS = 16
DOMAIN_GROUPS = 4
DOMAIN_SPARES = 2
DOMAIN_HOSTS = DOMAIN_GROUPS * GROUP_HOSTS + DOMAIN_SPARES
DATA_CENTRES = 4
MODELS = 4
LIMIT_S = 3.0
LEASE_MS = 3000
START_S = 10_000.0
FORMER = "former"


class Layout(NamedTuple):
    """Hosts of a region by group, and those that are spares.

    Attributes:
      hosts: host list
      groups: hosts of each group by rank
      spares: hosts of each group for a repair, for some groups
    """

    hosts: tuple[HostEntry, ...]
    groups: tuple[tuple[HostEntry, ...], ...]
    spares: tuple[tuple[HostEntry, ...], ...]


def make_layout(count: int) -> Layout:
    """Returns hosts in fabric domains of four groups and two spares."""
    hosts = tuple(_make_host(number) for number in range(count))
    groups: list[tuple[HostEntry, ...]] = []
    spares: list[tuple[HostEntry, ...]] = []
    for start in range(0, count, DOMAIN_HOSTS):
        domain = hosts[start : start + DOMAIN_HOSTS]
        whole = min(DOMAIN_GROUPS, len(domain) // GROUP_HOSTS)
        for number in range(whole):
            first = number * GROUP_HOSTS
            groups.append(domain[first : first + GROUP_HOSTS])
            left = domain[whole * GROUP_HOSTS :]
            spares.append(left[number : number + 1])
    return Layout(hosts, tuple(groups), tuple(spares))


def _make_host(number: int) -> HostEntry:
    domain = number // DOMAIN_HOSTS
    return HostEntry(
        host=f"host-{number:05}",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000",
        data_centre=f"{REGION}-{domain % DATA_CENTRES}",
        domain=f"fabric-{domain}",
        region=REGION,
        accelerators=1,
        leaving=False,
        checks_fence=True,
    )


def make_document(layout: Layout) -> Configuration:
    """Returns the configuration that specifies the groups of a layout."""
    models = tuple(
        ModelSpec(
            name=f"model-{number}",
            version="2026-01",
            groups=len(range(number, len(layout.groups), MODELS)),
            hosts_per_group=GROUP_HOSTS,
            spares=1,
        )
        for number in range(MODELS)
    )
    centres = tuple({entry["data_centre"]: 0 for entry in layout.hosts})
    return Configuration(
        name="bench",
        data_centres=centres,
        models=tuple(spec for spec in models if spec["groups"]),
    )


def make_records(layout: Layout) -> list[StoredRecord]:
    """Returns the stream of records that leaves every group serving."""
    writer = RecordWriter(node=FORMER, incarnation="1")
    return [
        StoredRecord(offset, writer.prepare(body))
        for offset, body in enumerate(_list_bodies(layout), start=1)
    ]


def _list_bodies(layout: Layout) -> Iterator[Body]:
    yield ControllerClaimed(FORMER, "10.9.9.9:80", 0, LEASE_MS)
    offset = 1
    for number, entries in enumerate(layout.groups):
        name = f"model-{number % MODELS}-1-{number}"
        hosts = tuple(entry["host"] for entry in entries)
        offset += 1
        fence = offset
        yield GroupGranted(
            epoch=1,
            group=name,
            model=f"model-{number % MODELS}",
            version="2026-01",
            adapters=(),
            hosts=hosts,
            domain=entries[0]["domain"],
            revision=1,
        )
        offset += 1
        yield GroupPhaseChanged(
            epoch=1,
            group=name,
            fence=fence,
            phase=GroupPhase.SERVING,
            incarnations=tuple(f"{host}-1" for host in hosts),
        )
        spares = tuple(entry["host"] for entry in layout.spares[number])
        if spares:
            offset += 1
            yield SparesGranted(
                epoch=1,
                group=name,
                fence=fence,
                spares=spares,
                incarnations=tuple(f"{host}-1" for host in spares),
            )


def make_states(records: list[StoredRecord]) -> dict[str, EngineState]:
    """Returns the states of the engines of all groups, by host."""
    states: dict[str, EngineState] = {}
    for stored in records:
        if stored.record.kind is not RecordKind.GROUP_GRANTED:
            continue
        grant = msgspec.convert(stored.record.body, GroupGranted)
        for rank, host in enumerate(grant.hosts):
            state = states[host] = _make_engine(host)
            state["phase"] = EnginePhase.READY
            state["fence"] = stored.offset
            state["shard"] = EngineShard(
                group=grant.group,
                fence=stored.offset,
                model=grant.model,
                version=grant.version,
                adapters=grant.adapters,
                rank=rank,
                size=len(grant.hosts),
                leader=f"{grant.hosts[0]}:8000",
            )
    return states


class _Unused:
    """Placeholder for a client that a task requires but never calls here."""


class RegionModel:
    """A region task, its log and its engines.

    Attributes:
      now: present time in seconds
      log: records of the stream
      task: the task of the product
      appended: records that the task has appended
      silent: unresponsive hosts, which answer no probe or order
    """

    def __init__(self, *, layout: Layout) -> None:
        """Creates a region whose groups all serve, under another controller."""
        configure_logging("json", "ERROR")
        self.now = START_S
        self._cpu_start_s = time.process_time()
        self.layout = layout
        self.log = make_records(layout)
        self.appended: list[Record] = []
        self.silent: set[str] = set()
        self._next_offset = 1
        self._is_renewing = True
        self._former = RecordWriter(node=FORMER, incarnation="2")
        self._entries = {entry["host"]: entry for entry in layout.hosts}
        self._engines = {
            host: _make_engine(host) for host in self._entries
        } | make_states(self.log)
        self._names = list(self._entries)
        self._decoded_states: dict[str, EngineState] = {}
        self._published: Mailbox[Any] = Mailbox()
        self._load_targets: Mailbox[tuple[LoadTarget, ...]] = Mailbox()
        self._leaders: tuple[LoadTarget, ...] = ()
        self._make_task()
        self.list_hosts()
        self.read()
        message = ConfigurationInForce(1, make_document(layout), self.log[0])
        self.task.inbox.offer(message)

    def _make_task(self) -> None:
        writer = RecordWriter(node="entry-0", incarnation="1")
        metrics = Metrics()
        self.task = RegionTask(
            identity=RegionIdentity(REGION, "entry-0", "10.9.0.1:80", LEASE_MS),
            clock=self._read_clock,
            lease=LeaseView(
                timing=LeaseTiming(),
                writer=writer.writer,
                generator=random.Random(1),
            ),
            presence=PresenceTable(limit=LIMIT_S, now=self.now),
            writer=writer,
            schedule=SnapshotSchedule(policy=SnapshotPolicy()),
            metrics=metrics,
            outages=OutageLog(metrics=metrics),
        )
        unused: Any = _Unused()
        clock = self._read_clock
        inbox = self.task.inbox
        self.ports = RegionPorts(
            reader=ReadTask(
                log=unused, stream=STREAM, clock=clock, outbox=inbox
            ),
            appender=AppendTask(
                log=unused, stream=STREAM, clock=clock, outbox=inbox
            ),
            orders=OrderTask(engine=unused, clock=clock, outbox=inbox),
            probes=Mailbox(),
            loads=self._load_targets,
            views=(self._published,),
        )

    def pass_time(self, seconds: float) -> None:
        """Advances the time without any work of the task."""
        self.now += seconds
        self._cpu_start_s = time.process_time()

    def _read_clock(self) -> float:
        """Returns the time, which includes the processor time of the task."""
        return self.now + time.process_time() - self._cpu_start_s

    def list_hosts(self, leaving: frozenset[str] = frozenset()) -> None:
        """Sends the host list to the task."""
        hosts = HostList(
            hosts=tuple(
                HostEntry(**{**entry, "leaving": name in leaving})
                for name, entry in self._entries.items()
            ),
            services=(),
            age_ms=0,
        )
        self.task.inbox.offer(HostsListed(hosts, self.now))

    def probe(self, tick: int, ticks: int) -> list[HostProbed]:
        """Returns the probe results of one part of the engines, of `ticks`.

        An engine whose state has not changed returns the same object again, as
        the product's client does.
        """
        hosts = self._names[tick::ticks]
        return [
            HostProbed(host, self._find_state(host), self.now, self.now)
            for host in hosts
            if host not in self.silent
        ]

    def _find_state(self, host: str) -> EngineState:
        state = self._decoded_states.get(host)
        if state is None:
            state = self._decoded_states[host] = decode_state(
                self._engines[host]
            )
        return state

    def report_idle(self) -> None:
        """Reports to the task that the engines of draining groups are idle."""
        load = EngineLoad(
            running=0, waiting=0, cache_used=0.0, tokens_per_s=0.0, age_ms=0
        )
        for targets in self._load_targets.receive_waiting():
            self._leaders = targets
        for target in self._leaders:
            report = GroupLoad(target.group, load, self.now)
            self.task.inbox.offer(report)

    def read(self) -> None:
        """Sends the new records of the log to the task.

        Appends a renewal by the former controller first while it renews.
        """
        if self._is_renewing:
            renewal = self._former.prepare(ControllerRenewed(1))
            self.log.append(StoredRecord(len(self.log) + 1, renewal))
        start = self._next_offset
        records = tuple(self.log[start - 1 :])
        self._next_offset += len(records)
        page = LogPage(records, 1, len(self.log) + 1)
        self.task.inbox.offer(PageRead(STREAM, start, page, self.now, self.now))

    def advance(self) -> None:
        """Lets the task handle the messages in its inbox."""
        self.task.advance(self.ports)

    def answer(self) -> bool:
        """Handles the records and orders of the task.

        Returns:
          Whether the task had new records.
        """
        self._published.receive_waiting()
        records = self.ports.appender.inbox.receive_waiting()
        for record in records:
            self.log.append(StoredRecord(len(self.log) + 1, record))
            self.appended.append(record)
        if records:
            self.task.inbox.offer(
                BatchAppended(STREAM, records, None, self.now, self.now)
            )
        for request in self.ports.orders.inbox.receive_waiting():
            if request.host in self.silent:
                continue
            state = self._engines[request.host]
            self._decoded_states.pop(request.host, None)
            accepted = _apply_order(state, request.order)
            self.task.inbox.offer(
                OrderAnswered(
                    host=request.host,
                    order=request.order,
                    accepted=accepted,
                    state=decode_state(state),
                    sent_at=self.now,
                    ended_at=self.now,
                )
            )
        return bool(records)

    def compete(self) -> None:
        """Stops the former controller's renewals, so the task may claim."""
        self._is_renewing = False


def decode_state(state: EngineState) -> EngineState:
    """Returns a state as decoded from the wire, with strings of its own."""
    return msgspec.json.decode(msgspec.json.encode(state), type=EngineState)


def _make_engine(host: str) -> EngineState:
    return EngineState(
        host=host,
        incarnation=f"{host}-1",
        phase=EnginePhase.EMPTY,
        fence=0,
        checks_fence=True,
    )


def _apply_order(state: EngineState, order: EngineOrder) -> bool:
    if order["fence"] < state["fence"]:
        return False
    state["fence"] = order["fence"]
    shard = order.get("shard")
    if shard is None:
        state["phase"] = EnginePhase.EMPTY
        state.pop("shard", None)
    else:
        state["phase"] = EnginePhase.READY
        state["shard"] = shard
    return True

"""Replay of a fault history against a planner, in simulated time.

The replay follows the rules of the controller. A host belongs to one group. A
group serves while every host is present, is not leaving and holds its shard. A
host that a group gives up is free once it is released. A serving group
drains before it is dissolved; a group with a leaving host drains as well and is
then repaired or dissolved. Shards load from the weight store, whose rate is
divided among all loads; a load stops while its host is paused and starts over
when the host restarts.
"""

from collections.abc import Callable
import heapq
import itertools
import math
from typing import NamedTuple

from bench.group_history import Fault, FaultKind
from chervilrock.decisions.actions import (
    Action,
    DissolveGroup,
    FormGroup,
    GroupView,
    HostView,
    PlanInput,
    Prices,
    RepairGroup,
)
from chervilrock.decisions.planner import GroupPlanner
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import EngineShard, HostEntry
from chervilrock.generated.records import GroupPhase

PRESENCE_LIMIT_S = 2.0
RELEASE_S = 5.0
DRAIN_S = 30.0
START_S = 20.0
PLAN_INTERVAL_S = 15.0
MAX_PLAN_INTERVAL_S = 300.0
HOST_RATE = 1e9
STORE_RATE = 4e9
FINISHED_BYTES = 1.0


class Site(NamedTuple):
    """Installation that a replay runs on.

    Attributes:
      models: wanted models
      hosts: every host
      bytes: size in bytes of each model in the weight store
      prices: costs that the planner minimises
      keeps_cache: whether a host keeps its shard when its group gives it up
      store_rate: rate of the weight store in bytes a second
    """

    models: tuple[ModelSpec, ...]
    hosts: tuple[HostEntry, ...]
    bytes: dict[str, float]
    prices: Prices
    keeps_cache: bool = False
    store_rate: float = STORE_RATE


class Measure(NamedTuple):
    """Integrals over a replay.

    Attributes:
      downtime: hosts of wanted groups that did not serve, in host-seconds
      weighted: the same, multiplied by the weight of the model
      stranded: powered accelerators in no serving group, accelerator-seconds
      loads: number of shards that were loaded
    """

    downtime: float
    weighted: float
    stranded: float
    loads: int


class Host:
    """State of a host in the replay."""

    def __init__(self, *, entry: HostEntry) -> None:
        self.entry = entry
        self.outages = 0
        self.pauses = 0
        self.leaving = False
        self.absent_since: float | None = None
        self.owner = ""
        self.free = True
        self.waits_release = False
        self.shard: EngineShard | None = None
        self.target: EngineShard | None = None
        self.remaining = 0.0
        self.ready_at = 0.0

    @property
    def is_up(self) -> bool:
        """Whether the host runs and is not paused."""
        return self.outages == 0 and self.pauses == 0

    @property
    def is_loading(self) -> bool:
        """Whether the host is loading a shard."""
        return self.is_up and self.remaining > 0


class Replay:
    """One run of a planner over a history."""

    def __init__(
        self, *, site: Site, planner: GroupPlanner, history: list[Fault]
    ) -> None:
        self._site = site
        self._planner = planner
        self._hosts = {entry["host"]: Host(entry=entry) for entry in site.hosts}
        self._groups: dict[str, GroupView] = {}
        self._specs = {spec["name"]: spec for spec in site.models}
        self._now = 0.0
        self._order = itertools.count()
        self._names = itertools.count(1)
        self._fences = itertools.count(1)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._plan_at = 0.0
        self._changed_at = 0.0
        self._drained: set[str] = set()
        self._downtime = 0.0
        self._weighted = 0.0
        self._stranded = 0.0
        self._loads = 0
        for fault in history:
            self._schedule(fault.time, lambda each=fault: self._inject(each))  # type: ignore[misc]

    def run(self, start: float, end: float) -> Measure:
        """Runs until `end`, measuring from `start`, both in seconds."""
        while self._now < end:
            time = min(end, self._find_next_event())
            self._advance(time, max(start, self._now))
            while self._queue and self._queue[0][0] <= time:
                heapq.heappop(self._queue)[2]()
                self._plan_at = time
                self._changed_at = time
            self._start_serving()
            if time >= self._plan_at:
                self._plan()
        return Measure(
            self._downtime, self._weighted, self._stranded, self._loads
        )

    def _schedule(self, time: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._order), callback))

    def _find_next_event(self) -> float:
        loading = [h for h in self._hosts.values() if h.is_loading]
        time = self._plan_at
        if self._queue:
            time = min(time, self._queue[0][0])
        if loading:
            rate = self._get_rate(len(loading))
            least = min(host.remaining for host in loading)
            time = min(time, self._now + least / rate)
        return max(time, self._now)

    def _advance(self, time: float, measured_from: float) -> None:
        """Advances the time, the loads and the integrals."""
        elapsed = max(0.0, time - measured_from)
        if elapsed > 0:
            self._measure(elapsed)
        loading = [h for h in self._hosts.values() if h.is_loading]
        if loading:
            rate = self._get_rate(len(loading))
            for host in loading:
                host.remaining -= rate * (time - self._now)
        self._now = time
        for host in loading:
            if host.remaining < FINISHED_BYTES:
                self._finish_load(host)

    def _get_rate(self, loads: int) -> float:
        return min(HOST_RATE, self._site.store_rate / loads)

    def _finish_load(self, host: Host) -> None:
        host.remaining = 0.0
        host.shard = host.target
        host.ready_at = self._now + START_S
        self._schedule(host.ready_at, lambda: None)
        self._plan_at = self._now

    def _measure(self, elapsed: float) -> None:
        serving: dict[str, int] = {}
        used = 0
        for group in self._groups.values():
            if self._is_serving(group):
                serving[group.model] = serving.get(group.model, 0) + 1
                used += sum(
                    self._hosts[name].entry["accelerators"]
                    for name in group.hosts
                )
        powered = sum(
            host.entry["accelerators"]
            for host in self._hosts.values()
            if host.outages == 0
        )
        for spec in self._site.models:
            down = max(0, spec["groups"] - serving.get(spec["name"], 0))
            hosts = down * spec["hosts_per_group"]
            self._downtime += hosts * elapsed
            self._weighted += hosts * elapsed * spec.get("weight", 1.0)
        self._stranded += (powered - used) * elapsed

    def _is_serving(self, group: GroupView) -> bool:
        return group.phase == GroupPhase.SERVING and all(
            self._holds_shard(name, group) for name in group.hosts
        )

    def _holds_shard(self, name: str, group: GroupView) -> bool:
        """Returns whether a host is up, stays and holds the group's shard."""
        host = self._hosts[name]
        return (
            host.is_up
            and not host.leaving
            and host.shard is not None
            and host.shard == host.target
            and host.ready_at <= self._now
            and host.owner == group.name
        )

    def _start_serving(self) -> None:
        """Puts loading groups whose hosts hold all shards into service."""
        for group in list(self._groups.values()):
            if group.phase == GroupPhase.LOADING and all(
                self._holds_shard(name, group) for name in group.hosts
            ):
                self._groups[group.name] = group._replace(
                    phase=GroupPhase.SERVING
                )
                self._plan_at = self._now

    def _inject(self, fault: Fault) -> None:
        host = self._hosts[fault.host]
        if fault.kind == FaultKind.DOWN:
            host.outages += 1
            host.shard = None
            host.remaining = 0.0
        elif fault.kind == FaultKind.UP:
            host.outages -= 1
            if host.outages == 0:
                host.leaving = False
                self._restart_group(host)
        elif fault.kind == FaultKind.PAUSED:
            host.pauses += 1
        elif fault.kind == FaultKind.RESUMED:
            host.pauses -= 1
        elif host.outages == 0:
            host.leaving = True
            self._drain(host.owner)
        if host.is_up:
            host.absent_since = None
            if host.waits_release:
                host.waits_release = False
                release_at = self._now + RELEASE_S
                self._schedule(release_at, lambda: self._release(fault.host))
        elif host.absent_since is None:
            host.absent_since = self._now
            self._schedule(self._now + PRESENCE_LIMIT_S, lambda: None)

    def _restart_group(self, host: Host) -> None:
        """Reloads the shard of a restarted host."""
        if host.owner:
            group = self._groups[host.owner]
            if group.phase == GroupPhase.SERVING:
                self._groups[host.owner] = group._replace(
                    phase=GroupPhase.LOADING
                )
            self._start_load(host)

    def _drain(self, name: str) -> None:
        """Starts to drain a serving group."""
        group = self._groups.get(name)
        if group is not None and group.phase == GroupPhase.SERVING:
            self._groups[name] = group._replace(phase=GroupPhase.DRAINING)
            self._schedule(self._now + DRAIN_S, lambda: self._drained.add(name))

    def _is_present(self, host: Host) -> bool:
        since = host.absent_since
        return since is None or self._now < since + PRESENCE_LIMIT_S

    def _start_load(self, host: Host) -> None:
        """Starts to load the shard that a host needs in its group."""
        if host.target is None or not host.owner or host.outages:
            return
        if _has_same_weights(host.shard, host.target):
            host.shard = host.target
            host.remaining = 0.0
            host.ready_at = max(host.ready_at, self._now + START_S)
            self._schedule(host.ready_at, lambda: None)
            return
        model = host.target["model"]
        host.shard = None
        host.remaining = self._site.bytes[model] / host.target["size"]
        self._loads += 1

    def _plan(self) -> None:
        """Plans after a change, and at intervals while a host is missing."""
        view = self._make_view()
        actions = self._planner.plan(view, self._now)
        for action in actions:
            self._execute(action)
        for name in sorted(self._drained):
            self._remove_group(name)
        self._drained.clear()
        self._plan_at = math.inf
        if actions or any(group.missing for group in view.groups):
            unchanged_s = 0.2 * (self._now - self._changed_at)
            wait_s = min(max(PLAN_INTERVAL_S, unchanged_s), MAX_PLAN_INTERVAL_S)
            self._plan_at = self._now + wait_s

    def _make_view(self) -> PlanInput:
        return PlanInput(
            self._site.models,
            self._site.prices,
            tuple(map(self._view_host, self._hosts.values())),
            tuple(map(self._view_group, self._groups.values())),
        )

    def _view_host(self, host: Host) -> HostView:
        entry = host.entry
        return HostView(
            host=entry["host"],
            data_centre=entry["data_centre"],
            domain=entry["domain"],
            accelerators=entry["accelerators"],
            checks_fence=entry["checks_fence"],
            present=self._is_present(host),
            leaving=host.leaving,
            free=host.free,
            loaded=host.shard,
            releasing=not host.owner and not host.free,
        )

    def _view_group(self, group: GroupView) -> GroupView:
        hosts = [self._hosts[name] for name in group.hosts]
        missing = [host for host in hosts if not self._is_present(host)]
        since = [h.absent_since for h in missing if h.absent_since is not None]
        return group._replace(
            missing=tuple(host.entry["host"] for host in missing),
            missing_since=min(since, default=None),
        )

    def _execute(self, action: Action) -> None:
        if isinstance(action, FormGroup):
            self._form(action)
        elif isinstance(action, RepairGroup):
            self._repair(action)
        else:
            self._dissolve(action)

    def _form(self, action: FormGroup) -> None:
        name = f"g{next(self._names)}"
        self._groups[name] = GroupView(
            name=name,
            model=action.model,
            version=action.version,
            adapters=action.adapters,
            hosts=action.hosts,
            domain=action.domain,
            fence=0,
            phase=GroupPhase.LOADING,
            missing=(),
            missing_since=None,
        )
        self._assign_shards(name)

    def _assign_shards(self, name: str) -> None:
        group = self._groups[name]
        fence = next(self._fences)
        self._groups[name] = group._replace(
            fence=fence, phase=GroupPhase.LOADING
        )
        for rank, host_name in enumerate(group.hosts):
            host = self._hosts[host_name]
            if host.owner != name:
                if not host.free or host.owner:
                    raise ValueError(f"{host_name} is not free")
                host.free = False
                host.owner = name
            old = host.target
            host.target = EngineShard(
                group=name,
                fence=fence,
                model=group.model,
                version=group.version,
                adapters=group.adapters,
                rank=rank,
                size=len(group.hosts),
                leader="",
            )
            if not (_has_same_weights(old, host.target) and host.remaining > 0):
                self._start_load(host)

    def _repair(self, action: RepairGroup) -> None:
        """Replaces hosts; a draining group is repaired once it is drained."""
        group = self._groups[action.group]
        if group.fence != action.fence:
            raise ValueError(f"{action.group} has another fence")
        if group.phase == GroupPhase.DRAINING:
            if group.name not in self._drained:
                return
            self._drained.remove(group.name)
        for name in group.hosts:
            if name not in action.hosts:
                self._detach_host(name, RELEASE_S)
        self._groups[action.group] = group._replace(
            hosts=action.hosts, domain=action.domain
        )
        self._assign_shards(action.group)

    def _dissolve(self, action: DissolveGroup) -> None:
        """Removes a group; a serving group drains first."""
        group = self._groups[action.group]
        if group.phase == GroupPhase.DRAINING:
            return
        if not self._is_serving(group):
            self._remove_group(group.name)
            return
        self._drain(group.name)

    def _remove_group(self, name: str) -> None:
        """Removes a group and detaches all its hosts."""
        for host in self._groups.pop(name).hosts:
            self._detach_host(host, RELEASE_S)

    def _detach_host(self, name: str, wait_s: float) -> None:
        host = self._hosts[name]
        host.owner = ""
        host.target = None
        host.remaining = 0.0
        self._schedule(self._now + wait_s, lambda: self._release(name))

    def _release(self, name: str) -> None:
        """Frees a host; one that is down is freed after it is up again."""
        host = self._hosts[name]
        if not host.is_up:
            host.waits_release = True
            return
        if not self._site.keeps_cache:
            host.shard = None
        host.free = True


def _has_same_weights(held: EngineShard | None, wanted: EngineShard) -> bool:
    """Returns whether a shard has the weights that another one needs."""
    return (
        held is not None
        and held["model"] == wanted["model"]
        and held["version"] == wanted["version"]
        and held["rank"] == wanted["rank"]
        and held["size"] == wanted["size"]
    )

"""The part of the region task that tells others what it knows."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.decisions.finishing import FinishingTable
from chervilrock.decisions.lease import LeaseView
from chervilrock.decisions.ownership import Group
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.views import EndpointChange, EndpointTable
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import HostEntry, ServiceEntry
from chervilrock.generated.records import GroupPhase
from chervilrock.metrics import Metrics
from chervilrock.tasks.loads import LoadTarget
from chervilrock.tasks.probe_plan import ProbePlan
from chervilrock.tasks.region_events import RegionEvents
from chervilrock.tasks.region_messages import RegionPorts, ServingView
from chervilrock.tasks.region_meter import RegionMeter, RegionSample


class RegionPicture(NamedTuple):
    """What a node knows of its region, whether it controls it or not.

    Attributes:
      region: folded state of the region stream
      known: whether the stream is known
      hosts: host list of the region by name; another object when it changed
      services: backend servers of plain services that are not leaving
      models: wanted models
    """

    region: RegionState
    known: bool
    hosts: Mapping[str, HostEntry]
    services: tuple[ServiceEntry, ...]
    models: tuple[ModelSpec, ...]


class RegionViews:
    """Publishes what has changed, and measures it.

    Attributes:
      endpoints: groups that may get requests
    """

    def __init__(
        self,
        *,
        presence: PresenceTable,
        lease: LeaseView,
        metrics: Metrics,
        events: RegionEvents,
    ) -> None:
        """Start with nothing published.

        Args:
          presence: evidence of the hosts
          lease: the lease as this node knows it
          metrics: metrics of the node
          events: logs hosts that go and come
        """
        self.endpoints = EndpointTable(presence=presence)
        self._finishing = FinishingTable(presence=presence)
        self._presence = presence
        self._lease = lease
        self._metrics = metrics
        self._events = events
        self._meter = RegionMeter(metrics=metrics)
        self._probes = ProbePlan()
        self._view = ServingView()
        self._loads: tuple[LoadTarget, ...] = ()
        self._loads_key = (0, 0, 0)

    def update(self, picture: RegionPicture, now: float) -> bool:
        """Bring the endpoints up to date.

        Returns:
          Whether the evidence of a host or the groups for requests changed.
        """
        changed = self._presence.pop_changed()
        change = self.endpoints.update(
            picture.region, picture.hosts, changed, now
        )
        self._note(picture, change, now)
        return bool(changed) or change.groups

    def measure(self, picture: RegionPicture, now: float) -> None:
        """Measure group downtime and stranded accelerators."""
        sample = RegionSample(
            region=picture.region,
            presence=self._presence,
            endpoints=self.endpoints,
            hosts=picture.hosts,
            models=picture.models,
            counts=self._lease.may_act(now),
        )
        self._meter.measure(sample, now)

    def publish(
        self, picture: RegionPicture, ports: RegionPorts, now: float
    ) -> None:
        """Hand out a view that differs from the last one, and say what to ask.

        Args:
          picture: what is known of the region.
          ports: the tasks and mailboxes to write to.
          now: present time in seconds.
        """
        self._choose_loads(picture, ports)
        wanted = self._probes.choose(
            picture.region, self.endpoints, picture.hosts, now
        )
        if wanted is not None:
            ports.probes.offer(wanted)
        finishing = self._finishing.update(picture.region, picture.hosts, now)
        view = ServingView(
            endpoints=self.endpoints.endpoints if picture.known else (),
            finishing=finishing if picture.known else (),
            services=picture.services,
            known=picture.known,
            holds_lease=self._lease.may_act(now),
            controller=_find_controller(picture.region),
        )
        if view == self._view:
            return
        if view.holds_lease != self._view.holds_lease:
            self._metrics.lease_held.set(1 if view.holds_lease else 0)
            self.measure(picture, now)
        self._view = view
        for mailbox in ports.views:
            mailbox.offer(view)

    def _note(
        self, picture: RegionPicture, change: EndpointChange, now: float
    ) -> None:
        """Log and measure what has changed."""
        if change.groups or change.expiries:
            broken = self.endpoints.list_broken()
            self._events.record_presence(broken, self._presence, now)
        if change.groups or self._meter.is_due(now):
            self.measure(picture, now)

    def _choose_loads(self, picture: RegionPicture, ports: RegionPorts) -> None:
        """Say whose load reports are wanted, when that has changed."""
        region = picture.region
        key = (id(region), region.upto, id(picture.hosts))
        if key == self._loads_key:
            return
        self._loads_key = key
        leaders = (
            _find_leader(group, picture.hosts)
            for group in region.groups.values()
        )
        targets = tuple(one for one in leaders if one is not None)
        if targets != self._loads:
            self._loads = targets
            ports.loads.offer(targets)


def _find_leader(
    group: Group, hosts: Mapping[str, HostEntry]
) -> LoadTarget | None:
    entry = hosts.get(group.hosts[0])
    if entry is None:
        return None
    if group.phase not in (GroupPhase.SERVING, GroupPhase.DRAINING):
        return None
    return LoadTarget(group.name, entry["address"])


def _find_controller(region: RegionState) -> str:
    """Return IP:port of the controller, empty when there is none."""
    controller = region.controller
    return "" if controller is None else controller.address

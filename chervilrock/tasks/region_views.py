"""The part of the region task that publishes its views."""

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


class ObservedRegion(NamedTuple):
    """State of a region as any node knows it, also without control of it.

    Attributes:
      region: folded state of the region stream
      known: whether the stream is known
      hosts: host list of the region by name; a new object when it has changed
      services: backend servers of plain services that are not leaving
      models: wanted models
    """

    region: RegionState
    known: bool
    hosts: Mapping[str, HostEntry]
    services: tuple[ServiceEntry, ...]
    models: tuple[ModelSpec, ...]


class RegionViews:
    """Publishes and measures changes.

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
        """Create a publisher that has published nothing yet.

        Args:
          presence: evidence of the hosts
          lease: the lease as this node knows it
          metrics: metrics of the node
          events: logs hosts that go missing or return
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
        self._load_targets: tuple[LoadTarget, ...] = ()
        self._load_targets_key = (0, 0, 0)

    def update(self, observed: ObservedRegion, now: float) -> bool:
        """Update the endpoints.

        Returns:
          Whether the evidence of a host or the groups for requests changed.
        """
        changed = self._presence.pop_changed()
        change = self.endpoints.update(
            observed.region, observed.hosts, changed, now
        )
        self._record_change(observed, change, now)
        return bool(changed) or change.groups

    def measure(self, observed: ObservedRegion, now: float) -> None:
        """Measure group downtime and stranded accelerators."""
        sample = RegionSample(
            region=observed.region,
            presence=self._presence,
            endpoints=self.endpoints,
            hosts=observed.hosts,
            models=observed.models,
            counts=self._lease.may_act(now),
        )
        self._meter.measure(sample, now)

    def publish(
        self, observed: ObservedRegion, ports: RegionPorts, now: float
    ) -> None:
        """Publish a changed view and the changed targets of probes and loads.

        Args:
          observed: state of the region as this node knows it.
          ports: the tasks and mailboxes to write to.
          now: current time in seconds.
        """
        self._publish_load_targets(observed, ports)
        wanted = self._probes.choose(
            observed.region, self.endpoints, observed.hosts, now
        )
        if wanted is not None:
            ports.probes.offer(wanted)
        finishing = self._finishing.update(observed.region, observed.hosts, now)
        view = ServingView(
            endpoints=self.endpoints.endpoints if observed.known else (),
            finishing=finishing if observed.known else (),
            services=observed.services,
            known=observed.known,
            holds_lease=self._lease.may_act(now),
            controller=_find_controller(observed.region),
        )
        if view == self._view:
            return
        if view.holds_lease != self._view.holds_lease:
            self._metrics.lease_held.set(1 if view.holds_lease else 0)
            self.measure(observed, now)
        self._view = view
        for mailbox in ports.views:
            mailbox.offer(view)

    def _record_change(
        self, observed: ObservedRegion, change: EndpointChange, now: float
    ) -> None:
        """Log and measure changes."""
        if change.groups or change.expiries:
            broken = self.endpoints.list_broken()
            self._events.record_presence(broken, self._presence, now)
        if change.groups or self._meter.is_due(now):
            self.measure(observed, now)

    def _publish_load_targets(
        self, observed: ObservedRegion, ports: RegionPorts
    ) -> None:
        """Publish the groups whose load reports to read, when they change."""
        region = observed.region
        key = (id(region), region.upto, id(observed.hosts))
        if key == self._load_targets_key:
            return
        self._load_targets_key = key
        candidates = (
            _find_load_target(group, observed.hosts)
            for group in region.groups.values()
        )
        targets = tuple(target for target in candidates if target is not None)
        if targets != self._load_targets:
            self._load_targets = targets
            ports.loads.offer(targets)


def _find_load_target(
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

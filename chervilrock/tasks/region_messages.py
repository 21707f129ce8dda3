"""Messages of the region task, and the tasks it is connected to."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.decisions.finishing import FinishingGroup
from chervilrock.decisions.lease import LeaseView
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.views import EndpointTable, TimedEndpoint
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import HostEntry, ServiceEntry
from chervilrock.tasks.loads import GroupLoad, LoadTarget
from chervilrock.tasks.log import AppendTask, ReadTask
from chervilrock.tasks.mailbox import Outbox
from chervilrock.tasks.messages import (
    BatchAppended,
    ConfigurationInForce,
    HostProbed,
    HostsListed,
    HostsToProbe,
    OrderAnswered,
    PageRead,
    ReadFailed,
)
from chervilrock.tasks.orders import OrderTask
from chervilrock.tasks.region_report import RegionReport


class ReportWanted(NamedTuple):
    """Request for a report of the region."""

    reply: "asyncio.Future[RegionReport]"


class LeaseGivenUp(NamedTuple):
    """Request to release the lease, since the node is stopping."""

    done: "asyncio.Future[None]"


RegionMessage = (
    PageRead
    | ReadFailed
    | BatchAppended
    | HostProbed
    | HostsListed
    | OrderAnswered
    | ConfigurationInForce
    | GroupLoad
    | ReportWanted
    | LeaseGivenUp
)


class ServingView(NamedTuple):
    """State of the region by which requests are routed.

    Attributes:
      endpoints: groups that may get requests, each up to a time limit
      finishing: groups that get no new requests and finish the ones they have
      services: backend servers of plain services that are not leaving
      known: whether the region stream is known to this node
      holds_lease: whether this node controls the region
      controller: IP:port of the controller that the log names, empty for none
    """

    endpoints: tuple[TimedEndpoint, ...] = ()
    finishing: tuple[FinishingGroup, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    known: bool = False
    holds_lease: bool = False
    controller: str = ""


class RegionIdentity(NamedTuple):
    """Identity of this node in its region."""

    region: str
    node: str
    address: str
    lease_ms: int

    @property
    def stream(self) -> str:
        """Name of the stream of the region."""
        return f"region.{self.region}"


class RegionPorts(NamedTuple):
    """The tasks and mailboxes that the region task writes to."""

    reader: ReadTask
    appender: AppendTask
    orders: OrderTask
    probes: Outbox[HostsToProbe]
    loads: Outbox[tuple[LoadTarget, ...]]
    views: tuple[Outbox[ServingView], ...]


class RegionFacts(NamedTuple):
    """State of a region as a node knows it at one moment.

    Attributes:
      region: folded state of the region stream
      lease: the lease as this node knows it
      presence: evidence of the hosts
      endpoints: groups that may get requests
      hosts: host list of the region, by name
      configuration: configuration in force
      revision: its revision
    """

    region: RegionState
    lease: LeaseView
    presence: PresenceTable
    endpoints: EndpointTable
    hosts: Mapping[str, HostEntry]
    configuration: Configuration
    revision: int

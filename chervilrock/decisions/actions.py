"""Messages between the planner and the controller.

The controller shows the planner the hosts, the groups and the wanted models
as a `PlanInput`. The planner answers with actions; the controller turns each
action into log records and engine orders.
"""

from typing import NamedTuple

from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import EngineShard
from chervilrock.generated.records import GroupPhase


class FormGroup(NamedTuple):
    """Give free hosts to a new replica group.

    Attributes:
      model: name of the model
      version: version in the weight store
      adapters: adapters to load with it
      hosts: hosts by rank; each is free
      domain: fabric domain, empty when the group spans several
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    hosts: tuple[str, ...]
    domain: str


class RepairGroup(NamedTuple):
    """Replace hosts of a group by free hosts or by its spares.

    Attributes:
      group: name of the group
      fence: fencing number on which this was decided
      hosts: all hosts by rank after the repair
      domain: fabric domain, empty when the group spans several
    """

    group: str
    fence: int
    hosts: tuple[str, ...]
    domain: str


class DissolveGroup(NamedTuple):
    """Drain a group and free its hosts.

    Attributes:
      group: name of the group
      fence: fencing number on which this was decided
      reason: short text for the log event
    """

    group: str
    fence: int
    reason: str


Action = FormGroup | RepairGroup | DissolveGroup


class HostView(NamedTuple):
    """What the planner sees of a host.

    Attributes:
      host: name of the host
      data_centre: data centre of the host
      domain: fabric domain of the host
      accelerators: number of accelerators
      checks_fence: whether its engine refuses old fencing numbers
      present: whether evidence within the age limit proves it present
      leaving: whether the host list says that it is leaving
      free: whether a group may get it: no group owns it, or it is only a
        spare for a log outage, and it is not quarantined
      loaded: shard that its engine still caches, None for nothing
      releasing: whether its group gave it up and it will be free once it is
        proved empty; it is not quarantined
    """

    host: str
    data_centre: str
    domain: str
    accelerators: int
    checks_fence: bool
    present: bool
    leaving: bool
    free: bool
    loaded: EngineShard | None
    releasing: bool = False


class GroupView(NamedTuple):
    """What the planner sees of a group.

    Attributes:
      name: name of the group
      model: name of the model
      version: version that the group holds
      adapters: adapters that the group holds
      hosts: hosts by rank
      domain: fabric domain, empty when the group spans several
      fence: fencing number in force
      phase: phase in the folded log
      missing: hosts that are not proved present
      missing_since: time at which the first of them went missing, in seconds
        of the clock of `now`; None when none is missing
      spares: hosts that it holds for a repair while the log is out
    """

    name: str
    model: str
    version: str
    adapters: tuple[str, ...]
    hosts: tuple[str, ...]
    domain: str
    fence: int
    phase: GroupPhase
    missing: tuple[str, ...]
    missing_since: float | None
    spares: tuple[str, ...] = ()


class Prices(NamedTuple):
    """Costs that hold now, out of the configured objective.

    Attributes:
      downtime: cost of a group that is down for a second, times its hosts
      stranded: cost of a stranded accelerator for a second
    """

    downtime: float = 1.0
    stranded: float = 1.0


class PlanInput(NamedTuple):
    """Everything that the planner needs.

    Attributes:
      models: wanted models
      prices: costs that hold now
      hosts: every host of the region that is on the list
      groups: every group of the region that is not dissolved
    """

    models: tuple[ModelSpec, ...]
    prices: Prices
    hosts: tuple[HostView, ...]
    groups: tuple[GroupView, ...]

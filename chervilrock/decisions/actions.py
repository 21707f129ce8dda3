"""Messages between the planner and the controller.

The controller passes the hosts, the groups and the wanted models to the
planner as a `PlanInput`. The planner returns actions; the controller turns
each action into log records and engine orders.
"""

from typing import NamedTuple

from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import EngineShard
from chervilrock.generated.records import GroupPhase


class FormGroup(NamedTuple):
    """Form a new replica group from free hosts.

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
      fence: fencing number in force at the decision
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
      fence: fencing number in force at the decision
      reason: short text for the log event
    """

    group: str
    fence: int
    reason: str


Action = FormGroup | RepairGroup | DissolveGroup


class HostView(NamedTuple):
    """A host, as passed to the planner.

    Attributes:
      host: name of the host
      data_centre: data centre of the host
      domain: fabric domain of the host
      accelerators: number of accelerators
      checks_fence: whether its engine rejects old fencing numbers
      present: whether evidence within the age limit proves it present
      leaving: whether the host list marks it as leaving
      free: whether it can be assigned to a group: it is not quarantined, and
        no group owns it or it is only a spare for a log outage
      loaded: shard that its engine still caches, None if there is none
      releasing: whether its group has released it and it becomes free once it
        is proved empty; it is not quarantined
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
    """A group, as passed to the planner.

    Attributes:
      name: name of the group
      model: name of the model
      version: version that the group has loaded
      adapters: adapters that the group has loaded
      hosts: hosts by rank
      domain: fabric domain, empty when the group spans several
      fence: fencing number in force
      phase: phase in the folded log
      missing: hosts without recent evidence of presence
      missing_since: time at which the first of them went missing, in seconds
        on the clock of `now`; None if none is missing
      spares: hosts reserved for a repair while the log is unavailable
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
    """Current costs from the configured objective.

    Attributes:
      downtime: cost of one second of downtime of a group, for each host of it
      stranded: cost of one stranded accelerator for one second
    """

    downtime: float = 1.0
    stranded: float = 1.0


class PlanInput(NamedTuple):
    """Input of the planner.

    Attributes:
      models: wanted models
      prices: current costs
      hosts: every host of the region on the host list
      groups: every group of the region that is not dissolved
    """

    models: tuple[ModelSpec, ...]
    prices: Prices
    hosts: tuple[HostView, ...]
    groups: tuple[GroupView, ...]

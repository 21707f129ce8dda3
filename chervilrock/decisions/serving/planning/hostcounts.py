"""Counts hosts by state, model and data centre.

The counts show shortages and unused hosts. A model is short of capacity while
it has fewer groups than it needs; a host is unused while it is in no group that
serves.
"""

from collections import Counter
from collections.abc import Mapping
import enum
from typing import NamedTuple

from chervilrock.decisions.serving.groups.groupregistry import GroupRegistry
from chervilrock.decisions.serving.groups.groups import Phase
from chervilrock.decisions.serving.site import EngineProfile

INTERVAL_S = 1.0
"""Time between two counts that are logged. One count a second, with a line for
each model, shows which model was short of capacity at any moment of a day."""


class HostState(enum.Enum):
    """State of a host.

    Attributes:
      SERVING: its group accepts requests.
      CLOSING: its group completes its remaining requests.
      JOINING: it is joining a group, or loading weights to become a standby.
      CLEARING: its group is being dissolved.
      STANDBY: it is a standby host with weights in memory.
      FREE: it is in no group, or does not answer.
    """

    SERVING = "serving"
    CLOSING = "closing"
    JOINING = "joining"
    DISSOLVING = "clearing"
    STANDBY = "standby"
    FREE = "free"


_STATES = {
    Phase.FORMING: HostState.JOINING,
    Phase.OPENING: HostState.JOINING,
    Phase.SERVING: HostState.SERVING,
    Phase.CLOSING: HostState.CLOSING,
    Phase.DISSOLVING: HostState.DISSOLVING,
    Phase.STANDBY: HostState.STANDBY,
}


class ModelCount(NamedTuple):
    """Numbers of groups and hosts of a model.

    Attributes:
      service: name of the service.
      model: name of the model; empty for hosts that are in no group.
      groups: number of groups that accept requests.
      needed: number of groups that the demand requires.
      hosts: number of hosts in each state.
      places: number of hosts in each data centre and state.
    """

    service: str
    model: str
    groups: int
    needed: float
    hosts: Mapping[HostState, int]
    places: Mapping[tuple[str, HostState], int]

    @property
    def is_short(self) -> bool:
        """Whether the model has fewer groups than it needs."""
        return self.groups < int(self.needed)


def count_hosts(
    registry: GroupRegistry,
    service: str,
    engine: EngineProfile,
    needs: Mapping[str, float],
) -> tuple[ModelCount, ...]:
    """Return the host counts of a service by model.

    Args:
      registry: groups and hosts.
      service: name of the service.
      engine: engine profile with the models of the service.
      needs: number of groups that each model needs.
    """
    hosts: dict[str, Counter[HostState]] = {}
    places: dict[str, Counter[tuple[str, HostState]]] = {}
    groups: Counter[str] = Counter()
    counted: set[str] = set()

    def count(server: str, model: str, state: HostState) -> None:
        entry = registry.hosts.servers.get(server)
        if entry is None or server in counted:
            return
        counted.add(server)
        hosts.setdefault(model, Counter())[state] += 1
        place = (entry.data_centre, state)
        places.setdefault(model, Counter())[place] += 1

    for group in registry.groups.values():
        if group.service != service:
            continue
        state = _STATES[group.phase]
        groups[group.model] += state is HostState.SERVING
        for server in group.members:
            count(server, group.model, state)
    for server, entry in registry.hosts.servers.items():
        if entry.service == service:
            count(server, "", HostState.FREE)
    return tuple(
        ModelCount(
            service=service,
            model=model,
            groups=groups[model],
            needed=needs.get(model, 0.0),
            hosts=hosts.get(model, Counter()),
            places=places.get(model, Counter()),
        )
        for model in (*engine.models, "")
    )

"""What the hosts do, by model and data centre: downtime and stranded hosts.

A model is short while it has fewer groups than it needs; a host is stranded
while it is in no group that serves.
"""

from collections import Counter
from collections.abc import Mapping
import enum
from typing import NamedTuple

from chervilrock.decisions.serving.groupboard import GroupBoard
from chervilrock.decisions.serving.groups import Phase
from chervilrock.decisions.serving.site import EngineProfile

INTERVAL_S = 1.0
"""Time between two counts that are logged; two lines a second tell which model
was short at any moment of a day."""


class HostState(enum.Enum):
    """What a host does.

    Attributes:
      SERVING: it is in a group that takes requests.
      CLOSING: its group finishes what it has.
      JOINING: it joins a group, or loads to stand by.
      CLEARING: its group is taken apart.
      STANDBY: it stands by with weights in memory.
      FREE: it is in no group, or does not answer.
    """

    SERVING = "serving"
    CLOSING = "closing"
    JOINING = "joining"
    CLEARING = "clearing"
    STANDBY = "standby"
    FREE = "free"


_STATES = {
    Phase.FORMING: HostState.JOINING,
    Phase.OPENING: HostState.JOINING,
    Phase.SERVING: HostState.SERVING,
    Phase.CLOSING: HostState.CLOSING,
    Phase.CLEARING: HostState.CLEARING,
    Phase.STANDBY: HostState.STANDBY,
}


class ModelCount(NamedTuple):
    """Groups and hosts of a model.

    Attributes:
      service: the service.
      model: the model; empty for hosts that are in no group.
      groups: groups that take requests.
      needed: groups that the demand asks for.
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
        """Whether it has fewer groups than it needs."""
        return self.groups < int(self.needed)


def count_hosts(
    board: GroupBoard,
    service: str,
    engine: EngineProfile,
    needs: Mapping[str, float],
) -> tuple[ModelCount, ...]:
    """Return what the hosts of a service do, by model.

    Args:
      board: groups and hosts.
      service: the service.
      engine: its models.
      needs: groups that each model needs.
    """
    hosts: dict[str, Counter[HostState]] = {}
    places: dict[str, Counter[tuple[str, HostState]]] = {}
    groups: Counter[str] = Counter()
    counted: set[str] = set()

    def count(server: str, model: str, state: HostState) -> None:
        entry = board.hosts.servers.get(server)
        if entry is None or server in counted:
            return
        counted.add(server)
        hosts.setdefault(model, Counter())[state] += 1
        place = (entry.data_centre, state)
        places.setdefault(model, Counter())[place] += 1

    for group in board.groups.values():
        if group.service != service:
            continue
        state = _STATES[group.phase]
        groups[group.model] += state is HostState.SERVING
        for server in group.members:
            count(server, group.model, state)
    for server, entry in board.hosts.servers.items():
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

"""Which group or server gets a request.

Load pattern: requests come in waves at all nodes at once, and each node sees
only its own sends at once; those of the others it hears a moment later. A
batch slows down with each request in it, so a request goes where the batch is
emptiest. A group of the own data centre is preferred while its batch is only a
little fuller, since traffic between data centres is paid for.
"""

from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TYPE_CHECKING, TypeVar

from chervilrock.decisions.serving.lateness import Standing
from chervilrock.decisions.serving.shares import NO_LIMIT
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint

if TYPE_CHECKING:
    import random

Endpoint = TypeVar("Endpoint", GroupEndpoint, ServerEndpoint)

NEAR_SAMPLE = 2
FAR_SAMPLE = 1
"""Endpoints of the own and of other data centres that are compared. The more
there are, the more of all requests go to what was emptiest by the last news."""

CROSSING_COST = 0.25
"""Part of the slots that a group of another data centre must be emptier while
the groups are empty; the fuller they are, the less. A quarter of 13 slots makes
a step 1.5 ms longer, which is less than what a crossing costs in time and
traffic; but a request beyond the slots waits half a second in the engine."""


BEYOND_SHARE_COST = 0.5
"""Part of the slots that a group must be emptier when this node already has its
share of it: the other nodes are about to send there too."""


class Load(NamedTuple):
    """Requests at an endpoint.

    Attributes:
      own: those of this node.
      others: those of other nodes at the last announcement.
      slots: requests that run at once.
      is_doubtful: whether it is better avoided.
      own_limit: most requests that this node should have there, so that those
        of all nodes fit.
    """

    own: int
    others: int
    slots: int
    is_doubtful: bool
    own_limit: float = NO_LIMIT

    @property
    def total(self) -> int:
        """All requests."""
        return self.own + self.others


class Choice(NamedTuple, Generic[Endpoint]):
    """The endpoint for a request, and how full it was."""

    endpoint: Endpoint
    load: Load


def choose(
    endpoints: Iterable[Endpoint],
    find_load: Callable[[Endpoint], Load],
    *,
    data_centre: str,
    avoided: frozenset[str],
    bound: "Bound",
    generator: "random.Random",
) -> Choice[Endpoint] | None:
    """Return the best endpoint with room, None when there is none.

    Args:
      endpoints: those that serve what is asked for.
      find_load: returns the requests at an endpoint.
      data_centre: where this node stands.
      avoided: servers that must not get the request.
      bound: how full an endpoint may be.
      generator: breaks ties, so that nodes do not all choose the same.
    """
    near: list[Choice[Endpoint]] = []
    far: list[Choice[Endpoint]] = []
    for endpoint in endpoints:
        load = find_load(endpoint)
        if endpoint.server in avoided or not bound.allows(load):
            continue
        is_near = endpoint.data_centre == data_centre
        (near if is_near else far).append(Choice(endpoint, load))
    sample = _sample(near, NEAR_SAMPLE, generator)
    sample += _sample(far, FAR_SAMPLE, generator)
    if not sample:
        return None

    def weigh(choice: Choice[Endpoint]) -> tuple[bool, float]:
        load = choice.load
        is_far = choice.endpoint.data_centre != data_centre
        fullness = load.total / load.slots
        crossing = CROSSING_COST * max(0.0, 1.0 - fullness) if is_far else 0.0
        is_beyond = load.own >= load.own_limit
        excess = BEYOND_SHARE_COST if is_beyond else 0.0
        return load.is_doubtful, fullness + crossing + excess

    return min(sample, key=weigh)


def _sample(
    choices: "list[Choice[Endpoint]]",
    most: int,
    generator: "random.Random",
) -> "list[Choice[Endpoint]]":
    """Return some of the choices, those that are not doubted first."""
    sound = [one for one in choices if not one.load.is_doubtful]
    pool = sound or choices
    return generator.sample(pool, min(most, len(pool)))


class Bound(NamedTuple):
    """How full an endpoint may be that takes a request.

    Attributes:
      total: requests of all nodes, as a part of its slots.
      own: requests of this node, as a part of its slots.
      shared_from: requests of all nodes, as a part of its slots, from which
        a node keeps to its own limit.
    """

    total: float
    own: float
    shared_from: float = NO_LIMIT

    def allows(self, load: Load) -> bool:
        """Tell whether an endpoint has room for one more request."""
        if load.total >= self.total * load.slots:
            return False
        is_shared = load.total >= self.shared_from * load.slots
        if is_shared and load.own >= load.own_limit:
            return False
        return load.own < max(1.0, self.own * load.slots)


SHARED_PART = 0.7
"""Part of the slots from which a request that has just come goes to a group
only within the share of its node; below, what other nodes send meanwhile still
fits."""

GROUP_BOUND = Bound(total=1.0, own=1.0, shared_from=SHARED_PART)
"""More requests at a group would wait in the engine, where no other group can
take them."""

WAITING_BOUND = GROUP_BOUND._replace(shared_from=0.0)
"""For requests that have waited: all nodes have some when there is any free
slot, so that each keeps to its share."""

LATE_PART = 0.5
"""Part of the slots for requests that can no longer be on time while places
are short, or when they have just come. After an outage some hundred of them
wait; let in all at once they make those that come new late as well."""

LATE_PATIENCE_S = 0.5
"""Time after which a late request takes any place that no other one lacks."""

SERVER_BOUND = Bound(total=1.5, own=1.5)
"""Requests at a server of a plain service: they are over in some tens of
milliseconds, and a short queue keeps the slots busy."""

BEGUN_BOUND = Bound(total=1.25, own=1.25)
"""For streams that were cut: their callers give up after a short gap, and the
engine admits them first."""


def find_group_bound(
    standing: Standing,
    nodes: int,
    *,
    waited_s: float = 0.0,
    is_short: bool = False,
) -> Bound:
    """Return how full a group may be that takes a request.

    A node that has just started knows the requests of the others only some
    tenths of a second later, so that its late ones keep to its share.

    Args:
      standing: how the request stands.
      nodes: number of nodes that send to the same groups.
      waited_s: time for which it has waited here, in seconds.
      is_short: whether requests that could be on time lack places.
    """
    if standing is Standing.BEGUN:
        return BEGUN_BOUND
    if standing is Standing.ON_TIME:
        return WAITING_BOUND if is_short or waited_s > 0 else GROUP_BOUND
    if waited_s >= LATE_PATIENCE_S and not is_short:
        return WAITING_BOUND
    return Bound(
        total=LATE_PART, own=LATE_PART / max(1, nodes), shared_from=0.0
    )

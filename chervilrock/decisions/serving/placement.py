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
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint

if TYPE_CHECKING:
    import random

Endpoint = TypeVar("Endpoint", GroupEndpoint, ServerEndpoint)

NEAR_SAMPLE = 2
FAR_SAMPLE = 1
"""Endpoints of the own and of other data centres that are compared. The more
there are, the more of all requests go to what was emptiest by the last news: of
340 requests a second at 50 groups, with news of 0.15 s ago that come each
0.15 s, 5.8 in 100 were sent to a full group with three and three, 1.5 in 100
with two and one (replay of 20 nodes); of 104 a second at 12 groups and 9 nodes
4.9 and 1.4 in 100."""

CROSSING_COST = 0.25
"""Part of the slots that a group of another data centre must be emptier while
the groups are empty; the fuller they are, the less. A quarter of 13 slots makes
a step 1.5 ms longer, which is less than what a crossing costs in time and
traffic; but a request beyond the slots waits half a second in the engine."""


class Load(NamedTuple):
    """Requests at an endpoint.

    Attributes:
      own: those of this node.
      others: those of other nodes at the last announcement.
      slots: requests that run at once.
      is_doubtful: whether it is better avoided.
    """

    own: int
    others: int
    slots: int
    is_doubtful: bool

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
        return load.is_doubtful, fullness + crossing

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
    """

    total: float
    own: float

    def allows(self, load: Load) -> bool:
        """Tell whether an endpoint has room for one more request."""
        if load.total >= self.total * load.slots:
            return False
        return load.own < max(1.0, self.own * load.slots)


GROUP_BOUND = Bound(total=1.0, own=1.0)
"""More requests at a group would wait in the engine, where no other group can
take them."""

LATE_PART = 0.5
"""Part of the slots for requests that can no longer be on time. After an
outage some hundred of them wait; let in all at once they fill the groups and
make those that come new late as well. In a replay of such a start (a hundred
that wait, 75 a second that come) 69 of 100 new ones were on time with 1.0, 98
with 0.5."""

SERVER_BOUND = Bound(total=1.5, own=1.5)
"""Requests at a server of a plain service: they are over in some tens of
milliseconds, and a short queue keeps the slots busy."""


LATE_PATIENCE_PART = 0.15
"""Part of its time limit after which a late request takes any place. By then
the new ones of an outage's end are placed; one that is turned away now does not
come again. Of 722 requests of the eight seconds around a loss of all nodes 48
were not served when late ones kept to their part for 0.6 of their limit, and 17
when callers that came back counted as new."""


BEGUN_BOUND = Bound(total=1.25, own=1.25)
"""For streams that were cut: their callers give up after a gap of two seconds,
and the engine admits them first. Held to the part for late requests, a stream
of a lost group waited 2.1 s while all groups were half full."""


def find_group_bound(
    standing: Standing, nodes: int, *, waited_part: float = 0.0
) -> Bound:
    """Return how full a group may be that takes a request.

    A node that has just started knows the requests of the others only some
    tenths of a second later, so that its late ones keep to its share.

    Args:
      standing: how the request stands.
      nodes: number of nodes that send to the same groups.
      waited_part: part of its time limit for which it has waited here.
    """
    if standing is Standing.BEGUN:
        return BEGUN_BOUND
    if standing is Standing.ON_TIME or waited_part >= LATE_PATIENCE_PART:
        return GROUP_BOUND
    return Bound(total=LATE_PART, own=LATE_PART / max(1, nodes))

"""Which group or server gets a request.

Load pattern: requests come in waves at all nodes at once, and each node sees
only its own sends at once; those of the others it hears a moment later. A
batch slows down with each request in it, so a request goes where the batch is
emptiest. A group of the own data centre is preferred while its batch is only a
little fuller, since traffic between data centres is paid for.
"""

from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TYPE_CHECKING, TypeVar

from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint

if TYPE_CHECKING:
    import random

Endpoint = TypeVar("Endpoint", GroupEndpoint, ServerEndpoint)

NEAR_SAMPLE = 2
FAR_SAMPLE = 2
"""Endpoints of the own and of other data centres that are compared. Of two
drawn at random the emptier one is nearly as good as the emptiest of all, and
77 nodes with news of the same age do not all run to the same group."""

CROSSING_COST = 0.25
"""Part of the slots that a group of another data centre must be emptier. A
quarter of 13 slots makes a step 1.5 ms longer, which is less than what a
crossing costs in time and traffic."""


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
    limit: float,
    generator: "random.Random",
) -> Choice[Endpoint] | None:
    """Return the best endpoint with room, None when there is none.

    Args:
      endpoints: those that serve what is asked for.
      find_load: returns the requests at an endpoint.
      data_centre: where this node stands.
      avoided: servers that must not get the request.
      limit: requests at once that an endpoint takes, as a part of its slots.
      generator: breaks ties, so that nodes do not all choose the same.
    """
    near: list[Choice[Endpoint]] = []
    far: list[Choice[Endpoint]] = []
    for endpoint in endpoints:
        load = find_load(endpoint)
        if endpoint.server in avoided or load.total >= limit * load.slots:
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
        return load.is_doubtful, fullness + (CROSSING_COST if is_far else 0.0)

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


GROUP_LIMIT = 1.0
"""Requests at a group, as a part of its slots: more of them would wait in
the engine, where no other group can take them."""

SERVER_LIMIT = 1.5
"""The same for plain services, whose requests are over in some tens of
milliseconds; a short queue keeps their slots busy."""

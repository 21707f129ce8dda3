"""Chooses the group or server of a request.

Load pattern: requests arrive in waves at all nodes at once. A node counts its
own sends at once; those of the other nodes are announced a moment later. A
batch slows down with each request in it, so a request goes to the endpoint with
the emptiest batch. A group of the node's own data centre is preferred while its
batch is only a little fuller, since traffic between data centres is charged.
"""

from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TYPE_CHECKING, TypeVar

from chervilrock.decisions.serving.admission.lateness import Timeliness
from chervilrock.decisions.serving.admission.shares import NO_LIMIT
from chervilrock.decisions.serving.view import GroupEndpoint, ServerEndpoint

if TYPE_CHECKING:
    import random

Endpoint = TypeVar("Endpoint", GroupEndpoint, ServerEndpoint)

NEAR_SAMPLE = 2
FAR_SAMPLE = 1
"""Numbers of endpoints of the own and of other data centres that are compared.
The larger the samples, the more requests of all nodes go to the endpoint that
was the emptiest in the last announcement."""

REMOTE_PENALTY = 0.25
"""Fraction of the slots by which a group of another data centre must be emptier
while the groups are empty; it decreases as they fill up. A quarter of 13 slots
makes a step 1.5 ms longer, which is less than the time and traffic between data
centres cost; but a request beyond the slots waits half a second in the
engine."""


OVER_SHARE_PENALTY = 0.5
"""Fraction of the slots by which a group must be emptier if this node has
already used its share of the group: the other nodes are about to send there
too."""


class Load(NamedTuple):
    """Load of an endpoint.

    Attributes:
      own: number of requests of this node.
      others: number of requests of other nodes at the last announcement.
      slots: number of requests that run at once.
      is_deprioritized: whether the endpoint is chosen only if there is no
        other.
      own_limit: greatest number of requests that this node should have there,
        so that those of all nodes fit.
    """

    own: int
    others: int
    slots: int
    is_deprioritized: bool
    own_limit: float = NO_LIMIT

    @property
    def total(self) -> int:
        """Number of requests of all nodes."""
        return self.own + self.others


class Choice(NamedTuple, Generic[Endpoint]):
    """The endpoint for a request, and its load when it was chosen."""

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
    """Return the best endpoint with a free slot, None if there is none.

    Args:
      endpoints: endpoints that serve the requested model or service.
      find_load: returns the load of an endpoint.
      data_centre: data centre of this node.
      avoided: servers that must not get the request.
      bound: how full an endpoint may be.
      generator: draws the samples, so that the nodes choose different
        endpoints.
    """
    near: list[Choice[Endpoint]] = []
    far: list[Choice[Endpoint]] = []
    for endpoint in endpoints:
        load = find_load(endpoint)
        if endpoint.server in avoided or not bound.allows(load):
            continue
        is_near = endpoint.data_centre == data_centre
        (near if is_near else far).append(Choice(endpoint, load))
    sample = _draw_sample(near, NEAR_SAMPLE, generator)
    sample += _draw_sample(far, FAR_SAMPLE, generator)
    if not sample:
        return None

    def sort_key(choice: Choice[Endpoint]) -> tuple[bool, float]:
        load = choice.load
        is_far = choice.endpoint.data_centre != data_centre
        fullness = load.total / load.slots
        distance_penalty = (
            REMOTE_PENALTY * max(0.0, 1.0 - fullness) if is_far else 0.0
        )
        is_over_share = load.own >= load.own_limit
        share_penalty = OVER_SHARE_PENALTY if is_over_share else 0.0
        return (
            load.is_deprioritized,
            fullness + distance_penalty + share_penalty,
        )

    return min(sample, key=sort_key)


def _draw_sample(
    choices: "list[Choice[Endpoint]]",
    sample_size: int,
    generator: "random.Random",
) -> "list[Choice[Endpoint]]":
    """Return a sample of the choices that are not deprioritized.

    If all choices are deprioritized, the sample is drawn from them.
    """
    preferred = [
        choice for choice in choices if not choice.load.is_deprioritized
    ]
    pool = preferred or choices
    return generator.sample(pool, min(sample_size, len(pool)))


class Bound(NamedTuple):
    """How full an endpoint may be to get another request.

    Attributes:
      total: requests of all nodes, as a fraction of its slots.
      own: requests of this node, as a fraction of its slots.
      share_threshold: requests of all nodes, as a fraction of its slots, from
        which the limit of each node applies.
    """

    total: float
    own: float
    share_threshold: float = NO_LIMIT

    def allows(self, load: Load) -> bool:
        """Return whether an endpoint may get one more request."""
        if load.total >= self.total * load.slots:
            return False
        applies_share = load.total >= self.share_threshold * load.slots
        if applies_share and load.own >= load.own_limit:
            return False
        return load.own < max(1.0, self.own * load.slots)


SHARED_FRACTION = 0.7
"""Fraction of busy slots from which a request that has just arrived goes to a
group only within the share of its node; below it, the concurrent requests of
other nodes still fit."""

GROUP_BOUND = Bound(total=1.0, own=1.0, share_threshold=SHARED_FRACTION)
"""Additional requests would wait in the engine, where no other group can serve
them."""

WAITING_BOUND = GROUP_BOUND._replace(share_threshold=0.0)
"""Bound for requests that have waited. When a slot becomes free, all nodes have
waiting requests, so each node keeps to its share."""

LATE_FRACTION = 0.5
"""Fraction of the slots for requests that can no longer be on time, during a
shortage or when they have just arrived. About a hundred of them wait after an
outage; if all are admitted at once, new requests become late as well."""

CLOSED_BOUND = Bound(total=0.0, own=0.0)
"""Bound that no endpoint is within."""

LATE_PATIENCE_S = 0.5
"""Time after which a late request gets any free slot, unless there is a
shortage."""

SERVER_BOUND = Bound(total=1.5, own=1.5)
"""Bound for servers of a plain service: requests take tens of milliseconds, and
a short queue keeps the slots busy."""

BEGUN_BOUND = Bound(total=1.25, own=1.25)
"""Bound for interrupted streams: their callers give up after a short gap, and
the engine admits them first."""


def find_group_bound(
    timeliness: Timeliness,
    nodes: int,
    *,
    waited_s: float = 0.0,
    has_shortage: bool = False,
    may_send_late: bool = True,
) -> Bound:
    """Return how full a group may be to get a request.

    A node that has just started gets the loads of the other nodes only some
    tenths of a second later, so its late requests keep to its share.

    Args:
      timeliness: timeliness of the request.
      nodes: number of nodes that send to the same groups.
      waited_s: time for which it has waited at this node, in seconds.
      has_shortage: whether requests that could be on time get no slots.
      may_send_late: whether this node may send a late request now.
    """
    if timeliness is Timeliness.LATE and not may_send_late:
        return CLOSED_BOUND
    if timeliness is Timeliness.BEGUN:
        return BEGUN_BOUND
    if timeliness is Timeliness.ON_TIME:
        return WAITING_BOUND if has_shortage or waited_s > 0 else GROUP_BOUND
    if waited_s >= LATE_PATIENCE_S and not has_shortage:
        return WAITING_BOUND
    return Bound(
        total=LATE_FRACTION,
        own=LATE_FRACTION / max(1, nodes),
        share_threshold=0.0,
    )

"""What a node knows of its installation: routes, services, keys, servers.

These are the project's own types. The adapter makes them from the documents
of the platform; nothing here knows how those are spelled.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    ONCE = "once"


class WeightedService(NamedTuple):
    """A service that gets a share of the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """A rule that sends requests of a host and a path to services.

    Attributes:
      name: name of the route.
      host: host name in lower case.
      prefix: beginning of the paths, with a slash at both ends.
      kind: what may be repeated.
      services: services and their weights, at least one.
      timeout_s: longest time for a request in seconds.
      target_s: time in seconds to the answer, or to the first event, that
        counts as on time.
      longest_pause_s: longest pause between two events that counts as on
        time, in seconds; 0 when it is not given.
      priority: rank of the requests, 0 is the highest.
      max_attempts: greatest number of servers that may get one request.
      is_public: whether no key is asked for.
      is_resumable: whether a broken stream may go on at another server.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    longest_pause_s: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


class Workspace(NamedTuple):
    """A customer.

    Attributes:
      name: name that backend servers are told.
      priority: rank that replaces that of the route, None to keep it.
    """

    name: str
    priority: int | None


class ModelShape(NamedTuple):
    """What a replica of a model needs.

    Attributes:
      name: name of the model.
      size: number of hosts of one replica.
      pace: factor on all times of an engine.
      share: part of the work that is expected at the start.
      load_s: time to load the weights from the weight store, in seconds.
      warm_s: time to load them from the host, in seconds.
    """

    name: str
    size: int
    pace: float
    share: float
    load_s: float
    warm_s: float


class EngineProfile(NamedTuple):
    """How the engines of a service work.

    Attributes:
      slots: requests that a group runs at once.
      step_s: time of a step without requests, in seconds.
      per_request_s: time that each running request adds to a step.
      steps_per_pass: steps between two events of a stream.
      prompt_tokens_per_s: prompt tokens that are read a second.
      prompt_chunk: most prompt tokens that are read in a step.
      usual_prompt_tokens: mean length of a prompt.
      form_s: time from the order to open until a group serves, in seconds.
      loads_per_s: loads from the weight store that may start a second.
      loads_at_once: loads at once that do not slow each other.
      staged_models: models whose weights a host keeps, beside the one that its
        server has in memory.
      models: models by name.
    """

    slots: int
    step_s: float
    per_request_s: float
    steps_per_pass: int
    prompt_tokens_per_s: float
    prompt_chunk: int
    usual_prompt_tokens: float
    form_s: float
    loads_per_s: float
    loads_at_once: int
    staged_models: int
    models: Mapping[str, ModelShape]


class Service(NamedTuple):
    """A service.

    Attributes:
      name: name of the service.
      engine: how its engines work, None for a plain service.
    """

    name: str
    engine: EngineProfile | None


class Limits(NamedTuple):
    """Bounds for what a caller sends.

    Attributes:
      idle_s: time for which a connection may stay idle, in seconds.
    """

    idle_s: float


class SiteConfiguration(NamedTuple):
    """A configuration of the operator.

    Attributes:
      revision: number that grows with each configuration.
      routes: all routes.
      services: services by name.
      keys: workspaces by key, None when no keys are asked for.
      limits: bounds for callers.
    """

    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    keys: Mapping[str, Workspace] | None
    limits: Limits


class MemberState(enum.Enum):
    """State of a group as one of its members reports it."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(NamedTuple):
    """The group of a server.

    Attributes:
      group: name of the group.
      epoch: number that orders the memberships of a server.
      rank: place in the group; 0 is the head, which gets the requests.
      state: state as the member reports it.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState


class BackendServer(NamedTuple):
    """A backend server as its entry in the store tells.

    Attributes:
      server: identifier of the server.
      service: service that it belongs to.
      address: IP:port.
      data_centre: where it stands.
      domain: fabric domain, empty for a plain service.
      is_leaving: whether it takes no new work soon.
      slots: requests that it runs at once.
      staged: models whose weights are on the host.
      membership: its group, None when it is in none.
      born: when it started, in milliseconds since the epoch; 0 when it does
        not tell. A server may start again under its identifier, and then
        holds and knows nothing of before.
      writes: how often it has written its entry since its start.
    """

    server: str
    service: str
    address: str
    data_centre: str
    domain: str
    is_leaving: bool
    slots: int
    staged: tuple[str, ...]
    membership: Membership | None
    born: int = 0
    writes: int = 0

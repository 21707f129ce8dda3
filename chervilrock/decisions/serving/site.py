"""Types of an installation: routes, services, keys and servers.

These are the project's own types. The adapter creates them from the documents
of the platform and hides the format of these documents.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple


class RouteKind(enum.Enum):
    """Which requests of a route may be retried."""

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
      kind: which requests may be retried.
      services: services and their weights, at least one.
      timeout_s: longest time for a request, in seconds.
      target_s: longest time to the answer, or to the first event, that counts
        as on time, in seconds.
      longest_pause_s: longest pause between two events that counts as on
        time, in seconds; 0 if it is not configured.
      priority: rank of the requests, 0 is the highest.
      max_attempts: greatest number of servers that may get one request.
      is_public: whether requests need no key.
      is_resumable: whether an interrupted stream may resume at another server.
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
    def may_retry(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


class Workspace(NamedTuple):
    """A customer.

    Attributes:
      name: name that is passed to backend servers.
      priority: rank that overrides that of the route, None to keep it.
    """

    name: str
    priority: int | None


class ModelShape(NamedTuple):
    """Hosts and load times of a replica of a model.

    Attributes:
      name: name of the model.
      size: number of hosts of one replica.
      time_factor: factor on all times of an engine; 1.0 is nominal, 2.0 takes
        twice as long.
      share: expected share of the workload at the start.
      load_s: time to load the weights from the weight store, in seconds.
      warm_s: time to load them from the host, in seconds.
    """

    name: str
    size: int
    time_factor: float
    share: float
    load_s: float
    warm_s: float


class EngineProfile(NamedTuple):
    """Performance and capacity of the engines of a service.

    Attributes:
      slots: number of requests that a group runs at once.
      step_s: time of a step without requests, in seconds.
      per_request_s: time that each running request adds to a step.
      steps_per_pass: steps between two events of a stream.
      prompt_tokens_per_s: prompt tokens that are processed a second.
      prompt_chunk: greatest number of prompt tokens that a step processes.
      usual_prompt_tokens: mean length of a prompt.
      form_s: time from the order to open until a group serves, in seconds.
      loads_per_s: loads from the weight store that may start a second.
      loads_at_once: concurrent loads that do not slow each other down.
      staged_models: number of models whose weights a host keeps, besides the
        one that its server has in memory.
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
      engine: profile of its engines, None for a plain service.
      warmup_s: time for which a server is cold after its start, in seconds.
      warmup_rate: requests a second that a cold server tolerates, 0 if its
        servers do not warm up.
      status_path: path of the status check of its servers, empty for none.
    """

    name: str
    engine: EngineProfile | None
    warmup_s: float = 0.0
    warmup_rate: float = 0.0
    status_path: str = ""


class Limits(NamedTuple):
    """Limits on the connections of callers.

    Attributes:
      idle_s: time for which a connection may be idle, in seconds.
    """

    idle_s: float


class IgnoredField(NamedTuple):
    """A field of a configuration with a malformed value.

    Attributes:
      field: place in the document.
      value: the value as it is logged.
    """

    field: str
    value: str


class BoundedField(NamedTuple):
    """A number of a configuration that is out of bounds.

    Attributes:
      field: place in the document.
      value: the number as it is logged.
      used: the number that is used in its place.
    """

    field: str
    value: str
    used: float


class SiteConfiguration(NamedTuple):
    """A configuration of the operator.

    Attributes:
      revision: number that grows with each configuration.
      routes: all routes.
      services: services by name.
      keys: workspaces by key, None if no keys are required.
      limits: limits on the connections of callers.
      ignored: fields with a malformed value, which count as absent.
      bounded: numbers that are out of bounds.
    """

    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    keys: Mapping[str, Workspace] | None
    limits: Limits
    ignored: tuple[IgnoredField, ...] = ()
    bounded: tuple[BoundedField, ...] = ()


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
    """A backend server as described by its entry in the store.

    Attributes:
      server: identifier of the server.
      service: service that it belongs to.
      address: IP:port.
      data_centre: data centre of its host.
      domain: fabric domain, empty for a plain service.
      is_leaving: whether it will soon accept no new requests.
      slots: number of requests that it runs at once.
      staged: models whose weights are on the host.
      membership: its group, None when it is in none.
      started_ms: when it started, in milliseconds since the epoch; 0 if it
        does not report this. A server may restart under the same identifier,
        and then has none of its former state.
      writes: how often it has written its entry since its start.
      warmup_left_s: seconds for which it will still be cold, None if it does
        not state this.
      warmup_unreadable: malformed value that it states instead, empty for
        none.
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
    started_ms: int = 0
    writes: int = 0
    warmup_left_s: float | None = None
    warmup_unreadable: str = ""

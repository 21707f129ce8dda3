"""Decodes the site configuration that the operator writes to the store."""

from typing import Annotated, Any

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.decisions.serving.servers.evacuations import EvacuationRecord
from chervilrock.decisions.serving.site import (
    EngineProfile,
    IgnoredField,
    Limits,
    ModelShape,
    Route,
    RouteKind,
    Service,
    SiteConfiguration,
    WeightedService,
    Workspace,
)
from chervilrock.platform.amounts import Bounds, read_amount
from chervilrock.platform.servers import MAX_INT

TOPIC = "keyed.op"
KEY = "config"
EVACUATION_PREFIX = "evacuate/"

_MS_PER_S = 1000.0

MAX_MS = 1e9
"""Longest time in a configuration, some eleven days. libcurl and timers can
hold it."""

MAX_COUNT = 65535
"""Greatest number of slots, hosts, attempts or steps."""

_MIN_TIMEOUT_MS = 1.0
_MAX_FACTOR = 1e6
_MIN_FACTOR = 1e-3
_MAX_RATE = 1e9  # a second
_MIN_RATE = 1e-3
_MAX_WEIGHT = 1e9
_MAX_TOKENS = 10**9
_ROUTE_KINDS = {
    "streaming": RouteKind.STREAM,
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
}


class _Target(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    service: str = ""
    backends: list[_Target] = []
    slo_target_ms: float = 0.0  # streams: time to the first event
    gap_aim_ms: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    auth_exempt: bool = False
    stream_resume: bool = False


class _Model(msgspec.Struct):
    name: str
    size: Annotated[int, msgspec.Meta(ge=1)] = 1
    share: float = 1.0  # of the initial workload, not of the requests
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


class _UsualRequest(msgspec.Struct):
    prompt: float = 0.0  # mean number of tokens


class _Engine(msgspec.Struct):
    slots: int
    models: list[_Model] = []
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    stride: int = 1
    read_per_s: Annotated[float, msgspec.Meta(gt=0.0)] = 10000.0
    chunk: int = 2048
    usual: _UsualRequest = msgspec.field(default_factory=_UsualRequest)
    loads_per_s: float = 1.0
    loads_at_once: int = 1
    form_ms: float = 0.0
    keeps: int = 1  # models whose weights a host keeps staged


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    engine: _Engine | None = None
    warmup_s: Any = None
    warmup_per_s: Any = None


class _Limits(msgspec.Struct):
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Document(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_DECODER = Decoder(_Document)
_EVACUATION_DECODER = Decoder(dict[str, msgspec.Raw])


def decode_configuration(document: bytes) -> Result[SiteConfiguration, str]:
    """Return the configuration, or a description of the first error.

    Numbers that a node cannot work with are replaced by the nearest with which
    it can, so that the rest of the configuration is in force.
    """
    bounds = Bounds()
    try:
        decoded = _DECODER.decode(document)
        routes = tuple(_make_route(route, bounds) for route in decoded.routes)
    except (UnreadableError, ValueError) as error:
        return Failure(str(error))
    ignored: list[IgnoredField] = []
    services = {
        service.name: _make_service(service, ignored, bounds)
        for service in decoded.services
    }
    return Success(
        SiteConfiguration(
            revision=decoded.version,
            routes=routes,
            services=services,
            keys=_make_keys(decoded.tenants, bounds),
            limits=Limits(
                idle_s=_bound_ms(
                    bounds,
                    "limits.idle_timeout_ms",
                    decoded.limits.idle_timeout_ms,
                )
            ),
            ignored=tuple(ignored),
            bounded=tuple(bounds.bounded),
        )
    )


def decode_evacuation(key: str, value: bytes) -> EvacuationRecord | None:
    """Decode a record of the configuration topic that evacuates a zone.

    Args:
      key: key of the record.
      value: a JSON object, empty for a removed record.

    Returns:
      The record, which may state a problem; None for another record.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    zone = key.removeprefix(EVACUATION_PREFIX)
    problem = "" if zone else "the key names no data centre"
    if value:
        try:
            _EVACUATION_DECODER.decode(value)
        except UnreadableError as error:
            problem = problem or str(error)
    return EvacuationRecord(zone, is_evacuated=bool(value), problem=problem)


def _bound_ms(
    bounds: Bounds, place: str, value_ms: float, low_ms: float = 0.0
) -> float:
    """Return a time of a document in seconds, within bounds."""
    return bounds.bound(place, value_ms, low_ms, MAX_MS) / _MS_PER_S


def _make_route(route: _Route, bounds: Bounds) -> Route:
    """Translate a route.

    Raises:
      ValueError: the route names no service, or its kind is unknown.
    """
    kind = _ROUTE_KINDS.get(route.route_type)
    if kind is None:
        raise ValueError(
            f"route {route.name}: unknown kind {route.route_type!r}"
        )
    place = f"routes[{route.name}]"
    targets = route.backends or [_Target(service=route.service)]
    services = tuple(
        WeightedService(
            service=target.service,
            weight=bounds.bound(
                f"{place}.weight", target.weight, 0.0, _MAX_WEIGHT
            ),
        )
        for target in targets
        if target.service
    )
    if not services:
        raise ValueError(f"route {route.name}: names no service")
    timeout_s = _bound_ms(
        bounds, f"{place}.timeout_ms", route.timeout_ms, _MIN_TIMEOUT_MS
    )
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=kind,
        services=services,
        timeout_s=timeout_s,
        target_s=_bound_ms(
            bounds, f"{place}.slo_target_ms", route.slo_target_ms
        )
        or timeout_s,
        longest_pause_s=_bound_ms(
            bounds, f"{place}.gap_aim_ms", route.gap_aim_ms
        ),
        priority=bounds.bound(
            f"{place}.priority", route.priority, 0, MAX_COUNT
        ),
        max_attempts=bounds.bound(
            f"{place}.max_attempts", route.max_attempts, 1, MAX_COUNT
        ),
        is_public=route.auth_exempt,
        is_resumable=kind is RouteKind.STREAM and route.stream_resume,
    )


def _make_service(
    service: _Service, ignored: list[IgnoredField], bounds: Bounds
) -> Service:
    """Translate a service; append its malformed fields to `ignored`."""

    def read(field: str, value: object) -> float:
        amount, unreadable = read_amount(value)
        if unreadable:
            place = f"services[{service.name}].{field}"
            ignored.append(IgnoredField(place, unreadable))
        return amount or 0.0

    engine = service.engine
    return Service(
        name=service.name,
        engine=None
        if engine is None
        else _make_engine(engine, f"services[{service.name}].engine", bounds),
        status_path=service.health_path,
        warmup_s=read("warmup_s", service.warmup_s),
        warmup_rate=read("warmup_per_s", service.warmup_per_s),
    )


def _make_engine(engine: _Engine, place: str, bounds: Bounds) -> EngineProfile:
    def count(field: str, value: int, low: int = 1) -> int:
        return bounds.bound(f"{place}.{field}", value, low, MAX_COUNT)

    def seconds(field: str, value_ms: float) -> float:
        return _bound_ms(bounds, f"{place}.{field}", value_ms)

    def rate(field: str, value: float) -> float:
        return bounds.bound(f"{place}.{field}", value, _MIN_RATE, _MAX_RATE)

    return EngineProfile(
        slots=count("slots", engine.slots),
        step_s=seconds("step_ms", engine.step_ms),
        per_request_s=seconds("per_seq_ms", engine.per_seq_ms),
        steps_per_pass=count("stride", engine.stride),
        prompt_tokens_per_s=rate("read_per_s", engine.read_per_s),
        prompt_chunk=bounds.bound(
            f"{place}.chunk", engine.chunk, 1, _MAX_TOKENS
        ),
        usual_prompt_tokens=bounds.bound(
            f"{place}.usual.prompt",
            engine.usual.prompt,
            0.0,
            float(_MAX_TOKENS),
        ),
        form_s=seconds("form_ms", engine.form_ms),
        loads_per_s=rate("loads_per_s", engine.loads_per_s),
        loads_at_once=count("loads_at_once", engine.loads_at_once),
        staged_models=count("keeps", engine.keeps, 0),
        models={
            model.name: _make_model(
                model, f"{place}.models[{model.name}]", bounds
            )
            for model in engine.models
        },
    )


def _make_model(model: _Model, place: str, bounds: Bounds) -> ModelShape:
    def bound(field: str, value: float, low: float, high: float) -> float:
        return bounds.bound(f"{place}.{field}", value, low, high)

    return ModelShape(
        name=model.name,
        size=bounds.bound(f"{place}.size", model.size, 1, MAX_COUNT),
        time_factor=bound("pace", model.pace, _MIN_FACTOR, _MAX_FACTOR),
        share=bound("share", model.share, 0.0, _MAX_WEIGHT),
        load_s=bound("load_s", model.load_s, 0.0, MAX_MS / _MS_PER_S),
        warm_s=bound("warm_s", model.warm_s, 0.0, MAX_MS / _MS_PER_S),
    )


def _make_keys(
    tenants: list[_Tenant] | None, bounds: Bounds
) -> dict[str, Workspace] | None:
    """Return workspaces by API key; None if the document has no tenants."""
    if tenants is None:
        return None
    keys: dict[str, Workspace] = {}
    for tenant in tenants:
        priority = tenant.priority
        if priority is not None:
            place = f"tenants[{tenant.name}].priority"
            priority = bounds.bound(place, priority, 0, MAX_COUNT)
        workspace = Workspace(name=tenant.name, priority=priority)
        keys.update(dict.fromkeys(tenant.api_keys, workspace))
    return keys

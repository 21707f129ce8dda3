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
from chervilrock.platform.amounts import read_amount

TOPIC = "keyed.op"
KEY = "config"
EVACUATION_PREFIX = "evacuate/"

_MS_PER_S = 1000.0
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
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_DECODER = Decoder(_Document)
_EVACUATION_DECODER = Decoder(dict[str, msgspec.Raw])


def decode_configuration(document: bytes) -> Result[SiteConfiguration, str]:
    """Return the configuration, or a description of the first error."""
    try:
        decoded = _DECODER.decode(document)
        routes = tuple(_make_route(route) for route in decoded.routes)
    except (UnreadableError, ValueError) as error:
        return Failure(str(error))
    ignored: list[IgnoredField] = []
    services = {
        service.name: _make_service(service, ignored)
        for service in decoded.services
    }
    return Success(
        SiteConfiguration(
            revision=decoded.version,
            routes=routes,
            services=services,
            keys=_make_keys(decoded.tenants),
            limits=Limits(idle_s=decoded.limits.idle_timeout_ms / _MS_PER_S),
            ignored=tuple(ignored),
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


def _make_route(route: _Route) -> Route:
    """Translate a route.

    Raises:
      ValueError: the route names no service, or its kind is unknown.
    """
    kind = _ROUTE_KINDS.get(route.route_type)
    if kind is None:
        raise ValueError(
            f"route {route.name}: unknown kind {route.route_type!r}"
        )
    targets = route.backends or [_Target(service=route.service)]
    services = tuple(
        WeightedService(service=target.service, weight=target.weight)
        for target in targets
        if target.service
    )
    if not services:
        raise ValueError(f"route {route.name}: names no service")
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=kind,
        services=services,
        timeout_s=route.timeout_ms / _MS_PER_S,
        target_s=(route.slo_target_ms or route.timeout_ms) / _MS_PER_S,
        longest_pause_s=route.gap_aim_ms / _MS_PER_S,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_public=route.auth_exempt,
        is_resumable=kind is RouteKind.STREAM and route.stream_resume,
    )


def _make_service(service: _Service, ignored: list[IgnoredField]) -> Service:
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
        engine=None if engine is None else _make_engine(engine),
        status_path=service.health_path,
        warmup_s=read("warmup_s", service.warmup_s),
        warmup_rate=read("warmup_per_s", service.warmup_per_s),
    )


def _make_engine(engine: _Engine) -> EngineProfile:
    return EngineProfile(
        slots=engine.slots,
        step_s=engine.step_ms / _MS_PER_S,
        per_request_s=engine.per_seq_ms / _MS_PER_S,
        steps_per_pass=engine.stride,
        prompt_tokens_per_s=engine.read_per_s,
        prompt_chunk=engine.chunk,
        usual_prompt_tokens=engine.usual.prompt,
        form_s=engine.form_ms / _MS_PER_S,
        loads_per_s=engine.loads_per_s,
        loads_at_once=engine.loads_at_once,
        staged_models=engine.keeps,
        models={model.name: _make_model(model) for model in engine.models},
    )


def _make_model(model: _Model) -> ModelShape:
    return ModelShape(
        name=model.name,
        size=model.size,
        time_factor=model.pace,
        share=model.share,
        load_s=model.load_s,
        warm_s=model.warm_s,
    )


def _make_keys(tenants: list[_Tenant] | None) -> dict[str, Workspace] | None:
    """Return workspaces by API key; None if the document has no tenants."""
    if tenants is None:
        return None
    keys: dict[str, Workspace] = {}
    for tenant in tenants:
        workspace = Workspace(name=tenant.name, priority=tenant.priority)
        keys.update(dict.fromkeys(tenant.api_keys, workspace))
    return keys

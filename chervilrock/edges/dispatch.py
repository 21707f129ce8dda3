"""Validates requests of callers and prepares the runs that answer them."""

from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import unquote

from returns.result import Failure, Result, Success

from chervilrock.decisions.routing.base import hash_prefix_blocks, RequestView
from chervilrock.edges import bodies, enginecalls
from chervilrock.edges.bodies import CompletionCall
from chervilrock.edges.completions import CompletionRun
from chervilrock.edges.context import RequestContext
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.parsing import CallerHeaders, format_findings
from chervilrock.edges.path import RequestPath
from chervilrock.edges.runs import BackendRun
from chervilrock.edges.servicecalls import ServiceCall
from chervilrock.edges.services import ServiceRun
from chervilrock.edges.sinks import AnswerSink, Headers

CHARS_PER_TOKEN = 4
SERVICES_PREFIX = "/services/"

_SERVICE_COST_TOKENS = 1


class CallerRequest(NamedTuple):
    """A request as a caller sent it.

    Attributes:
      request_id: identifier assigned by this node.
      method: HTTP method.
      target: path and query.
      headers: all headers if the request calls a plain service or has an
        idempotency key, else empty.
      parsed: values of the headers that this system interprets.
      body: body.
      deadline: time in seconds up to which the caller waits.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    parsed: CallerHeaders
    body: bytes
    deadline: float


class PreparedRequest(NamedTuple):
    """A validated request that is ready to run.

    Attributes:
      view: the request as routing and admission see it.
      make_run: creates the run that writes the answer to a sink.
    """

    view: RequestView
    make_run: Callable[[AnswerSink], BackendRun]


def prepare(
    path: RequestPath, request: CallerRequest
) -> Result[PreparedRequest, CallerError]:
    """Validates a request and determines what it asks for.

    Args:
      path: request path of the node.
      request: the request.

    Returns:
      The request ready to run, or the error that explains why it cannot run.
    """
    if request.target.startswith(SERVICES_PREFIX):
        return _prepare_service(path, request)
    if request.method == "POST" and request.target == enginecalls.CHAT_PATH:
        return _prepare_completion(path, request, chat=True)
    if request.method == "POST" and request.target == enginecalls.TEXT_PATH:
        return _prepare_completion(path, request, chat=False)
    message = "there is nothing to run at this path"
    return Failure(CallerError(ErrorCode.NOT_FOUND, message))


def _prepare_completion(
    path: RequestPath, request: CallerRequest, *, chat: bool
) -> Result[PreparedRequest, CallerError]:
    parsed = bodies.parse_completion(request.body, chat=chat)
    if isinstance(parsed, Failure):
        message = format_findings(parsed.failure())
        return Failure(CallerError(ErrorCode.BAD_REQUEST, message))
    call = parsed.unwrap()
    error = check_model(path.context, call)
    if error is not None:
        return Failure(error)
    view = make_completion_view(request, call)

    def make_run(sink: AnswerSink) -> BackendRun:
        return CompletionRun(
            path=path,
            view=view,
            call=call,
            engine_path=request.target,
            sink=sink,
        )

    return Success(PreparedRequest(view, make_run))


def check_model(
    context: RequestContext, call: CompletionCall
) -> CallerError | None:
    """Returns an error if the model or adapter does not exist, else None."""
    for spec in context.models():
        if spec["name"] != call.model:
            continue
        if not call.adapter or call.adapter in spec.get("adapters", ()):
            return None
    message = f"there is no model {call.model}"
    if call.adapter:
        message += f" with an adapter {call.adapter}"
    return CallerError(ErrorCode.MODEL_NOT_FOUND, message)


def make_completion_view(
    request: CallerRequest, call: CompletionCall
) -> RequestView:
    """Returns a completion as routing and admission see it."""
    parsed = request.parsed
    return RequestView(
        request_id=request.request_id,
        workspace=parsed.workspace,
        model=call.model,
        adapter=call.adapter,
        prefix_blocks=hash_prefix_blocks(call.prompt),
        prompt_tokens=len(call.prompt) // CHARS_PER_TOKEN + 1,
        max_tokens=call.max_tokens,
        priority=parsed.priority,
        idempotent=parsed.idempotent is not False and not parsed.key,
        deadline=request.deadline,
    )


def _prepare_service(
    path: RequestPath, request: CallerRequest
) -> Result[PreparedRequest, CallerError]:
    name, target = split_service_target(request.target)
    spec = path.context.service_spec(name)
    if spec is None:
        message = f"there is no plain service {name!r}"
        return Failure(CallerError(ErrorCode.NOT_FOUND, message))
    if request.method in ("GET", "HEAD") and request.body:
        message = f"body: must be empty for {request.method}"
        return Failure(CallerError(ErrorCode.BAD_REQUEST, message))
    methods = spec.get("idempotent_methods", ())
    view = make_service_view(request, name, request.method in methods)
    call = ServiceCall(
        method=request.method,
        target=target,
        headers=request.headers,
        body=request.body,
    )

    def make_run(sink: AnswerSink) -> BackendRun:
        return ServiceRun(path=path, view=view, call=call, sink=sink)

    return Success(PreparedRequest(view, make_run))


def split_service_target(target: str) -> tuple[str, str]:
    """Splits the target of a call to a plain service.

    Args:
      target: `/services/NAME/PATH?QUERY`.

    Returns:
      The name of the service, and the target to request from its backend
      server.
    """
    path, separator, query = target.removeprefix(SERVICES_PREFIX).partition("?")
    name, _, rest = path.partition("/")
    return unquote(name), f"/{rest}{separator}{query}"


def make_service_view(
    request: CallerRequest, name: str, idempotent_method: bool
) -> RequestView:
    """Returns a call to a plain service as routing and admission see it."""
    parsed = request.parsed
    may_retry = idempotent_method and parsed.idempotent is not False
    return RequestView(
        request_id=request.request_id,
        workspace=parsed.workspace,
        model=name,
        adapter="",
        prefix_blocks=(),
        prompt_tokens=_SERVICE_COST_TOKENS,
        max_tokens=_SERVICE_COST_TOKENS,
        priority=parsed.priority,
        idempotent=may_retry and not parsed.key,
        deadline=request.deadline,
    )

"""Routes for callers and for tickets that nodes forward to each other."""

from typing import Any

from returns.result import Failure
from tornado import routing, web

from chervilrock.decisions.requests.tickets import parse_ticket
from chervilrock.edges import detachedruns, dispatch
from chervilrock.edges.context import RequestContext
from chervilrock.edges.dispatch import CallerRequest, PreparedRequest
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.handlers import (
    BodyHandler,
    CallerHandler,
    DRAIN_TIMEOUT_S,
    NotFoundHandler,
)
from chervilrock.edges.path import RequestPath
from chervilrock.edges.runs import BackendRun
from chervilrock.edges.sinks import CallerSink, Headers
from chervilrock.edges.state import BodyLimits, make_state
from chervilrock.edges.tickets import METHOD_HEADER, TARGET_HEADER
from chervilrock.generated.interfaces import Outcome

MAX_DATA_CENTRE_CHARS = 200
SERVICE_METHODS = "GET, HEAD, POST, DELETE, PATCH, PUT, OPTIONS"


def make_caller_routes(
    context: RequestContext,
    *,
    path: RequestPath | None = None,
    limits: BodyLimits | None = None,
) -> list[routing.Rule]:
    """Creates the routes for callers and for forwarded tickets.

    Args:
      context: state of the node.
      path: request path of the node; by default a new one is created.
      limits: limits for request bodies.
    """
    state = make_state(path or RequestPath(context=context), limits)
    options = {"state": state}
    return [
        web.url(r"/v1/addresses", AddressHandler, options),
        web.url(r"/v1/models", ModelHandler, options),
        web.url(r"/v1/tickets", TicketHandler, options),
        web.url(r"/v1/chat/completions", CompletionHandler, options),
        web.url(r"/v1/completions", CompletionHandler, options),
        web.url(r"/services/[^/]+(?:/.*)?", ServiceHandler, options),
        web.url(r"/peer/tickets/([^/]+)", PeerTicketHandler, options),
    ]


def make_not_found_options(path: RequestPath) -> dict[str, Any]:
    """Returns application settings that give every error the common format."""
    return {
        "default_handler_class": NotFoundHandler,
        "default_handler_args": {"state": make_state(path)},
    }


class AddressHandler(CallerHandler):
    """Returns the addresses that callers should use."""

    def get(self) -> None:
        """Answers with the addresses for a data centre."""
        data_centre = self.get_query_argument("data_centre", "")
        if len(data_centre) > MAX_DATA_CENTRE_CHARS:
            message = "data_centre: is too long"
            self.reject(CallerError(ErrorCode.BAD_REQUEST, message))
            return
        context = self.path.context
        answer = context.addresses(data_centre, context.now())
        self.set_header("Cache-Control", f"max-age={int(answer['ttl_s'])}")
        self.write_json(answer)

    head = get


class ModelHandler(CallerHandler):
    """Lists the models and adapters."""

    def get(self) -> None:
        """Answers in the format that common model clients expect."""
        entries = [
            {"id": name, "object": "model", "created": 0, "owned_by": owner}
            for name, owner in list_models(self.path.context)
        ]
        self.write_json({"object": "list", "data": entries})

    head = get


def list_models(context: RequestContext) -> list[tuple[str, str]]:
    """Returns the model and adapter names for callers, each with its model."""
    names = []
    for spec in context.models():
        names.append((spec["name"], spec["name"]))
        for adapter in spec.get("adapters", ()):
            names.append((f"{spec['name']}:{adapter}", spec["name"]))
    return names


class TicketHandler(CallerHandler):
    """Issues tickets."""

    allowed_methods = "POST, OPTIONS"

    def post(self) -> None:
        """Answers with a new ticket."""
        if self.path.context.leaving:
            self.reject(detachedruns.LEAVING)
            return
        self.write_json(self.state.tickets.mint())


class RunHandler(BodyHandler):
    """Answers a request by running it on a backend server."""

    forwards_headers = True
    _sink: CallerSink | None = None
    _run: BackendRun | None = None

    def on_connection_close(self) -> None:
        """See base class."""
        super().on_connection_close()
        if self._sink is not None:
            self._sink.close()
        if self._run is not None:
            self._run.cancel()

    def get_outcome(self) -> Outcome:
        """See base class."""
        return Outcome.NOT_RUN if self._sink is None else Outcome.UNKNOWN

    async def answer(self, method: str, target: str) -> None:
        """Runs the request and forwards its answer.

        Args:
          method: HTTP method.
          target: path and query.
        """
        body = self.collect_body()
        if body is None:
            return
        request = CallerRequest(
            request_id=self.request_id,
            method=method,
            target=target,
            headers=self._copy_headers(),
            parsed=self.headers,
            body=body,
            deadline=self.compute_deadline(),
        )
        prepared = dispatch.prepare(self.path, request)
        if isinstance(prepared, Failure):
            self.reject(prepared.failure())
            return
        self._sink = self.make_sink()
        with self.path.track_request():
            await self._answer_prepared(request, prepared.unwrap(), self._sink)
            await self._sink.drain(DRAIN_TIMEOUT_S)

    def _copy_headers(self) -> Headers:
        """Returns the headers if they may be forwarded to another server."""
        if self.forwards_headers or self.headers.key:
            return tuple(self.request.headers.get_all())
        return ()

    async def _answer_prepared(
        self,
        request: CallerRequest,
        prepared: PreparedRequest,
        sink: CallerSink,
    ) -> None:
        key = request.parsed.key
        ticket = parse_ticket(key)
        if not key:
            self._run = prepared.make_run(sink)
            await self._run.run()
        elif ticket is None:
            await self.state.keys.answer(key, request, prepared, sink)
        elif self.state.tickets.is_own(ticket):
            await self.state.tickets.answer(
                ticket.sequence, request, prepared, sink
            )
        else:
            await self.state.tickets.forward(ticket, request, sink)


class CompletionHandler(RunHandler):
    """Answers a completion or chat request."""

    forwards_headers = False

    async def post(self) -> None:
        """Runs the request and forwards its answer."""
        await self.answer("POST", self.request.path)


class ServiceHandler(RunHandler):
    """Answers a call of a plain service."""

    allowed_methods = SERVICE_METHODS
    forwards_options = True

    async def get(self) -> None:
        """Runs the call and forwards its answer."""
        await self.answer(self.request.method or "", self.request.uri or "")

    head = get
    post = get
    delete = get
    patch = get
    put = get
    options = get  # type: ignore[assignment]


class PeerTicketHandler(RunHandler):
    """Answers a request that another node forwards."""

    async def post(self, text: str) -> None:
        """Runs the request or returns the answer of its earlier run."""
        ticket = parse_ticket(text)
        headers = self.request.headers
        if ticket is None or self.headers.key != text:
            message = "the path and the header Idempotency-Key differ"
            self.reject(CallerError(ErrorCode.BAD_REQUEST, message))
        elif not self.state.tickets.is_own(ticket):
            self.reject(detachedruns.FORGOTTEN)
        else:
            await self.answer(
                headers.get(METHOD_HEADER, ""), headers.get(TARGET_HEADER, "")
            )

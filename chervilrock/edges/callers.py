"""Routes for callers, and those of tickets between nodes."""

from typing import Any

from returns.result import Failure
from tornado import routing, web

from chervilrock.decisions.requests.tickets import parse_ticket
from chervilrock.edges import dispatch, once
from chervilrock.edges.context import RequestContext
from chervilrock.edges.dispatch import CallerRequest, Prepared
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
    """Makes the routes for callers, and those of tickets between nodes.

    Args:
      context: the node.
      path: request path of the node, a new one when missing.
      limits: bounds for the bodies of requests.
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
    """Returns settings of an application so that each error has its form."""
    return {
        "default_handler_class": NotFoundHandler,
        "default_handler_args": {"state": make_state(path)},
    }


class AddressHandler(CallerHandler):
    """Tells callers which addresses to use."""

    def get(self) -> None:
        """Answers with addresses for a data centre."""
        data_centre = self.get_query_argument("data_centre", "")
        if len(data_centre) > MAX_DATA_CENTRE_CHARS:
            message = "data_centre: is too long"
            self.refuse(CallerError(ErrorCode.BAD_REQUEST, message))
            return
        context = self.path.context
        answer = context.addresses(data_centre, context.now())
        self.set_header("Cache-Control", f"max-age={int(answer['ttl_s'])}")
        self.write_json(answer)

    head = get


class ModelHandler(CallerHandler):
    """Lists the models and adapters."""

    def get(self) -> None:
        """Answers in the form of common model clients."""
        entries = [
            {"id": name, "object": "model", "created": 0, "owned_by": owner}
            for name, owner in list_models(self.path.context)
        ]
        self.write_json({"object": "list", "data": entries})

    head = get


def list_models(context: RequestContext) -> list[tuple[str, str]]:
    """Returns the names that callers may use, each with its model."""
    names = []
    for spec in context.models():
        names.append((spec["name"], spec["name"]))
        for adapter in spec.get("adapters", ()):
            names.append((f"{spec['name']}:{adapter}", spec["name"]))
    return names


class TicketHandler(CallerHandler):
    """Mints tickets."""

    allowed = "POST, OPTIONS"

    def post(self) -> None:
        """Answers with a new ticket."""
        if self.path.context.leaving:
            self.refuse(once.LEAVING)
            return
        self.write_json(self.state.tickets.mint())


class RunHandler(BodyHandler):
    """Answers a request that backend servers run."""

    passes_headers = True
    _sink: CallerSink | None = None
    _run: BackendRun | None = None

    def on_connection_close(self) -> None:
        """See base class."""
        super().on_connection_close()
        if self._sink is not None:
            self._sink.close()
        if self._run is not None:
            self._run.leave()

    def get_outcome(self) -> Outcome:
        """See base class."""
        return Outcome.NOT_RUN if self._sink is None else Outcome.UNKNOWN

    async def answer(self, method: str, target: str) -> None:
        """Runs the request and passes its answer on.

        Args:
          method: HTTP method.
          target: path and query.
        """
        body = self.take_body()
        if body is None:
            return
        request = CallerRequest(
            request_id=self.request_id,
            method=method,
            target=target,
            headers=self._copy_headers(),
            parsed=self.headers,
            body=body,
            deadline=self.find_deadline(),
        )
        prepared = dispatch.prepare(self.path, request)
        if isinstance(prepared, Failure):
            self.refuse(prepared.failure())
            return
        self._sink = self.make_sink()
        with self.path.hold():
            await self._answer_prepared(request, prepared.unwrap(), self._sink)
            await self._sink.drain(DRAIN_TIMEOUT_S)

    def _copy_headers(self) -> Headers:
        """Returns the headers if they go on to another server."""
        if self.passes_headers or self.headers.key:
            return tuple(self.request.headers.get_all())
        return ()

    async def _answer_prepared(
        self, request: CallerRequest, prepared: Prepared, sink: CallerSink
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
            await self.state.tickets.pass_on(ticket, request, sink)


class CompletionHandler(RunHandler):
    """Answers a completion or chat request."""

    passes_headers = False

    async def post(self) -> None:
        """Runs the request and passes its answer on."""
        await self.answer("POST", self.request.path)


class ServiceHandler(RunHandler):
    """Answers a call of a plain service."""

    allowed = SERVICE_METHODS
    relays_options = True

    async def get(self) -> None:
        """Runs the call and passes its answer on."""
        await self.answer(self.request.method or "", self.request.uri or "")

    head = get
    post = get
    delete = get
    patch = get
    put = get
    options = get  # type: ignore[assignment]


class PeerTicketHandler(RunHandler):
    """Answers a request that another node passes on."""

    async def post(self, text: str) -> None:
        """Runs the request or answers what became of it."""
        ticket = parse_ticket(text)
        headers = self.request.headers
        if ticket is None or self.headers.key != text:
            message = "the path and the header Idempotency-Key differ"
            self.refuse(CallerError(ErrorCode.BAD_REQUEST, message))
        elif not self.state.tickets.is_own(ticket):
            self.refuse(once.FORGOTTEN)
        else:
            await self.answer(
                headers.get(METHOD_HEADER, ""), headers.get(TARGET_HEADER, "")
            )

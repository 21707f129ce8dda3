"""Routes for callers."""

from returns.result import Failure
from tornado import routing, web

from chervilrock.decisions.routing.base import hash_prefix_blocks, RequestView
from chervilrock.edges import bodies, enginecalls
from chervilrock.edges.bodies import CompletionCall
from chervilrock.edges.completions import CompletionRun
from chervilrock.edges.context import RequestContext
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.handlers import (
    BodyHandler,
    BodyLimits,
    CallerHandler,
    DRAIN_TIMEOUT_S,
    NotFoundHandler,
)
from chervilrock.edges.parsing import format_findings
from chervilrock.edges.path import RequestPath
from chervilrock.generated.interfaces import Outcome

CHARS_PER_TOKEN = 4
MAX_DATA_CENTRE_CHARS = 200


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
    path = path or RequestPath(context=context)
    options = {"path": path}
    bounded = {"path": path, "limits": limits}
    return [
        web.url(r"/v1/addresses", AddressHandler, options),
        web.url(r"/v1/models", ModelHandler, options),
        web.url(r"/v1/chat/completions", ChatHandler, bounded),
        web.url(r"/v1/completions", CompletionHandler, bounded),
    ]


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


class CompletionHandler(BodyHandler):
    """Answers a completion request."""

    chat = False
    engine_path = enginecalls.TEXT_PATH
    _run: CompletionRun | None = None

    async def post(self) -> None:
        """Runs the request and passes its answer on."""
        body = self.take_body()
        if body is None:
            return
        parsed = bodies.parse_completion(body, chat=self.chat)
        if isinstance(parsed, Failure):
            message = format_findings(parsed.failure())
            self.refuse(CallerError(ErrorCode.BAD_REQUEST, message))
            return
        call = parsed.unwrap()
        error = check_model(self.path.context, call)
        if error is not None:
            self.refuse(error)
            return
        await self._run_call(call)

    def on_connection_close(self) -> None:
        """See base class."""
        super().on_connection_close()
        if self._run is not None:
            self._run.leave()

    def get_outcome(self) -> Outcome:
        """See base class."""
        return Outcome.NOT_RUN if self._run is None else Outcome.UNKNOWN

    async def _run_call(self, call: CompletionCall) -> None:
        sink = self.make_sink()
        self._run = CompletionRun(
            path=self.path,
            view=self._make_view(call),
            call=call,
            engine_path=self.engine_path,
            sink=sink,
        )
        await self._run.run()
        await sink.drain(DRAIN_TIMEOUT_S)

    def _make_view(self, call: CompletionCall) -> RequestView:
        headers = self.headers
        return RequestView(
            request_id=self.request_id,
            workspace=headers.workspace,
            model=call.model,
            adapter=call.adapter,
            prefix_blocks=hash_prefix_blocks(call.prompt),
            prompt_tokens=len(call.prompt) // CHARS_PER_TOKEN + 1,
            max_tokens=call.max_tokens,
            priority=headers.priority,
            idempotent=headers.idempotent is not False and not headers.key,
            deadline=self.find_deadline(),
        )


class ChatHandler(CompletionHandler):
    """Answers a chat request."""

    chat = True
    engine_path = enginecalls.CHAT_PATH


def check_model(
    context: RequestContext, call: CompletionCall
) -> CallerError | None:
    """Returns why a model or adapter cannot be used, or None."""
    for spec in context.models():
        if spec["name"] != call.model:
            continue
        if not call.adapter or call.adapter in spec.get("adapters", ()):
            return None
    message = f"there is no model {call.model}"
    if call.adapter:
        message += f" with an adapter {call.adapter}"
    return CallerError(ErrorCode.MODEL_NOT_FOUND, message)


def make_not_found_options(path: RequestPath) -> dict[str, object]:
    """Returns settings of an application so that each error has its form."""
    return {
        "default_handler_class": NotFoundHandler,
        "default_handler_args": {"path": path},
    }

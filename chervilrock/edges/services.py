"""Runs a call to a plain service from admission to its answer."""

from collections.abc import Sequence

from chervilrock.decisions.requests import attempts
from chervilrock.decisions.requests.attempts import Send, SendMode, SendReport
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.decisions.routing.base import Endpoint, RequestView
from chervilrock.edges import servicecalls
from chervilrock.edges.path import RequestPath
from chervilrock.edges.relay import Transfer
from chervilrock.edges.runs import BackendRun, CANCELLED, COMPLETE, RunResult
from chervilrock.edges.servicecalls import ServiceCall, ServiceReceiver
from chervilrock.edges.sinks import AnswerSink
from chervilrock.generated.interfaces import ServiceEntry
from chervilrock.metrics import RetryKind


def make_endpoints(backends: Sequence[ServiceEntry]) -> tuple[Endpoint, ...]:
    """Returns the backend servers of a plain service as endpoints.

    Admission control and routing policies treat a service as a model of the
    same name, and each backend server as a group named by its address.
    """
    return tuple(
        Endpoint(
            group=entry["address"],
            fence=0,
            model=entry["service"],
            version="",
            adapters=(),
            address=entry["address"],
            data_centre=entry["data_centre"],
            size=1,
        )
        for entry in backends
    )


class ServiceRun(BackendRun):
    """Runs a call on one backend server, or on several in turn."""

    def __init__(
        self,
        *,
        path: RequestPath,
        view: RequestView,
        call: ServiceCall,
        sink: AnswerSink,
    ) -> None:
        """Creates a run that has not started.

        Args:
          path: request path of the node.
          view: the request as routing and admission see it; its model is the
            name of the service.
          call: the call.
          sink: receives the answer.
        """
        super().__init__(path=path, view=view, sink=sink)
        self._call = call
        self._started = False

    def count_tokens(self) -> int:
        """See base class."""
        return 0

    def check_transfer(self, transfer: Transfer, now: float) -> None:
        """See base class."""

    def cancel(self) -> None:
        """See base class.

        A call that must not run twice is not aborted while it runs, because
        its caller may query its effect later.
        """
        if self.view.idempotent or self._transfer is None:
            super().cancel()

    async def run_admitted(self) -> RunResult:
        """See base class."""
        decision: attempts.Decision = attempts.TryElsewhere(frozenset())
        while True:
            if isinstance(decision, attempts.Deliver):
                return COMPLETE
            if isinstance(decision, attempts.GiveUp):
                return self._give_up(decision)
            assert isinstance(decision, attempts.TryElsewhere)
            endpoint = self._choose(decision)
            if endpoint is None:
                return self._give_up(self._tracker.give_up())
            if self._tracker.sends:
                self._context.metrics.count_retry(RetryKind.RETRY)
            decision = await self._send(endpoint)
            if self._cancelled:
                return CANCELLED

    def _choose(self, decision: attempts.TryElsewhere) -> Endpoint | None:
        """Chooses the backend server for the next send."""
        now = self._context.now()
        name = self.view.model
        backends = self._context.service_backends(name, now)
        endpoints = make_endpoints(backends)
        policy = self._path.service_policy
        chosen = policy.choose(
            self.view, endpoints, now, exclude=decision.exclude
        )
        if chosen is None and decision.allow_excluded:
            chosen = policy.choose(self.view, endpoints, now)
        return chosen

    async def _send(self, endpoint: Endpoint) -> attempts.Decision:
        """Sends the call once and decides the next step."""
        send = self._tracker.begin(endpoint.group, SendMode.START)
        self._target = endpoint.group
        now = self._context.now()
        receiver = ServiceReceiver(
            method=self._call.method,
            expected=(
                ("x-request-id", self.view.request_id),
                ("x-attempt-id", send.attempt),
            ),
            sink=self._sink,
        )
        transfer = Transfer(
            request=servicecalls.make_request(
                view=self.view,
                call=self._call,
                address=endpoint.address,
                send=send,
                now=now,
            ),
            receiver=receiver,
        )
        policy = self._path.service_policy
        policy.on_sent(self.view, endpoint, now)
        end = receiver.judge(await self._transmit(transfer))
        ok = end is AttemptEnd.COMPLETE
        policy.on_done(self.view, endpoint, self._context.now(), ok, 0)
        self._error_reply = receiver.error_reply
        if ok:
            receiver.finish()
        return self._decide(send, end, receiver.started)

    def _decide(
        self, send: Send, end: AttemptEnd, started: bool
    ) -> attempts.Decision:
        """Decides the next step after a send has ended."""
        now = self._context.now()
        report = SendReport(number=send.number, end=end, position=int(started))
        decision = self._tracker.finish(report, now)
        assert decision is not None
        if not isinstance(decision, attempts.TryElsewhere):
            return decision
        if end is AttemptEnd.NOT_SENT:
            return decision
        if self._context.admission.allow_retry(self.view, now):
            return decision
        return self._tracker.give_up()

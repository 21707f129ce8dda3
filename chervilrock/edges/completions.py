"""Runs a completion request from admission to the end of its answer."""

from chervilrock.decisions.requests import attempts
from chervilrock.decisions.requests.attempts import Send, SendMode, SendReport
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.decisions.requests.transcript import PartialText, Transcript
from chervilrock.decisions.routing.base import Endpoint, RequestView
from chervilrock.edges import enginecalls, progress
from chervilrock.edges.bodies import CompletionCall
from chervilrock.edges.enginecalls import (
    EngineReceiver,
    StreamReceiver,
    WholeReceiver,
)
from chervilrock.edges.observer import SendObserver
from chervilrock.edges.path import RequestPath
from chervilrock.edges.relay import Transfer
from chervilrock.edges.runs import BackendRun, CANCELLED, COMPLETE, RunResult
from chervilrock.edges.sinks import AnswerHead, AnswerSink

STREAM_HEAD = AnswerHead(
    status=200,
    headers=(
        ("Content-Type", "text/event-stream"),
        ("Cache-Control", "no-cache"),
    ),
    events=True,
)
WHOLE_HEAD = AnswerHead(
    status=200, headers=(("Content-Type", "application/json"),), events=False
)

_NEW_RUNS = (attempts.TryElsewhere, attempts.ContinueElsewhere)
_MAYBE_RUNNING_ENDS = frozenset(
    {AttemptEnd.LOST, AttemptEnd.BROKEN, AttemptEnd.FOREIGN}
)


class CompletionRun(BackendRun):
    """Runs a completion on one replica group, or on several in turn."""

    def __init__(
        self,
        *,
        path: RequestPath,
        view: RequestView,
        call: CompletionCall,
        engine_path: str,
        sink: AnswerSink,
    ) -> None:
        """Creates a run that has not started.

        Args:
          path: request path of the node.
          view: the request as routing and admission see it.
          call: parsed body of the request.
          engine_path: path of the request on the engine.
          sink: receives the answer.
        """
        super().__init__(path=path, view=view, sink=sink)
        self._call = call
        self._engine_path = engine_path
        self._transcript = (
            Transcript() if call.stream and view.idempotent else None
        )
        self._observer = SendObserver(context=path.context, view=view)
        self._endpoint: Endpoint | None = None
        self._receiver: EngineReceiver | None = None
        self._position = 0
        self._send_start = 0
        self._progress = progress.Progress()

    def count_tokens(self) -> int:
        """See base class."""
        receiver = self._receiver
        if isinstance(receiver, WholeReceiver):
            return receiver.tokens
        done = isinstance(receiver, StreamReceiver) and receiver.positions.done
        return self._position - int(done)

    def check_transfer(self, transfer: Transfer, now: float) -> None:
        """See base class."""
        if self._endpoint is not None and not transfer.was_paused:
            tokens = self._position - self._send_start
            self._observer.record_progress(self._endpoint, tokens, now)
        stall_s = self._progress.measure_stall_s(
            self._position, transfer.paused, now
        )
        if self._is_stalled(stall_s):
            transfer.abandon()

    def _is_stalled(self, stall_s: float) -> bool:
        """Returns whether a send without progress for this time is given up.

        Args:
          stall_s: time in seconds without progress.
        """
        receiver = self._receiver
        if isinstance(receiver, StreamReceiver):
            done = receiver.positions.done
            if progress.is_broken(self._position, done, stall_s):
                return True
        if stall_s <= progress.GROUP_LOST_TIMEOUT_S or self._endpoint is None:
            return False
        return not self._path.keeps_attempts(self._endpoint)

    async def run_admitted(self) -> RunResult:
        """See base class."""
        decision: attempts.Decision = attempts.TryElsewhere(frozenset())
        mode = SendMode.START
        while True:
            if isinstance(decision, attempts.Deliver):
                return COMPLETE
            if isinstance(decision, attempts.GiveUp):
                return self._give_up(decision)
            endpoint = self._choose(decision)
            if endpoint is None:
                return self._give_up(self._tracker.give_up())
            mode = choose_mode(decision)
            if self._tracker.sends:
                self._observer.record_retry(
                    mode, endpoint.group, self._position
                )
            send = self._tracker.begin(endpoint.group, mode)
            end = await self._send(endpoint, send)
            if self._cancelled:
                self._cancel(endpoint, send, end)
                return CANCELLED
            decision = self._decide(endpoint, send, end)

    def _choose(self, decision: attempts.Decision) -> Endpoint | None:
        """Chooses the group for the next send."""
        if isinstance(decision, attempts.Resume):
            return self._endpoint
        assert isinstance(decision, _NEW_RUNS)
        now = self._context.now()
        view = self.view
        endpoints = self._context.endpoints(view.model, view.adapter, now)
        if self._position > 0 and self._endpoint is not None:
            # The rest of an answer must come from the same weights.
            endpoints = tuple(
                endpoint
                for endpoint in endpoints
                if endpoint.version == self._endpoint.version
            )
        policy = self._context.policy
        reserved = self._context.admission.reserved_groups(view, now)
        chosen = policy.choose(
            view, endpoints, now, exclude=decision.exclude | reserved
        )
        if chosen is None and reserved:
            chosen = policy.choose(
                view, endpoints, now, exclude=decision.exclude
            )
        if chosen is None and decision.allow_excluded:
            chosen = policy.choose(view, endpoints, now)
        return chosen

    async def _send(self, endpoint: Endpoint, send: Send) -> AttemptEnd:
        """Sends the request once and waits for the end of its answer."""
        now = self._context.now()
        self._endpoint = endpoint
        self._send_start = self._position
        self._target = endpoint.group
        self._progress.restart(now)
        receiver = self._make_receiver(endpoint, send)
        transfer = Transfer(
            request=enginecalls.make_request(
                view=self.view,
                endpoint=endpoint,
                priority=self._context.admission.engine_priority(
                    self.view, now
                ),
                send=send,
                path=self._engine_path,
                body=self._call.body,
                partial_text=self._read_partial_text(send),
                now=now,
            ),
            receiver=receiver,
        )
        self._receiver = receiver
        self._observer.record_sent(endpoint, now)
        end = receiver.judge(await self._transmit(transfer))
        self._error_reply = receiver.error_reply
        tokens = 0 if transfer.was_paused else self._position - self._send_start
        self._observer.record_end(endpoint, end, self._error_reply, tokens)
        return end

    def _make_receiver(self, endpoint: Endpoint, send: Send) -> EngineReceiver:
        if self._call.stream:
            return StreamReceiver(
                view=self.view,
                fence=endpoint.fence,
                send=send,
                deliver=self._deliver,
                stop=self._stop,
            )
        return WholeReceiver(
            view=self.view, fence=endpoint.fence, send=send, stop=self._stop
        )

    def _read_partial_text(self, send: Send) -> str | None:
        if send.mode is SendMode.START:
            return None
        partial = self._read_partial()
        return None if partial is None else partial.text

    def _read_partial(self) -> PartialText | None:
        return None if self._transcript is None else self._transcript.read()

    def _stop(self) -> None:
        """See base class."""
        if self._transfer is not None:
            self._transfer.abandon()

    def _deliver(self, events: bytes) -> None:
        """Writes complete events to the sink; called from within libcurl."""
        if not self._sink.started:
            self._sink.start(STREAM_HEAD)
        if not self._observer.answered:
            assert self._endpoint is not None
            self._observer.record_first_token(self._endpoint)
        receiver = self._receiver
        assert isinstance(receiver, StreamReceiver)
        self._position = receiver.positions.position
        if self._transcript is not None:
            self._transcript.add(events)
        self._sink.write(events)

    def _decide(
        self, endpoint: Endpoint, send: Send, end: AttemptEnd
    ) -> attempts.Decision:
        """Decides the next step after a send has ended."""
        if end is AttemptEnd.COMPLETE:
            self._finish_answer()
            return attempts.Deliver()
        self._observer.record_broken(endpoint, end, self._position)
        partial = self._read_partial() if self._position > 0 else None
        if partial is not None and self._finish_stream(partial):
            return attempts.Deliver()
        report = SendReport(
            number=send.number,
            end=end,
            position=self._position,
            target_has_attempt=self._path.keeps_attempts(endpoint),
            continuable=partial is not None,
        )
        decision = self._tracker.finish(report, self._context.now())
        assert decision is not None
        if isinstance(decision, attempts.Resume):
            return decision
        self._cancel(endpoint, send, end)
        if isinstance(decision, _NEW_RUNS):
            may_retry = self._acquire_retry(end)
            moves = self._position > 0 or not report.target_has_attempt
            if not may_retry and not moves:
                return self._tracker.give_up()
        return decision

    def _acquire_retry(self, end: AttemptEnd) -> bool:
        """Returns whether the retry budget allows another send.

        A send that never left the node does not count, because it puts no load
        on a backend server. The budget counts all other retries. The caller of
        this method ignores a denial for a retry that only moves load from a
        lost group to another one, such as the rest of a stream.
        """
        if end is AttemptEnd.NOT_SENT:
            return True
        now = self._context.now()
        return self._context.admission.allow_retry(self.view, now)

    def _finish_answer(self) -> None:
        if isinstance(self._receiver, WholeReceiver):
            self._sink.answer(WHOLE_HEAD, self._receiver.body)
        else:
            self._sink.finish()

    def _finish_stream(self, partial: PartialText) -> bool:
        """Completes a broken stream that lacks only its last event.

        Returns:
          Whether the stream is complete now.
        """
        if not partial.finished or self._call.wants_usage:
            return False
        number = self._position + 1
        event = f"id: {self.view.request_id}/{number}\ndata: [DONE]\n\n"
        self._sink.write(event.encode())
        self._sink.finish()
        return True

    def _cancel(self, endpoint: Endpoint, send: Send, end: AttemptEnd) -> None:
        """Cancels an attempt that may still run on its engine."""
        if end in _MAYBE_RUNNING_ENDS:
            self._path.cancel_attempt(endpoint.address, send.attempt)


def choose_mode(decision: attempts.Decision) -> SendMode:
    """Returns the mode of the next send."""
    if isinstance(decision, attempts.Resume):
        return SendMode.RESUME
    if isinstance(decision, attempts.ContinueElsewhere):
        return SendMode.CONTINUE
    return SendMode.START

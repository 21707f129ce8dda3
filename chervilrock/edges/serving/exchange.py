"""Handles a request of a caller, from its route to the end of the answer."""

import asyncio
from typing import Any, NamedTuple

from chervilrock.clients.curlpool import CurlPool
from chervilrock.decisions.serving.admission.attempts import (
    decide_next,
    NextStep,
    Progress,
    SendOutcome,
)
from chervilrock.decisions.serving.admission.routes import (
    Admission,
    choose_service,
    Denial,
)
from chervilrock.decisions.serving.admission.suspects import Suspect
from chervilrock.decisions.serving.admission.waiting import (
    START_RETRY_AFTER_S,
)
from chervilrock.decisions.serving.groups.stalls import StallDetector
from chervilrock.decisions.serving.messages import AnswerFacts, ForwardedFields
from chervilrock.decisions.serving.nodes.detours import find_retry_after
from chervilrock.decisions.serving.nodes.reachability import (
    PROBE_TIMEOUT_S,
    ROUNDS_TO_CUT,
)
from chervilrock.decisions.serving.view import GroupEndpoint
from chervilrock.edges.heads import Head
from chervilrock.edges.relay import (
    BackendRequest,
    Transfer,
    TransferEnd,
)
from chervilrock.edges.serving import detours, exchangelog
from chervilrock.edges.serving.answer import ExchangeAnswer
from chervilrock.edges.serving.backendrequests import (
    find_urgency,
    make_backend_request,
    MIN_REMAINING_S,
)
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.connection import (
    AnswerSource,
    CallerConnection,
    CutCause,
    ENDED_REASON,
    HeldBody,
)
from chervilrock.edges.serving.endpointhealth import (
    EndedSend,
    record_ended_send,
)
from chervilrock.edges.serving.receiver import AnswerReceiver
from chervilrock.edges.serving.retryreservation import RetryReservation
from chervilrock.edges.serving.slots import (
    Endpoint,
    SlotChoice,
    SlotSearch,
    STOPPING_REASON,
)
from chervilrock.edges.serving.suspectcheck import SuspectCheck
from chervilrock.serving_metrics import ServingMetrics
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.poisondetector import PoisonDetector
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue

WITHHELD_RETRY_AFTER_S = 300.0
"""Time after which a caller may retry a request that is withheld: hardly any is
released sooner, and it is rejected at once until then."""

PROBES_WAIT_S = ROUNDS_TO_CUT * PROBE_TIMEOUT_S + 0.15
"""Longest time for which a request waits until it is known whether this node
reaches any server."""

POLL_INTERVAL_S = 0.01
"""Time between two checks of a condition that nothing announces."""

SILENT_SEND_S = 1.0
"""Time without a byte of the answer after which a node that is cut off ends a
send that it made before."""

_UNANSWERED = (SendOutcome.LOST, SendOutcome.STALLED)

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class Context(NamedTuple):
    """Objects that all requests of a node share."""

    state: ServingState
    waitqueue: WaitQueue
    pool: CurlPool
    metrics: ServingMetrics
    poisondetector: PoisonDetector


class Exchange(AnswerSource):
    """Finds a slot for a request, sends it to a server and answers the caller.

    Attributes:
      request_id: identifier of the request.
    """

    def __init__(
        self,
        *,
        context: Context,
        request: CallerRequest,
        body: HeldBody,
        connection: CallerConnection,
    ) -> None:
        """Create an exchange that has not started.

        Args:
          context: objects that all requests of the node share.
          request: complete request.
          body: counts the body of the request.
          connection: connection for the answer.
        """
        self._body = body
        self._context = context
        self._state = context.state
        self._request = request
        self._connection = connection
        connection.source = self
        self._answer = ExchangeAnswer(connection=connection)
        self.request_id = request.facts.request_id
        self._expires = request.arrived
        self._last_event = request.facts.last_event
        self._earlier_sends = detours.read_sends(request)
        sends = self._earlier_sends or 0
        self._progress = Progress(sends=sends, may_have_run=sends > 0)
        self._progress_at = request.arrived
        self._transfer: Transfer | None = None
        self._detector: StallDetector | None = None
        self._interrupted: asyncio.Future[SendOutcome] | None = None
        self._is_caller_gone = False
        self._is_shut_down = False
        self._sent_at = request.arrived
        self._first_event: float | None = None
        self._check = SuspectCheck(
            state=context.state,
            poisondetector=context.poisondetector,
            request=request,
        )
        self._search = SlotSearch(
            state=context.state,
            waitqueue=context.waitqueue,
            request=request,
            connection=connection,
            check=self._check,
        )
        self._detour = detours.Detour(state=context.state, request=request)
        self._retry_reservation = RetryReservation(state=context.state)
        self._admission: Admission | None = None
        self._service = ""

    async def run(self) -> None:
        """Answer the request; return when the answer is complete."""
        routes = self._state.routes
        if routes is None:
            self._reject(
                UNAVAILABLE, "no configuration yet", START_RETRY_AFTER_S
            )
            return
        self._state.has_traffic = True
        admitted = routes.admit(
            self._request.host,
            self._request.target,
            self._request.facts.key,
        )
        if isinstance(admitted, Denial):
            self._reject(admitted.value, admitted.name.lower(), None)
            return
        self._admission = admitted
        self._check.admit(admitted.workspace)
        self._expires = self._find_expiry(admitted)
        self._service = choose_service(admitted.route, self._state.generator)
        self._search.admit(admitted, self._service, self._expires)
        self._retry_reservation.admit(
            self._service,
            self._request.arrived,
            is_passed_on=self._earlier_sends is not None,
        )
        try:
            await self._serve(admitted)
        finally:
            self._search.release()
            self._retry_reservation.release()

    def cancel(self) -> None:
        """Cancel the exchange after the caller has disconnected."""
        self._is_caller_gone = True
        self._search.is_cancelled = True
        self._connection.close()
        self._interrupt(SendOutcome.LOST)

    def pause(self) -> None:
        """See base class.

        A paused stream says nothing about the progress of its group.
        """
        if self._transfer is not None:
            self._transfer.pause()
        if self._detector is not None:
            self._detector.record_end(self.request_id)

    def resume(self) -> None:
        """See base class."""
        self._progress_at = read_clock()
        if self._detector is not None:
            self._detector.record_sent(self.request_id, read_clock())
        if self._transfer is not None:
            self._transfer.resume()

    def end(self) -> None:
        """See base class."""
        self._search.is_cancelled = True
        self._interrupt(SendOutcome.LOST)

    def end_at_shutdown(self) -> None:
        """Answer now that the process exits, unless an answer has begun."""
        if self._connection.has_begun or self._connection.is_done:
            return
        transfer = self._transfer
        # An abandoned transfer is not sent any more.
        self._search.is_cancelled = True
        self._interrupt(SendOutcome.LOST)
        if transfer is not None and transfer.sent:
            self._progress = self._progress._replace(may_have_run=True)
        self._is_shut_down = True
        self._reject_unless_run(
            STOPPING_REASON, self._search.find_stop_retry_after(read_clock())
        )

    def record_exit(self) -> None:
        """Record that the process exits before the answer is complete."""
        self._connection.record_cut(CutCause.EXIT)

    def close(self) -> None:
        """Let go of the answer after `run`, which may still be unsent."""
        self._answer.discard()
        self._connection.release_source()

    def move_away(self, now: float) -> bool:
        """Move the stream away from a stalled group if it may be resumed.

        Returns:
          Whether the stream continues at another group.
        """
        admission = self._admission
        if admission is None or self._interrupted is None:
            return False
        has_alternative = (
            self._state.reachability.is_cut_off
            or self._search.has_alternative(now)
        )
        if not self._can_resume(admission, now) or not has_alternative:
            return False
        if not self._retry_reservation.reserve():
            return False
        self._interrupt(SendOutcome.STALLED)
        return True

    def _can_resume(self, admission: Admission, now: float) -> bool:
        """Return whether the stream may be sent again if its send ends now."""
        route = admission.route
        has_begun = self._connection.has_begun
        transfer = self._transfer
        is_excused = (
            has_begun
            and transfer is not None
            and transfer.head is None
            and self._state.reachability.is_cut_off
        )
        attempts = self._progress.count_attempts(has_begun=has_begun)
        if not is_excused:
            attempts += 1
        return (
            route.is_resumable
            and attempts < route.max_attempts
            and now <= self._search.find_latest_send(now)
        )

    def end_silent_send(self, now: float) -> None:
        """End a send to a server that is silent; this node is cut off."""
        transfer = self._transfer
        admission = self._admission
        is_direct = self._search.slot is not None
        if transfer is None or not is_direct or transfer.paused:
            return
        if self._connection.has_begun and not (
            admission and self._can_resume(admission, now)
        ):
            # The server may go on when the node is not cut off any more.
            return
        if now - self._progress_at >= SILENT_SEND_S:
            self._interrupt(
                SendOutcome.LOST if transfer.sent else SendOutcome.NOT_RUN
            )

    def _interrupt(self, end: SendOutcome) -> None:
        """End the present send with an outcome."""
        interrupted = self._interrupted
        if interrupted is not None and not interrupted.done():
            interrupted.set_result(end)
        if self._transfer is not None:
            self._transfer.abandon()

    def _find_expiry(self, admission: Admission) -> float:
        """Return the latest time at which the caller gets an answer."""
        limit = admission.route.timeout_s
        deadline = self._request.facts.deadline_s
        if deadline is not None:
            limit = min(limit, deadline)
        return self._request.arrived + limit

    async def _serve(self, admission: Admission) -> None:
        """Send the request until it is answered or abandoned."""
        await self._check.wait_for_verdict(self._expires)
        while True:
            sends = self._progress.sends
            is_direct = not self._state.reachability.is_cut_off
            if not is_direct:
                result = await self._send_through_node(admission)
            elif await self._find_slot(admission):
                result = await self._send(admission)
            else:
                return
            if result is None:
                return
            end, status = result
            if end is not SendOutcome.COMPLETE:
                # The caller gets the events that it has not read yet before
                # the stream is resumed or aborted.
                await self._connection.wait_until_flowing(
                    self._expires - read_clock()
                )
                await self._wait_for_probes()
                is_sent = self._progress.sends > sends
                if is_direct and is_sent and end in _UNANSWERED and not status:
                    self._excuse_send()
            if not await self._should_continue(admission, end, status):
                return
            await self._check.wait_for_verdict(self._expires)

    def _excuse_send(self) -> None:
        """Count no attempt if the last send failed since this node is cut off.

        The servers that got the request cannot be reached any more.
        """
        if self._state.reachability.is_cut_off:
            progress = self._progress
            self._progress = progress._replace(uncounted=progress.uncounted + 1)

    async def _wait_for_probes(self) -> None:
        """Wait while it is unknown whether this node reaches any server."""
        reachability = self._state.reachability
        now = read_clock()
        until = min(self._expires, now + PROBES_WAIT_S)
        while now < until and reachability.is_in_doubt(now):
            await asyncio.sleep(POLL_INTERVAL_S)
            now = read_clock()

    async def _should_continue(
        self, admission: Admission, end: SendOutcome, status: int
    ) -> bool:
        """Return whether to send again; otherwise the caller has an answer."""
        route = admission.route
        next_step = decide_next(
            end,
            status=status,
            progress=self._progress,
            may_retry=route.may_retry,
            max_attempts=route.max_attempts,
            has_begun=self._connection.has_begun,
        )
        may_retry = next_step is NextStep.RETRY and await self._reserve_retry()
        if self._has_ended(status):
            return False
        if read_clock() >= self._expires:
            self._fail(
                GATEWAY_TIMEOUT, "the time limit was reached", CutCause.LIMIT
            )
            return False
        if next_step is NextStep.FINISH:
            if end is SendOutcome.COMPLETE:
                self._check.record_completion(self._sent_at)
            self._finish(status, end)
            return False
        if next_step is NextStep.RETRY:
            if may_retry:
                self._record_retry(end)
                return True
            self._context.metrics.count_rejected_retry(self._service)
            exchangelog.log_rejected_retry(self._describe_retry(end))
        self._give_up(end)
        return False

    async def _reserve_retry(self) -> bool:
        """Reserve a retry; an interrupted stream waits until it is allowed.

        Returns:
          Whether the request may be sent again.
        """
        # If no byte was sent, the next send is the first one.
        while self._progress.sends and not self._retry_reservation.reserve():
            if not self._may_wait():
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    def _may_wait(self) -> bool:
        """Return whether a stream has begun that a caller still waits for."""
        connection = self._connection
        return (
            connection.has_begun
            and not connection.is_done
            and not self._is_shut_down
            and read_clock() < self._expires
        )

    async def _wait_until_reached(self) -> None:
        """Wait while this node is cut off and the stream may go on."""
        while self._state.reachability.is_cut_off and self._may_wait():
            await asyncio.sleep(POLL_INTERVAL_S)

    def _has_ended(self, status: int) -> bool:
        """Return whether the caller has left or its answer was ended."""
        if self._is_shut_down:
            return True
        if self._connection.was_ended:
            if self._connection.is_done:
                self._log_end(ENDED_REASON, status)
            else:
                self._fail(BAD_GATEWAY, ENDED_REASON)
            return True
        if self._is_caller_gone:
            cut = self._connection.cut
            self._log_end("left" if cut is CutCause.NONE else cut.value, status)
            return True
        return False

    def _record_retry(self, end: SendOutcome) -> None:
        exchangelog.log_retry(self._describe_retry(end))
        if self._progress.sends:
            self._context.metrics.count_retry(end.value)
        self._answer.discard()
        self._connection.record_collected(0)

    def _describe_retry(self, end: SendOutcome) -> exchangelog.Retry:
        return exchangelog.Retry(
            request_id=self.request_id,
            service=self._service,
            reason=end.value,
            sends=self._progress.sends,
            after=self._last_event,
            budget=self._retry_reservation.describe(),
        )

    def _give_up(self, end: SendOutcome) -> None:
        """End the request after the last send."""
        if self._answer.is_kept and end is SendOutcome.FAILED:
            self._finish(self._answer.status, end)
        elif self._progress.may_have_run:
            self._fail(BAD_GATEWAY, f"the last send: {end.value}")
        else:
            retry_after_s = self._search.find_retry_after()
            self._reject_unless_run("no server took it", retry_after_s)

    # Requests that crash servers.

    def _reject_withheld(self, suspect: Suspect) -> None:
        """Reject a withheld request.

        The answer says that the request was not run, which is true and can be
        revised later. A 4xx status would blame the request permanently, which
        a crash does not justify.
        """
        self._context.metrics.count_withheld()
        exchangelog.log_withheld(self.request_id, suspect)
        reason = f"{len(suspect.crashes)} servers ended under it"
        if self._progress.may_have_run:
            self._fail(BAD_GATEWAY, reason, CutCause.REJECTED)
        else:
            self._reject(UNAVAILABLE, reason, WITHHELD_RETRY_AFTER_S)

    # Slots.

    async def _find_slot(self, admission: Admission) -> bool:
        """Acquire a slot; return False if the caller has an answer instead."""
        rejection = await self._search.find(admission)
        if self._has_ended(0):
            return False
        if rejection is None:
            return self._may_send()
        if rejection.is_early:
            self._context.metrics.count_early_rejection(self._service)
        if rejection.is_stopping:
            self._context.metrics.count_stop_rejection(self._service)
        is_passed_on = self._earlier_sends is not None
        extra = (
            (detours.STOPPING_PAIR,)
            if rejection.is_stopping and is_passed_on
            else ()
        )
        self._reject_unless_run(
            rejection.reason, rejection.retry_after_s, extra
        )
        return False

    def _may_send(self) -> bool:
        """Return whether to send; otherwise the caller has an answer."""
        suspect = self._check.find_withheld()
        if suspect is None:
            return True
        self._search.release()
        self._reject_withheld(suspect)
        return False

    # Sends.

    async def _send(self, admission: Admission) -> tuple[SendOutcome, int]:
        """Send the request to its slot; return the outcome and the status."""
        slot = self._search.slot
        if slot is None:
            # This node was cut off while the request waited for one.
            return SendOutcome.HELD, 0
        now = read_clock()
        endpoint = slot.endpoint
        self._sent_at = now
        self._log_send(admission, slot, now)
        self._retry_reservation.begin_send(is_retry=self._progress.sends > 0)
        receiver = AnswerReceiver(
            request_id=self.request_id,
            last_event=self._last_event,
            deliver=self._deliver,
            progress=lambda receiver: self._record_progress(endpoint, receiver),
            record_facts=lambda facts: self._record_facts(endpoint, facts),
            record_collected=self._connection.record_collected,
        )
        transfer = Transfer(
            request=self._make_request(admission, endpoint, now),
            receiver=receiver,
            may_send=lambda: self._may_send_to(endpoint),
        )
        reachability = self._state.reachability
        reachability.record_sent(self, now)
        kind = self._search.describe_kind(admission)
        self._state.durations.record_sent(self, kind, now)
        detector = None
        if isinstance(endpoint, GroupEndpoint):
            detector = self._state.watch(endpoint.group)
        end = await self._run_transfer(transfer, detector, now)
        reachability.record_ended(
            self, read_clock(), is_lost=self._is_lost(receiver, end)
        )
        self._search.record_end(receiver.facts, is_sent=transfer.sent)
        self._search.release()
        self._retry_reservation.end_send(is_sent=transfer.sent)
        transfer_end = end if isinstance(end, TransferEnd) else None
        self._check.record_end(receiver, transfer_end, endpoint, sent=now)
        return self._classify(transfer, receiver, end, endpoint)

    def _is_lost(
        self, receiver: AnswerReceiver, end: TransferEnd | SendOutcome
    ) -> bool:
        """Return whether a send ended as those of a node that is cut off do."""
        if self._is_caller_gone or self._is_shut_down:
            return False
        if isinstance(end, SendOutcome):
            return receiver.facts is None or end is SendOutcome.STALLED
        if end.is_faulty:
            return False
        return receiver.is_broken_off(end) or not (
            receiver.facts or end.is_held
        )

    async def _send_through_node(
        self, admission: Admission
    ) -> tuple[SendOutcome, int] | None:
        """Send the request through another node, as no server is reached.

        Returns:
          Outcome and status; None if the caller has an answer instead.
        """
        if self._has_ended(0) or not self._may_send():
            return None
        now = read_clock()
        if now > self._search.find_latest_send(now):
            self._reject_unless_run(
                STOPPING_REASON, self._search.find_stop_retry_after(now)
            )
            return None
        # A request that another node has passed on goes no further.
        is_own = self._earlier_sends is None
        node = self._detour.choose() if is_own else None
        if node is None and self._connection.has_begun:
            await self._wait_until_reached()
            return SendOutcome.HELD, 0
        if node is None:
            self._reject_cut_off()
            return None
        self._sent_at = now
        exchangelog.log_detour(
            self.request_id, node, self._progress.sends, self._last_event
        )
        self._context.metrics.count_detour(self._service)
        self._retry_reservation.begin_send(is_retry=self._progress.sends > 0)
        receiver = AnswerReceiver(
            request_id=self.request_id,
            last_event=self._last_event,
            deliver=self._deliver_from_node,
            progress=lambda _receiver: None,
            record_collected=self._connection.record_collected,
        )
        transfer = Transfer(
            request=self._detour.make_request(
                node,
                sends=self._progress.count_attempts(
                    has_begun=self._connection.has_begun
                ),
                last_event=self._last_event,
                remaining_s=max(MIN_REMAINING_S, self._expires - now),
            ),
            receiver=receiver,
        )
        end = await self._run_transfer(transfer, None, now)
        self._retry_reservation.end_send(is_sent=transfer.sent)
        return self._classify_detour(admission, transfer, receiver, end)

    def _classify_detour(
        self,
        admission: Admission,
        transfer: Transfer,
        receiver: AnswerReceiver,
        end: TransferEnd | SendOutcome,
    ) -> tuple[SendOutcome, int] | None:
        """Return outcome and status of a send through another node.

        Returns:
          None if the caller has an answer, since the other node reaches
          servers and rejected the request.
        """
        self._last_event = receiver.splitter.last_event
        outcome = self._detour.classify(transfer, receiver, end)
        if self._detour.is_rejected and not self._connection.has_begun:
            retry_after_s = self._detour.retry_after_s
            self._reject_unless_run("rejected by another node", retry_after_s)
            return None
        if transfer.sent and outcome is not SendOutcome.NOT_RUN:
            # The other node may have used all attempts.
            self._progress = Progress(
                sends=admission.route.max_attempts, may_have_run=True
            )
        self._answer.keep(transfer, receiver)
        facts = receiver.facts
        return outcome, 0 if facts is None else facts.status

    def _reject_cut_off(self) -> None:
        """Reject a request that no server can be reached for."""
        retry_after_s = self._detour.retry_after_s or find_retry_after(
            self._state.generator.random()
        )
        self._reject_unless_run(
            "no server is reached", retry_after_s, (detours.CUT_OFF_PAIR,)
        )

    def _reject_unless_run(
        self,
        reason: str,
        retry_after_s: float,
        extra: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Reject a request, or fail it if it may have run."""
        is_expired = read_clock() >= self._expires
        if self._progress.may_have_run or self._connection.has_begun:
            cause = CutCause.LIMIT if is_expired else CutCause.REJECTED
            self._fail(BAD_GATEWAY, reason, cause)
        else:
            self._reject(UNAVAILABLE, reason, retry_after_s, extra)

    def _may_send_to(self, endpoint: Endpoint) -> bool:
        """Return whether a server wants the request that is about to be sent.

        It may have asked for a pause, said that it leaves, or begun to warm up
        after it was chosen, or its data centre may have been evacuated.
        """
        now = read_clock()
        if self._state.evacuations.is_closed(endpoint.data_centre, now):
            self._context.metrics.count_evacuated_send(self._service)
            exchangelog.log_evacuated(
                self.request_id, endpoint.server, endpoint.data_centre
            )
            return False
        if self._search.begin_send():
            return True
        self._context.metrics.count_held_send(self._service)
        exchangelog.log_held(self.request_id, endpoint.server)
        return False

    async def _run_transfer(
        self, transfer: Transfer, detector: StallDetector | None, now: float
    ) -> TransferEnd | SendOutcome:
        """Wait for the end of a transfer, an interruption or the time limit.

        An abandoned transfer ends by itself, and nothing waits for it.
        """
        loop = asyncio.get_running_loop()
        self._transfer = transfer
        self._progress_at = now
        self._interrupted = loop.create_future()
        if detector is not None:
            detector.record_sent(self.request_id, now)
        self._detector = detector
        running = loop.create_task(self._borrow_and_run(transfer))
        # An abandoned transfer may outlive the exchange.
        self._body.hold(running)
        _RUNNING.add(running)
        running.add_done_callback(_RUNNING.discard)
        try:
            waits: set[asyncio.Future[Any]] = {running, self._interrupted}
            await asyncio.wait(
                waits,
                timeout=max(0.0, self._expires - now),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            if detector is not None:
                detector.record_end(self.request_id)
            self._transfer = self._detector = None
            interrupted, self._interrupted = self._interrupted, None
        if running.done():
            return running.result()
        transfer.abandon()
        return interrupted.result() if interrupted.done() else SendOutcome.LOST

    async def _borrow_and_run(self, transfer: Transfer) -> TransferEnd:
        with self._context.pool.borrow() as client:
            return await transfer.run(client)

    def _make_request(
        self, admission: Admission, endpoint: Endpoint, now: float
    ) -> BackendRequest:
        workspace = admission.workspace
        urgency = None
        if isinstance(endpoint, GroupEndpoint):
            timeliness = self._search.judge_timeliness(read_clock())
            urgency = find_urgency(timeliness, admission.priority)
        forwarded = ForwardedFields(
            server=endpoint.server,
            workspace="" if workspace is None else workspace.name,
            remaining_s=self._expires - now,
            last_event=self._last_event,
            urgency=urgency,
        )
        return make_backend_request(self._request, endpoint.address, forwarded)

    def _record_progress(
        self, endpoint: Endpoint, receiver: AnswerReceiver
    ) -> None:
        self._progress_at = read_clock()
        self._check.record_progress(receiver, self._sent_at)
        if isinstance(endpoint, GroupEndpoint):
            self._state.watch(endpoint.group).record_progress(read_clock())

    def _record_facts(self, endpoint: Endpoint, facts: AnswerFacts) -> None:
        self._state.reachability.record_answered(self, read_clock())
        statement = facts.statement
        if statement.pause.seconds:
            self._context.metrics.count_pause(endpoint.service)
        self._state.record_statement(
            endpoint.server, statement, self.request_id, read_clock()
        )

    def _deliver(self, head: Head, events: bytes) -> None:
        """Forward complete events to the caller."""
        if self._first_event is None:
            self._first_event = read_clock()
            self._state.first_events.record(
                self._request.facts.model, self._first_event - self._sent_at
            )
            self._search.record_first_event(self._sent_at, self._first_event)
        self._answer.write_events(head, events)

    def _deliver_from_node(self, head: Head, events: bytes) -> None:
        """Forward events that another node got; they show no speed of it."""
        if self._first_event is None:
            self._first_event = read_clock()
        self._answer.write_events(head, events)

    def _classify(
        self,
        transfer: Transfer,
        receiver: AnswerReceiver,
        end: TransferEnd | SendOutcome,
        endpoint: Endpoint,
    ) -> tuple[SendOutcome, int]:
        """Return the outcome and status of a send, and record its progress."""
        facts = receiver.facts
        self._last_event = receiver.splitter.last_event
        outcome = receiver.classify(transfer, end)
        if transfer.sent:
            progress = self._progress
            is_rejected = outcome is SendOutcome.NOT_RUN
            self._progress = progress._replace(
                sends=progress.sends + 1,
                uncounted=progress.uncounted + is_rejected,
            )
        self._state.durations.record_ended(
            self, read_clock(), is_complete=outcome is SendOutcome.COMPLETE
        )
        if outcome is not SendOutcome.COMPLETE:
            exchangelog.log_failed_send(
                self.request_id,
                exchangelog.FailedSend(
                    server=endpoint.server,
                    outcome=outcome,
                    is_connected=transfer.sent,
                    status=0 if facts is None else facts.status,
                    error=receiver.find_error(end),
                    seconds=read_clock() - self._sent_at,
                ),
            )
        if transfer.sent and outcome is not SendOutcome.NOT_RUN:
            self._progress = self._progress._replace(may_have_run=True)
        status = 0 if facts is None else facts.status
        now = read_clock()
        ended = EndedSend(
            outcome=outcome,
            status=status,
            was_paused=transfer.was_paused,
            is_faulty=isinstance(end, TransferEnd) and end.is_faulty,
            is_cancelled=self._is_caller_gone
            or self._is_shut_down
            or now >= self._expires,
        )
        record_ended_send(self._state, endpoint, ended, now)
        self._answer.keep(transfer, receiver)
        return outcome, status

    # Answers.

    def _finish(self, status: int, end: SendOutcome) -> None:
        """Complete the answer of the server to the caller."""
        if self._connection.has_begun:
            if end is not SendOutcome.COMPLETE or self._answer.is_kept:
                # The caller has events of a stream that was not resumed.
                self._fail(BAD_GATEWAY, f"the last send: {end.value}")
                return
            self._connection.finish()
        elif not self._answer.complete(status):
            # A stream without a single event.
            self._fail(BAD_GATEWAY, "an empty stream")
            return
        self._log_end(end.value, status)

    def _fail(
        self, status: int, reason: str, cause: CutCause = CutCause.FAILED
    ) -> None:
        """Abort the answer or send an error; the request may have run."""
        self._answer.fail(status, reason, cause)
        self._log_end(reason, status)

    def _reject(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None,
        extra: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self._answer.reject(status, reason, retry_after_s, extra)
        self._log_end(f"refused: {reason}", status)

    def _log_send(
        self,
        admission: Admission,
        slot: SlotChoice,
        now: float,
    ) -> None:
        """Log where the request is sent, and why."""
        exchangelog.log_send(
            self.request_id,
            admission.route.name,
            slot,
            self._state,
            after=self._last_event,
            now=now,
        )

    def _log_end(self, reason: str, status: int) -> None:
        """Log and count the outcome of the request."""
        cut = self._connection.cut.value
        if cut:
            self._context.metrics.count_cut_answer(cut)
        self._context.metrics.count_request(
            exchangelog.log_end(
                exchangelog.EndedRequest(
                    request=self._request,
                    admission=self._admission,
                    service=self._service,
                    status=status,
                    reason=reason,
                    sends=self._progress.sends,
                    waited_s=self._search.waited_s,
                    first_event=self._first_event,
                    last_event=self._last_event,
                    cut=cut,
                    left_s=self._expires - read_clock(),
                    state=self._state,
                    now=read_clock(),
                )
            )
        )


_RUNNING: set["asyncio.Task[TransferEnd]"] = set()
"""Transfers that are running, including abandoned ones until they end."""

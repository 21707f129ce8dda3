"""Handles a request of a caller, from its route to the end of the answer."""

import asyncio

from chervilrock.decisions.serving.admission.attempts import (
    decide_next,
    NextStep,
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
from chervilrock.decisions.serving.groups.stalls import StandstillMeter
from chervilrock.decisions.serving.nodes.detours import find_retry_after
from chervilrock.decisions.serving.nodes.reachability import (
    PROBE_TIMEOUT_S,
    ROUNDS_TO_CUT,
)
from chervilrock.edges.serving import detours, exchangelog
from chervilrock.edges.serving.activesend import ActiveSend
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.connection import (
    AnswerSource,
    CallerConnection,
    CutCause,
    ENDED_REASON,
    HeldBody,
)
from chervilrock.edges.serving.context import Context
from chervilrock.edges.serving.detoursender import DetourSender
from chervilrock.edges.serving.exchangestate import ExchangeState
from chervilrock.edges.serving.retryreservation import RetryReservation
from chervilrock.edges.serving.serversender import ServerSender
from chervilrock.edges.serving.slots import SlotSearch, STOPPING_REASON
from chervilrock.edges.serving.suspectcheck import SuspectCheck
from chervilrock.tasks.clock import read_clock

WITHHELD_RETRY_AFTER_S = 300.0
"""Time after which a caller may retry a request that is withheld: hardly any is
released sooner, and it is rejected at once until then."""

PROBES_WAIT_S = ROUNDS_TO_CUT * PROBE_TIMEOUT_S + 0.15
"""Longest time for which a request waits until it is known whether this node
reaches any server."""

POLL_INTERVAL_S = 0.01
"""Time between two checks of a condition that nothing announces."""

_UNANSWERED = (SendOutcome.LOST, SendOutcome.STALLED)

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


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
        self._context = context
        self._state = context.state
        self._request = request
        self._connection = connection
        connection.source = self
        self.request_id = request.facts.request_id
        self._earlier_sends = detours.read_sends(request)
        self._current = ExchangeState(
            request=request,
            connection=connection,
            sends=self._earlier_sends or 0,
        )
        self._active = ActiveSend(
            request_id=self.request_id,
            body=body,
            pool=context.pool,
            now=request.arrived,
        )
        self._check = SuspectCheck(
            state=context.state,
            poisondetector=context.poisondetector,
            request=request,
        )
        self._search = SlotSearch(
            state=context.state,
            waitqueue=context.waitqueue,
            exchange=self._current,
            check=self._check,
        )
        self._detour = detours.Detour(state=context.state, request=request)
        self._retry_reservation = RetryReservation(state=context.state)
        self._server_sender = ServerSender(
            context=context,
            exchange=self._current,
            search=self._search,
            check=self._check,
            retry_reservation=self._retry_reservation,
            active=self._active,
        )
        self._detour_sender = DetourSender(
            context=context,
            exchange=self._current,
            detour=self._detour,
            retry_reservation=self._retry_reservation,
            active=self._active,
        )
        self._admission: Admission | None = None

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
        self._current.expires = self._find_expiry(admitted)
        self._current.service = choose_service(
            admitted.route, self._state.generator
        )
        self._search.admit(
            admitted, self._current.service, self._current.expires
        )
        self._retry_reservation.admit(
            self._current.service,
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
        self._current.is_caller_gone = True
        self._search.is_cancelled = True
        self._connection.close()
        self._active.interrupt(SendOutcome.LOST)

    def pause(self) -> None:
        """See base class."""
        self._active.pause()

    def resume(self) -> None:
        """See base class."""
        self._active.resume(read_clock())

    def end(self) -> None:
        """See base class."""
        self._search.is_cancelled = True
        self._active.interrupt(SendOutcome.LOST)

    def end_at_shutdown(self) -> None:
        """Answer now that the process exits, unless an answer has begun."""
        if self._connection.has_begun or self._connection.is_done:
            return
        transfer = self._active.transfer
        # An abandoned transfer is not sent any more.
        self._search.is_cancelled = True
        self._active.interrupt(SendOutcome.LOST)
        if transfer is not None and transfer.sent:
            self._current.record_run()
        self._current.is_shut_down = True
        self._reject_unless_run(
            STOPPING_REASON, self._search.find_stop_retry_after(read_clock())
        )

    def fail(self, error: Exception) -> None:
        """End the request after an error in its handling.

        It may have run, whatever is recorded of its sends.
        """
        exchangelog.log_error(self.request_id, error)
        self._active.interrupt(SendOutcome.LOST)
        if not self._connection.is_done:
            self._fail(BAD_GATEWAY, "an internal error")

    def record_exit(self, now: float) -> None:
        """Record that the process exits before the answer is complete."""
        self._connection.record_cut(CutCause.EXIT)
        is_cut = self._connection.cut is CutCause.EXIT
        if is_cut and self._state.shutdown.is_begun:
            exchangelog.log_cut_at_exit(
                exchangelog.CutAnswer(
                    request_id=self.request_id,
                    sends=self._current.progress.sends
                    + (self._active.transfer is not None),
                    stopping_at=self._state.shutdown.begun_at,
                    arrived=self._request.arrived,
                    sent_at=self._current.sent_at,
                    expected_at=self._current.expected_at,
                    silent_s=self._active.find_silence(now),
                )
            )

    def close(self) -> None:
        """Let go of the answer after `run`, which may still be unsent."""
        self._current.answer.discard()
        self._connection.release_source()

    def move_away(self, now: float) -> bool:
        """Move the stream away from a stalled group if it may be resumed.

        Returns:
          Whether the stream continues at another group.
        """
        admission = self._admission
        if admission is None or self._active.transfer is None:
            return False
        has_alternative = (
            self._state.reachability.is_cut_off
            or self._search.has_alternative(now)
        )
        if not self._can_resume(admission, now) or not has_alternative:
            return False
        if not self._retry_reservation.reserve():
            return False
        self._active.interrupt(SendOutcome.STALLED)
        return True

    def _can_resume(self, admission: Admission, now: float) -> bool:
        """Return whether the stream may be sent again if its send ends now."""
        route = admission.route
        has_begun = self._connection.has_begun
        transfer = self._active.transfer
        is_excused = (
            has_begun
            and transfer is not None
            and transfer.head is None
            and self._state.reachability.is_cut_off
        )
        attempts = self._current.count_attempts()
        if not is_excused:
            attempts += 1
        return (
            route.is_resumable
            and attempts < route.max_attempts
            and now <= self._search.find_latest_send(now)
        )

    def end_silent_send(self, now: float) -> None:
        """End a send to a server that is silent; this node is cut off."""
        transfer = self._active.transfer
        admission = self._admission
        is_direct = self._search.slot is not None
        if transfer is None or not is_direct or transfer.paused:
            return
        if self._connection.has_begun and not (
            admission and self._can_resume(admission, now)
        ):
            # The server may go on when the node is not cut off any more.
            return
        if self._active.is_silent(now):
            self._active.interrupt(
                SendOutcome.LOST if transfer.sent else SendOutcome.NOT_RUN
            )

    def _find_expiry(self, admission: Admission) -> float:
        """Return the latest time at which the caller gets an answer."""
        limit = admission.route.timeout_s
        deadline = self._request.facts.deadline_s
        if deadline is not None:
            limit = min(limit, deadline)
        return self._request.arrived + limit

    async def _serve(self, admission: Admission) -> None:
        """Send the request until it is answered or abandoned."""
        await self._check.wait_for_verdict(self._current.expires)
        while True:
            sends = self._current.progress.sends
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
                    self._current.expires - read_clock()
                )
                await self._wait_for_probes()
                is_sent = self._current.progress.sends > sends
                if is_direct and is_sent and end in _UNANSWERED and not status:
                    self._excuse_send()
            if not await self._should_continue(admission, end, status):
                return
            await self._check.wait_for_verdict(self._current.expires)

    def _excuse_send(self) -> None:
        """Count no attempt if the last send failed since this node is cut off.

        The servers that got the request cannot be reached any more.
        """
        if self._state.reachability.is_cut_off:
            self._current.excuse_send()

    async def _wait_for_probes(self) -> None:
        """Wait while it is unknown whether this node reaches any server.

        Time for which the node stands still delays the probes as well, and does
        not count.
        """
        reachability = self._state.reachability
        meter = StandstillMeter(interval_s=POLL_INTERVAL_S)
        now = read_clock()
        meter.measure(now)
        until = now + PROBES_WAIT_S
        expires = self._current.expires
        while now < min(expires, until) and reachability.is_in_doubt(now):
            await asyncio.sleep(POLL_INTERVAL_S)
            now = read_clock()
            until += meter.measure(now)

    async def _should_continue(
        self, admission: Admission, end: SendOutcome, status: int
    ) -> bool:
        """Return whether to send again; otherwise the caller has an answer."""
        route = admission.route
        next_step = decide_next(
            end,
            status=status,
            progress=self._current.progress,
            may_retry=route.may_retry,
            max_attempts=route.max_attempts,
            has_begun=self._connection.has_begun,
        )
        may_retry = next_step is NextStep.RETRY and await self._reserve_retry(
            end
        )
        if self._has_ended(status):
            return False
        if read_clock() >= self._current.expires:
            self._fail(
                GATEWAY_TIMEOUT, "the time limit was reached", CutCause.LIMIT
            )
            return False
        if next_step is NextStep.FINISH:
            if end is SendOutcome.COMPLETE:
                self._check.record_completion(self._current.sent_at)
            self._finish(status, end)
            return False
        if next_step is NextStep.RETRY:
            if may_retry:
                self._record_retry(end)
                return True
            self._context.metrics.count_rejected_retry(self._current.service)
            exchangelog.log_rejected_retry(self._describe_retry(end))
        self._give_up(end)
        return False

    async def _reserve_retry(self, end: SendOutcome) -> bool:
        """Reserve a retry; wait for it if the caller has no other answer.

        Args:
          end: outcome of the last send.

        Returns:
          Whether the request may be sent again.
        """
        reservation = self._retry_reservation
        wait_end = self._find_wait_end(end, read_clock())
        try:
            # If no byte was sent, the next send is the first one.
            while self._current.progress.sends and not reservation.reserve():
                if not self._is_awaited() or read_clock() >= wait_end:
                    return False
                reservation.wait()
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            reservation.stop_waiting()
        return True

    def _find_wait_end(self, end: SendOutcome, now: float) -> float:
        """Return until when the request waits for a retry.

        A caller of a stream that has begun has only this answer. One that has
        nothing yet may turn to another node, so it waits only for a retry that
        is expected soon.
        """
        expires = self._current.expires
        if self._connection.has_begun:
            return expires
        if end not in _UNANSWERED:
            return now
        latest = min(expires, self._search.find_latest_send(now))
        return self._retry_reservation.find_wait_end(latest, now)

    def _may_wait(self) -> bool:
        """Return whether a stream has begun that a caller still waits for."""
        return self._connection.has_begun and self._is_awaited()

    def _is_awaited(self) -> bool:
        """Return whether a caller still waits for the answer."""
        return (
            not self._connection.is_done
            and not self._connection.was_ended
            and not self._current.is_shut_down
            and read_clock() < self._current.expires
        )

    async def _wait_until_reached(self) -> None:
        """Wait while this node is cut off and the stream may go on."""
        while self._state.reachability.is_cut_off and self._may_wait():
            await asyncio.sleep(POLL_INTERVAL_S)

    def _has_ended(self, status: int) -> bool:
        """Return whether the caller has left or its answer was ended."""
        if self._current.is_shut_down:
            return True
        if self._connection.was_ended:
            if self._connection.is_done:
                self._log_end(ENDED_REASON, status)
            else:
                self._fail(BAD_GATEWAY, ENDED_REASON)
            return True
        if self._current.is_caller_gone:
            cut = self._connection.cut
            self._log_end("left" if cut is CutCause.NONE else cut.value, status)
            return True
        return False

    def _record_retry(self, end: SendOutcome) -> None:
        exchangelog.log_retry(self._describe_retry(end))
        if self._current.progress.sends:
            self._context.metrics.count_retry(end.value)
        self._current.answer.discard()
        self._connection.record_collected(0)

    def _describe_retry(self, end: SendOutcome) -> exchangelog.Retry:
        return exchangelog.Retry(
            request_id=self.request_id,
            service=self._current.service,
            reason=end.value,
            sends=self._current.progress.sends,
            after=self._current.last_event,
            budget=self._retry_reservation.describe(),
        )

    def _give_up(self, end: SendOutcome) -> None:
        """End the request after the last send."""
        if self._current.answer.is_kept and end is SendOutcome.FAILED:
            self._finish(self._current.answer.status, end)
        elif self._current.progress.may_have_run:
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
        if self._current.progress.may_have_run:
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
            self._context.metrics.count_early_rejection(self._current.service)
        if rejection.is_stopping:
            self._context.metrics.count_stop_rejection(self._current.service)
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
        return await self._server_sender.send(admission, slot)

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
        result = await self._detour_sender.send(admission, node, now)
        if result is None:
            retry_after_s = self._detour.retry_after_s
            self._reject_unless_run("rejected by another node", retry_after_s)
        return result

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
        is_expired = read_clock() >= self._current.expires
        if self._current.progress.may_have_run or self._connection.has_begun:
            cause = CutCause.LIMIT if is_expired else CutCause.REJECTED
            self._fail(BAD_GATEWAY, reason, cause)
        else:
            self._reject(UNAVAILABLE, reason, retry_after_s, extra)

    # Answers.

    def _finish(self, status: int, end: SendOutcome) -> None:
        """Complete the answer of the server to the caller."""
        if self._connection.has_begun:
            if end is not SendOutcome.COMPLETE or self._current.answer.is_kept:
                # The caller has events of a stream that was not resumed.
                self._fail(BAD_GATEWAY, f"the last send: {end.value}")
                return
            self._connection.finish()
        elif not self._current.answer.complete(status):
            # A stream without a single event.
            self._fail(BAD_GATEWAY, "an empty stream")
            return
        self._log_end(end.value, status)

    def _fail(
        self, status: int, reason: str, cause: CutCause = CutCause.FAILED
    ) -> None:
        """Abort the answer or send an error; the request may have run."""
        self._current.answer.fail(status, reason, cause)
        self._log_end(reason, status)

    def _reject(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None,
        extra: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self._current.answer.reject(status, reason, retry_after_s, extra)
        self._log_end(f"refused: {reason}", status)

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
                    service=self._current.service,
                    status=status,
                    reason=reason,
                    sends=self._current.progress.sends,
                    waited_s=self._search.waited_s,
                    first_event=self._current.first_event,
                    last_event=self._current.last_event,
                    cut=cut,
                    received=self._current.received,
                    left_s=self._current.expires - read_clock(),
                    state=self._state,
                    now=read_clock(),
                )
            )
        )

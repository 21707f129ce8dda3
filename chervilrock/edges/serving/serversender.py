"""Sends a request to the server of its slot."""

from chervilrock.clients.heads import HeadState
from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.decisions.serving.admission.routes import Admission
from chervilrock.decisions.serving.messages import AnswerFacts, ForwardedFields
from chervilrock.decisions.serving.view import GroupEndpoint
from chervilrock.edges.heads import Head
from chervilrock.edges.relay import BackendRequest, Transfer, TransferEnd
from chervilrock.edges.serving import exchangelog
from chervilrock.edges.serving.activesend import ActiveSend
from chervilrock.edges.serving.backendrequests import (
    find_urgency,
    make_backend_request,
)
from chervilrock.edges.serving.context import Context
from chervilrock.edges.serving.endpointhealth import (
    EndedSend,
    record_ended_send,
)
from chervilrock.edges.serving.exchangestate import ExchangeState
from chervilrock.edges.serving.receiver import AnswerReceiver
from chervilrock.edges.serving.retryreservation import RetryReservation
from chervilrock.edges.serving.slots import Endpoint, SlotChoice, SlotSearch
from chervilrock.edges.serving.suspectcheck import SuspectCheck
from chervilrock.tasks.clock import read_clock


class ServerSender:
    """Sends one request and records what its sends show about the servers."""

    def __init__(
        self,
        *,
        context: Context,
        exchange: ExchangeState,
        search: SlotSearch,
        check: SuspectCheck,
        retry_reservation: RetryReservation,
        active: ActiveSend,
    ) -> None:
        """Create a sender that has sent nothing.

        Args:
          context: objects that all requests of the node share.
          exchange: state of the request.
          search: finds slots for the request.
          check: learns whether servers crash under the request.
          retry_reservation: the retry budget of the request.
          active: runs the sends.
        """
        self._context = context
        self._state = context.state
        self._exchange = exchange
        self._search = search
        self._check = check
        self._retry_reservation = retry_reservation
        self._active = active

    async def send(
        self, admission: Admission, slot: SlotChoice
    ) -> tuple[SendOutcome, int]:
        """Send the request to its slot; return the outcome and the status."""
        now = read_clock()
        exchange = self._exchange
        endpoint = slot.endpoint
        exchange.sent_at = now
        if self._state.shutdown.is_begun:
            expected_s = self._search.estimate_duration(admission, now)
            exchange.expected_at = now + expected_s
        exchangelog.log_send(
            exchange.request_id,
            admission.route.name,
            slot,
            self._state,
            after=exchange.last_event,
            now=now,
        )
        self._retry_reservation.begin_send(is_retry=exchange.progress.sends > 0)
        receiver = AnswerReceiver(
            request_id=exchange.request_id,
            last_event=exchange.last_event,
            has_body=exchange.request.method != "HEAD",
            is_continuation=exchange.connection.has_begun,
            deliver=self._deliver,
            progress=lambda receiver: self._record_progress(endpoint, receiver),
            record_facts=lambda facts: self._record_facts(endpoint, facts),
            record_collected=exchange.connection.record_collected,
            find_room=exchange.connection.has_room,
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
        end = await self._active.run(
            transfer, detector=detector, now=now, until=exchange.expires
        )
        reachability.record_ended(
            self, read_clock(), is_lost=self._is_lost(receiver, end)
        )
        self._search.record_end(receiver.facts, is_sent=transfer.sent)
        self._search.release()
        self._retry_reservation.end_send(is_sent=transfer.sent)
        transfer_end = end if isinstance(end, TransferEnd) else None
        self._check.record_end(receiver, transfer_end, endpoint, sent=now)
        return self._classify(transfer, receiver, end, endpoint)

    def _make_request(
        self, admission: Admission, endpoint: Endpoint, now: float
    ) -> BackendRequest:
        exchange = self._exchange
        workspace = admission.workspace
        urgency = None
        if isinstance(endpoint, GroupEndpoint):
            timeliness = self._search.judge_timeliness(read_clock())
            urgency = find_urgency(timeliness, admission.priority)
        forwarded = ForwardedFields(
            server=endpoint.server,
            workspace="" if workspace is None else workspace.name,
            remaining_s=exchange.expires - now,
            last_event=exchange.last_event,
            urgency=urgency,
        )
        return make_backend_request(
            exchange.request, endpoint.address, forwarded
        )

    def _may_send_to(self, endpoint: Endpoint) -> bool:
        """Return whether a server wants the request that is about to be sent.

        It may have asked for a pause, said that it leaves, or begun to warm up
        after it was chosen, or its data centre may have been evacuated.
        """
        exchange = self._exchange
        now = read_clock()
        if self._state.evacuations.is_closed(endpoint.data_centre, now):
            self._context.metrics.count_evacuated_send(exchange.service)
            exchangelog.log_evacuated(
                exchange.request_id, endpoint.server, endpoint.data_centre
            )
            return False
        if self._search.begin_send():
            return True
        self._context.metrics.count_held_send(exchange.service)
        exchangelog.log_held(exchange.request_id, endpoint.server)
        return False

    def _record_progress(
        self, endpoint: Endpoint, receiver: AnswerReceiver
    ) -> None:
        self._active.record_progress(read_clock())
        self._check.record_progress(receiver, self._exchange.sent_at)
        if isinstance(endpoint, GroupEndpoint):
            self._state.watch(endpoint.group).record_progress(read_clock())

    def _record_facts(self, endpoint: Endpoint, facts: AnswerFacts) -> None:
        self._state.reachability.record_answered(self, read_clock())
        statement = facts.statement
        if statement.pause.seconds:
            self._context.metrics.count_pause(endpoint.service)
        self._state.record_statement(
            endpoint.server,
            statement,
            self._exchange.request_id,
            read_clock(),
        )

    def _deliver(self, head: Head, events: bytes) -> None:
        """Forward complete events to the caller."""
        exchange = self._exchange
        if exchange.first_event is None:
            exchange.first_event = read_clock()
            self._state.first_events.record(
                exchange.request.facts.model,
                exchange.first_event - exchange.sent_at,
            )
            self._search.record_first_event(
                exchange.sent_at, exchange.first_event
            )
        exchange.answer.write_events(head, events)

    def _is_lost(
        self, receiver: AnswerReceiver, end: TransferEnd | SendOutcome
    ) -> bool:
        """Return whether a send ended as those of a node that is cut off do."""
        if self._exchange.is_caller_gone or self._exchange.is_shut_down:
            return False
        if isinstance(end, SendOutcome):
            return receiver.facts is None or end is SendOutcome.STALLED
        if end.is_faulty:
            return False
        return receiver.is_broken_off(end) or not (
            receiver.facts or end.is_held
        )

    def _classify(
        self,
        transfer: Transfer,
        receiver: AnswerReceiver,
        end: TransferEnd | SendOutcome,
        endpoint: Endpoint,
    ) -> tuple[SendOutcome, int]:
        """Return the outcome and status of a send, and record its progress."""
        exchange = self._exchange
        status = 0 if receiver.facts is None else receiver.facts.status
        exchange.last_event = receiver.splitter.last_event
        outcome = receiver.classify(transfer, end)
        if transfer.sent:
            exchange.record_send(outcome)
        self._state.durations.record_ended(
            self, read_clock(), is_complete=outcome is SendOutcome.COMPLETE
        )
        exchange.received = receiver.summarize(transfer)
        is_abandoned = isinstance(end, SendOutcome)
        if exchange.received.head is HeadState.PARTIAL and not is_abandoned:
            self._context.metrics.count_partial_head(exchange.service)
        if outcome is not SendOutcome.COMPLETE:
            exchangelog.log_failed_send(
                exchange.request_id,
                exchangelog.FailedSend(
                    server=endpoint.server,
                    outcome=outcome,
                    is_connected=transfer.sent,
                    status=status,
                    error=receiver.find_error(end),
                    is_abandoned=is_abandoned,
                    answer=exchange.received,
                    seconds=read_clock() - exchange.sent_at,
                ),
            )
        now = read_clock()
        ended = EndedSend(
            outcome=outcome,
            status=status,
            was_paused=transfer.was_paused,
            is_faulty=isinstance(end, TransferEnd) and end.is_faulty,
            is_cancelled=exchange.is_caller_gone
            or exchange.is_shut_down
            or now >= exchange.expires,
        )
        record_ended_send(self._state, endpoint, ended, now)
        exchange.answer.keep(transfer, receiver)
        return outcome, status

"""Sends a request through another node, as this one reaches no server."""

from chervilrock.decisions.serving.admission.attempts import (
    Progress,
    SendOutcome,
)
from chervilrock.decisions.serving.admission.routes import Admission
from chervilrock.decisions.serving.view import NodeEntry
from chervilrock.edges.heads import Head
from chervilrock.edges.relay import Transfer, TransferEnd
from chervilrock.edges.serving import exchangelog
from chervilrock.edges.serving.activesend import ActiveSend
from chervilrock.edges.serving.backendrequests import MIN_REMAINING_S
from chervilrock.edges.serving.context import Context
from chervilrock.edges.serving.detours import Detour
from chervilrock.edges.serving.exchangestate import ExchangeState
from chervilrock.edges.serving.receiver import AnswerReceiver
from chervilrock.edges.serving.retryreservation import RetryReservation
from chervilrock.tasks.clock import read_clock


class DetourSender:
    """Sends one request through other nodes."""

    def __init__(
        self,
        *,
        context: Context,
        exchange: ExchangeState,
        detour: Detour,
        retry_reservation: RetryReservation,
        active: ActiveSend,
    ) -> None:
        """Create a sender that has sent nothing.

        Args:
          context: objects that all requests of the node share.
          exchange: state of the request.
          detour: chooses the nodes.
          retry_reservation: the retry budget of the request.
          active: runs the sends.
        """
        self._context = context
        self._exchange = exchange
        self._detour = detour
        self._retry_reservation = retry_reservation
        self._active = active

    async def send(
        self, admission: Admission, node: NodeEntry, now: float
    ) -> tuple[SendOutcome, int] | None:
        """Send the request to another node.

        Args:
          admission: route of the request.
          node: the node.
          now: current time.

        Returns:
          Outcome and status; None if the node reaches servers and rejected the
          request, of which the caller has nothing yet.
        """
        exchange = self._exchange
        exchange.sent_at = now
        exchangelog.log_detour(
            exchange.request_id,
            node,
            exchange.progress.sends,
            exchange.last_event,
        )
        self._context.metrics.count_detour(exchange.service)
        self._retry_reservation.begin_send(is_retry=exchange.progress.sends > 0)
        receiver = AnswerReceiver(
            request_id=exchange.request_id,
            last_event=exchange.last_event,
            has_body=exchange.request.method != "HEAD",
            is_continuation=exchange.connection.has_begun,
            deliver=self._deliver,
            progress=lambda _receiver: None,
            record_collected=exchange.connection.record_collected,
            find_room=exchange.connection.has_room,
        )
        transfer = Transfer(
            request=self._detour.make_request(
                node,
                sends=exchange.count_attempts(),
                last_event=exchange.last_event,
                remaining_s=max(MIN_REMAINING_S, exchange.expires - now),
            ),
            receiver=receiver,
        )
        end = await self._active.run(
            transfer, detector=None, now=now, until=exchange.expires
        )
        self._retry_reservation.end_send(is_sent=transfer.sent)
        return self._classify(admission, transfer, receiver, end)

    def _deliver(self, head: Head, events: bytes) -> None:
        """Forward events that another node got; they show no speed of it."""
        exchange = self._exchange
        if exchange.first_event is None:
            exchange.first_event = read_clock()
        exchange.answer.write_events(head, events)

    def _classify(
        self,
        admission: Admission,
        transfer: Transfer,
        receiver: AnswerReceiver,
        end: TransferEnd | SendOutcome,
    ) -> tuple[SendOutcome, int] | None:
        """Return the outcome and status as `send` does."""
        exchange = self._exchange
        exchange.last_event = receiver.splitter.last_event
        exchange.received = receiver.summarize(transfer)
        outcome = self._detour.classify(transfer, receiver, end)
        if self._detour.is_rejected and not exchange.connection.has_begun:
            return None
        if transfer.sent and outcome is not SendOutcome.NOT_RUN:
            # The other node may have used all attempts.
            exchange.progress = Progress(
                sends=admission.route.max_attempts, may_have_run=True
            )
        exchange.answer.keep(transfer, receiver)
        facts = receiver.facts
        return outcome, 0 if facts is None else facts.status

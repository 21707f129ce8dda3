"""Requests that carry a ticket: run once, joined, replayed or passed on."""

import asyncio

from chervilrock.decisions.requests import tickets
from chervilrock.decisions.requests.tickets import ClaimKind, TicketId
from chervilrock.edges import recordings, servicecalls
from chervilrock.edges.dispatch import CallerRequest, Prepared
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.path import RequestPath
from chervilrock.edges.recordings import RecordingSink
from chervilrock.edges.relay import BackendRequest, Transfer
from chervilrock.edges.runs import RunEnd
from chervilrock.edges.servicecalls import ServiceReceiver
from chervilrock.edges.sinks import AnswerSink
from chervilrock.generated.interfaces import Outcome, Ticket

PEER_PATH = "/peer/tickets/"
METHOD_HEADER = "X-Caller-Method"
TARGET_HEADER = "X-Caller-Target"

_OWN_REQUEST_HEADERS = frozenset(
    {"expect", "host", METHOD_HEADER.lower(), TARGET_HEADER.lower()}
)
_OWN_ANSWER_HEADERS = frozenset({"date", "server", "x-request-id", "x-node"})

FORGOTTEN = CallerError(
    ErrorCode.TICKET_UNKNOWN,
    "the ticket may have been used, and what became of it is not known",
    Outcome.UNKNOWN,
)
MISMATCH = CallerError(
    ErrorCode.TICKET_MISMATCH,
    "the ticket was used for another request; this one has not run",
    Outcome.NOT_RUN,
)
STILL_RUNNING = CallerError(
    ErrorCode.TICKET_RUNNING,
    "the run with this ticket is still in progress",
    Outcome.UNKNOWN,
)
UNREACHABLE = CallerError(
    ErrorCode.TICKET_UNKNOWN,
    "the node that minted the ticket did not give the whole answer",
    Outcome.UNKNOWN,
    1.0,
)
LEAVING = CallerError(ErrorCode.LEAVING, "this node is leaving")


class TicketDesk:
    """The tickets of this incarnation and the runs that they are used for."""

    def __init__(self, *, path: RequestPath) -> None:
        """Starts without tickets.

        Args:
          path: request path of the node.
        """
        self._path = path
        self._context = path.context
        self._table = tickets.TicketTable()
        self._recordings: dict[int, RecordingSink] = {}

    @property
    def table(self) -> tickets.TicketTable:
        """The tickets that this incarnation minted."""
        return self._table

    def mint(self) -> Ticket:
        """Returns a new ticket."""
        sequence = self._table.mint(self._context.now())
        ticket = TicketId(self._context.incarnation, sequence)
        return Ticket(
            ticket=tickets.format_ticket(ticket),
            expires_s=tickets.TICKET_LIFE_S,
        )

    def is_own(self, ticket: TicketId) -> bool:
        """Tells whether this incarnation minted a ticket."""
        return ticket.incarnation == self._context.incarnation

    async def answer(
        self,
        sequence: int,
        request: CallerRequest,
        prepared: Prepared,
        sink: AnswerSink,
    ) -> None:
        """Answers a request that carries a ticket of this incarnation.

        Args:
          sequence: number of the ticket.
          request: the request.
          prepared: the request, checked.
          sink: takes the answer.
        """
        fingerprint = tickets.make_fingerprint(
            request.parsed.workspace,
            request.method,
            request.target,
            request.body,
        )
        claim = self._table.claim(sequence, fingerprint, self._context.now())
        if claim.kind is ClaimKind.FORGOTTEN:
            fail(sink, FORGOTTEN)
        elif claim.kind is ClaimKind.MISMATCH:
            fail(sink, MISMATCH)
        elif claim.kind is ClaimKind.REPLAY:
            self._replay(claim, sink)
        else:
            if claim.kind is ClaimKind.RUN and not self._start(
                sequence, prepared
            ):
                fail(sink, LEAVING)
                return
            await self._follow(sequence, request, sink)

    def _start(self, sequence: int, prepared: Prepared) -> bool:
        """Starts the one run of a ticket; False when this node is leaving."""
        if self._context.leaving:
            self._table.finish(sequence, outcome=Outcome.NOT_RUN)
            return False
        recording = RecordingSink()
        self._recordings[sequence] = recording
        self._path.start_task(self._run(sequence, prepared, recording))
        return True

    async def _run(
        self, sequence: int, prepared: Prepared, recording: RecordingSink
    ) -> None:
        """Runs a request, whether or not its caller stays."""
        outcome = Outcome.UNKNOWN
        try:
            end = await prepared.make_run(recording).run()
            outcome = find_outcome(end)
        finally:
            if not recording.ended.done():
                recording.fail(FORGOTTEN, may_repeat=False)
            del self._recordings[sequence]
            self._table.finish(
                sequence, outcome=outcome, answer=recording.make_record()
            )

    async def _follow(
        self, sequence: int, request: CallerRequest, sink: AnswerSink
    ) -> None:
        """Gives the answer of a run in progress to a caller."""
        recording = self._recordings[sequence]
        if not recording.follow(sink):
            fail(sink, FORGOTTEN)
            return
        left = max(0.0, request.deadline - self._context.now())
        try:
            await asyncio.wait({recording.ended}, timeout=left)
            if not recording.ended.done():
                fail(sink, STILL_RUNNING)
        finally:
            recording.unfollow(sink)

    def _replay(self, claim: tickets.Claim, sink: AnswerSink) -> None:
        if claim.answer is not None:
            recordings.replay(claim.answer, sink)
        elif claim.outcome is Outcome.FAILED:
            message = "the request ran and ended without a whole answer"
            error = CallerError(
                ErrorCode.ANSWER_BROKEN, message, Outcome.FAILED, 0.0
            )
            fail(sink, error)
        else:
            fail(sink, FORGOTTEN)

    async def pass_on(
        self, ticket: TicketId, request: CallerRequest, sink: AnswerSink
    ) -> None:
        """Passes a request to the node that minted its ticket.

        Nothing is known of what that node did before, so whatever goes wrong
        leaves the outcome unknown.

        Args:
          ticket: the ticket.
          request: the request.
          sink: takes the answer.
        """
        address = self._context.peer_address(ticket.incarnation)
        if address is None:
            fail(sink, FORGOTTEN)
            return
        receiver = ServiceReceiver(
            method="POST",
            expected=(),
            sink=sink,
            own_headers=_OWN_ANSWER_HEADERS,
        )
        peer_request = make_peer_request(
            address, ticket, request, self._context.now()
        )
        transfer = Transfer(request=peer_request, receiver=receiver)
        sink.attach(transfer)
        end = await self._path.pool.run(transfer)
        sink.attach(None)
        if end.head is None or end.error:
            fail(sink, UNREACHABLE)
        else:
            receiver.finish()


def find_outcome(end: RunEnd) -> Outcome:
    """Returns what is known of a run, if it gave no whole answer."""
    return Outcome.UNKNOWN if end.error is None else end.error.outcome


def fail(sink: AnswerSink, error: CallerError) -> None:
    """Tells a caller with a ticket what is known of its request."""
    sink.fail(error, may_repeat=error.delay_s > 0)


def make_peer_request(
    address: str, ticket: TicketId, request: CallerRequest, now: float
) -> BackendRequest:
    """Makes the request to the node that minted a ticket."""
    headers = servicecalls.copy_headers(request.headers, _OWN_REQUEST_HEADERS)
    headers.append((METHOD_HEADER, request.method))
    headers.append((TARGET_HEADER, request.target))
    return BackendRequest(
        method="POST",
        url=f"http://{address}{PEER_PATH}{tickets.format_ticket(ticket)}",
        headers=tuple(headers),
        body=request.body,
        timeout_s=max(0.001, request.deadline - now),
        send_once=False,
    )

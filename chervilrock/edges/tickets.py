"""Requests that carry a ticket: run once, joined, replayed or forwarded."""

from chervilrock.decisions.requests import tickets
from chervilrock.decisions.requests.runregistry import ClaimKind, RecordedAnswer
from chervilrock.decisions.requests.tickets import TicketId
from chervilrock.edges import detachedruns, servicecalls
from chervilrock.edges.dispatch import CallerRequest, PreparedRequest
from chervilrock.edges.errors import CallerError, ErrorCode
from chervilrock.edges.path import RequestPath
from chervilrock.edges.relay import BackendRequest, Transfer
from chervilrock.edges.servicecalls import ServiceReceiver
from chervilrock.edges.sinks import AnswerSink
from chervilrock.generated.interfaces import Outcome, Ticket

PEER_PATH = "/peer/tickets/"
METHOD_HEADER = "X-Caller-Method"
TARGET_HEADER = "X-Caller-Target"

_EXCLUDED_REQUEST_HEADERS = frozenset(
    {"expect", "host", METHOD_HEADER.lower(), TARGET_HEADER.lower()}
)
_EXCLUDED_ANSWER_HEADERS = frozenset(
    {"date", "server", "x-request-id", "x-node"}
)

UNREACHABLE = CallerError(
    ErrorCode.TICKET_UNKNOWN,
    "the node that minted the ticket did not give the whole answer",
    Outcome.UNKNOWN,
    1.0,
)


class TicketedRequestRunner:
    """Runs a request at most once for each ticket of this incarnation."""

    def __init__(self, *, path: RequestPath) -> None:
        """Creates a runner without tickets.

        Args:
          path: request path of the node.
        """
        self._path = path
        self._context = path.context
        self._table = tickets.TicketTable()
        self._runs: detachedruns.DetachedRuns[int] = detachedruns.DetachedRuns(
            path=path
        )

    @property
    def table(self) -> tickets.TicketTable:
        """The tickets that this incarnation issued."""
        return self._table

    def mint(self) -> Ticket:
        """Returns a new ticket."""
        sequence = self._table.mint(self._context.now())
        ticket = TicketId(self._context.incarnation, sequence)
        return Ticket(
            ticket=tickets.format_ticket(ticket),
            expires_s=tickets.TICKET_LIFETIME_S,
        )

    def is_own(self, ticket: TicketId) -> bool:
        """Returns whether this incarnation issued a ticket."""
        return ticket.incarnation == self._context.incarnation

    async def answer(
        self,
        sequence: int,
        request: CallerRequest,
        prepared: PreparedRequest,
        sink: AnswerSink,
    ) -> None:
        """Answers a request that carries a ticket of this incarnation.

        Args:
          sequence: sequence number of the ticket.
          request: the request.
          prepared: the validated request.
          sink: sink for the answer.
        """
        fingerprint = detachedruns.fingerprint(request)
        claim = self._table.claim(sequence, fingerprint, self._context.now())
        if claim.kind is ClaimKind.FORGOTTEN:
            detachedruns.fail(sink, detachedruns.FORGOTTEN)
        elif claim.kind is ClaimKind.MISMATCH:
            detachedruns.fail(sink, detachedruns.MISMATCH)
        elif claim.kind is ClaimKind.REPLAY:
            detachedruns.replay(claim, sink)
        elif claim.kind is ClaimKind.RUN and self._context.leaving:
            self._table.finish(sequence, outcome=Outcome.NOT_RUN)
            detachedruns.fail(sink, detachedruns.LEAVING)
        else:
            if claim.kind is ClaimKind.RUN:
                self._start(sequence, prepared)
            await self._runs.follow(sequence, request, sink)

    def _start(self, sequence: int, prepared: PreparedRequest) -> None:
        """Starts the single run of a ticket."""

        def finish(outcome: Outcome, answer: RecordedAnswer | None) -> None:
            self._table.finish(sequence, outcome=outcome, answer=answer)

        self._runs.start(sequence, prepared, finish)

    async def forward(
        self, ticket: TicketId, request: CallerRequest, sink: AnswerSink
    ) -> None:
        """Forwards a request to the node that issued its ticket.

        That node may have run the request before, so the outcome is unknown
        after any failure.

        Args:
          ticket: the ticket.
          request: the request.
          sink: sink for the answer.
        """
        address = self._context.peer_address(ticket.incarnation)
        if address is None:
            detachedruns.fail(sink, detachedruns.FORGOTTEN)
            return
        receiver = ServiceReceiver(
            method="POST",
            expected=(),
            sink=sink,
            own_headers=_EXCLUDED_ANSWER_HEADERS,
        )
        peer_request = make_peer_request(
            address, ticket, request, self._context.now()
        )
        transfer = Transfer(request=peer_request, receiver=receiver)
        sink.attach(transfer)
        result = await self._path.transmit(transfer)
        sink.attach(None)
        head = result.head
        # Nodes state where their answers end.
        if head is None or result.error or not head.is_delimited:
            detachedruns.fail(sink, UNREACHABLE)
        else:
            receiver.finish()


def make_peer_request(
    address: str, ticket: TicketId, request: CallerRequest, now: float
) -> BackendRequest:
    """Makes the request to the node that issued a ticket."""
    headers = servicecalls.copy_headers(
        request.headers, _EXCLUDED_REQUEST_HEADERS
    )
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

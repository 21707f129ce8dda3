"""What the parts of an exchange share about its request."""

from chervilrock.decisions.serving.admission.attempts import (
    Progress,
    SendOutcome,
)
from chervilrock.edges.serving.answer import ExchangeAnswer
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.connection import CallerConnection
from chervilrock.edges.serving.receiver import NO_ANSWER


class ExchangeState:
    """State of one request from its arrival to the end of the answer.

    Attributes:
      request: the request.
      request_id: its identifier.
      connection: connection for the answer.
      answer: writes the answer.
      service: service that the request is sent to, empty before its route is
        known.
      expires: latest time at which the caller gets an answer.
      progress: sends so far. Those of another node use up attempts, but only
        that node answers for them.
      last_event: last event that the caller has, empty for none.
      received: what was received of the answer to the last send.
      sent_at: time of the last send.
      expected_at: time at which a stopping node expected the answer to the last
        send to be complete, None if the node was not stopping.
      first_event: time of the first event for the caller, None before it.
      is_caller_gone: whether the caller has disconnected.
      is_shut_down: whether the request was answered as the process exits.
    """

    def __init__(
        self,
        *,
        request: CallerRequest,
        connection: CallerConnection,
        sends: int,
    ) -> None:
        """Create the state of a request that this node has not sent yet.

        Args:
          request: the request.
          connection: connection for the answer.
          sends: number of servers that another node has sent it to.
        """
        self.request = request
        self.request_id = request.facts.request_id
        self.connection = connection
        self.answer = ExchangeAnswer(connection=connection)
        self.service = ""
        self.expires = request.arrived
        self.progress = Progress(sends=sends, may_have_run=False)
        self.last_event = request.facts.last_event
        self.received = NO_ANSWER
        self.sent_at = request.arrived
        self.expected_at: float | None = None
        self.first_event: float | None = None
        self.is_caller_gone = False
        self.is_shut_down = False

    def count_attempts(self) -> int:
        """Return how many attempts are used up."""
        return self.progress.count_attempts(has_begun=self.connection.has_begun)

    def record_send(self, outcome: SendOutcome) -> None:
        """Count a send of which at least a byte was sent."""
        progress = self.progress
        is_rejected = outcome is SendOutcome.NOT_RUN
        self.progress = progress._replace(
            sends=progress.sends + 1,
            uncounted=progress.uncounted + is_rejected,
            may_have_run=progress.may_have_run or not is_rejected,
        )

    def record_run(self) -> None:
        """Record that a server may have run the request."""
        self.progress = self.progress._replace(may_have_run=True)

    def excuse_send(self) -> None:
        """Do not count the last send as an attempt."""
        progress = self.progress
        self.progress = progress._replace(uncounted=progress.uncounted + 1)

"""The answer of an exchange: what servers sent of it, or an error."""

from chervilrock.edges.heads import Head
from chervilrock.edges.relay import Transfer
from chervilrock.edges.serving.connection import CallerConnection, CutCause
from chervilrock.edges.serving.receiver import AnswerReceiver
from chervilrock.platform import headers as names

_JSON = ("Content-Type", "application/json")


class ExchangeAnswer:
    """Writes the answer to one request, once it is known.

    Attributes:
      status: status of the kept answer of a server.
    """

    def __init__(self, *, connection: CallerConnection) -> None:
        """Create an answer of which nothing is known.

        Args:
          connection: connection of the caller.
        """
        self._connection = connection
        self._body: bytes | bytearray | None = None
        self._head: Head | None = None
        self.status = 0

    @property
    def is_kept(self) -> bool:
        """Whether a server has sent an answer that was not forwarded."""
        return self._body is not None

    def keep(self, transfer: Transfer, receiver: AnswerReceiver) -> None:
        """Keep what a server sent, unless its events were forwarded."""
        if self._connection.was_ended:
            receiver.body.clear()
        elif transfer.head is not None and not receiver.is_relayed:
            self._body = receiver.body
            self._head = transfer.head
            self.status = transfer.head.status
        self._connection.record_collected(len(self._body or b""))

    def discard(self) -> None:
        """Let go of what was kept."""
        self._body = self._head = None

    def write_events(self, head: Head, events: bytes) -> None:
        """Forward complete events to the caller."""
        if self._connection.has_begun:
            self._connection.write(events)
        else:
            pairs = names.make_caller_headers(head.headers)
            self._connection.begin(head.status, pairs, events)

    def complete(self, status: int) -> bool:
        """Forward the kept answer; return False if there is none."""
        if self._head is None or self._body is None:
            return False
        pairs = names.make_caller_headers(self._head.headers)
        self._connection.answer(status, pairs, self._body)
        return True

    def fail(self, status: int, reason: str, cause: CutCause) -> None:
        """Abort the answer or send an error; the request may have run."""
        if self._connection.has_begun:
            self._connection.abort(cause)
        else:
            self._connection.answer(status, (_JSON,), _make_error(reason))

    def reject(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None,
        extra: tuple[tuple[str, str], ...],
    ) -> None:
        """Send an error; the request has not run.

        Args:
          status: HTTP status.
          reason: sentence for the caller.
          retry_after_s: seconds after which the caller may retry, None to
            leave it out.
          extra: further headers.
        """
        pairs = [_JSON, *extra]
        if retry_after_s is not None:
            pairs.append(("Retry-After", f"{retry_after_s:.2f}"))
        self._connection.answer(status, pairs, _make_error(reason))


def _make_error(reason: str) -> bytes:
    return f'{{"error":"{reason}"}}'.encode()

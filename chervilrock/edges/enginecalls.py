"""Requests to model engines and their streamed or unstreamed answers."""

import abc
from collections.abc import Callable
from typing import Any

import msgspec

from chervilrock.decisions.decoding import (
    decode_plain,
    Decoder,
    UnreadableError,
)
from chervilrock.decisions.requests import outcomes
from chervilrock.decisions.requests.attempts import Send, SendMode
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.decisions.requests.positions import (
    StreamFault,
    StreamPositions,
)
from chervilrock.decisions.routing.base import Endpoint, RequestView
from chervilrock.edges.bodies import add_continuation
from chervilrock.edges.heads import Head
from chervilrock.edges.parsing import parse_count
from chervilrock.edges.relay import BackendRequest, Receiver, TransferEnd
from chervilrock.edges.runs import ErrorReply

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_ERROR_BYTES = 64 * 1024
MAX_MESSAGE_CHARS = 500

_SUCCESSES = range(200, 300)


class _EngineError(msgspec.Struct):
    """Error object in the reply of an engine."""

    code: str | int | None = None
    message: str | None = None


class _EngineErrorBody(msgspec.Struct):
    """Body of an error reply of an engine."""

    error: _EngineError


class _WholeBody(msgspec.Struct):
    """Fields of an unstreamed answer that give its request and its length."""

    id: str
    usage: Any = None


_ERROR_DECODER = Decoder(_EngineErrorBody)
_WHOLE_DECODER = Decoder(_WholeBody)


def make_request(
    *,
    view: RequestView,
    endpoint: Endpoint,
    priority: int,
    send: Send,
    path: str,
    body: bytes,
    partial_text: str | None,
    now: float,
) -> BackendRequest:
    """Builds the HTTP request for one send to an engine.

    Args:
      view: the request.
      endpoint: group that receives it.
      priority: priority for the engine, 0 (first) to 9.
      send: the send.
      path: path of the request.
      body: body of the caller.
      partial_text: text that the caller already has, None if it is unknown.
      now: current time in seconds.
    """
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", view.request_id),
        ("X-Attempt-Id", send.attempt),
        ("X-Fence", str(endpoint.fence)),
        ("X-Priority", str(priority)),
    ]
    if send.mode is SendMode.RESUME:
        headers.append(("Last-Event-ID", f"{view.request_id}/{send.after}"))
    if send.mode is not SendMode.START and partial_text is not None:
        body = add_continuation(body, send.after, partial_text)
    return BackendRequest(
        method="POST",
        url=f"http://{endpoint.address}{path}",
        headers=tuple(headers),
        body=body,
        timeout_s=max(0.001, view.deadline - now),
        send_once=not view.idempotent,
    )


class EngineReceiver(Receiver):
    """Receives the answer to one send and classifies how it ended.

    Attributes:
      error_reply: error that the engine returned instead of an answer.
    """

    def __init__(self, *, view: RequestView, fence: int, send: Send) -> None:
        """Creates a receiver that waits for the answer to a send.

        Args:
          view: the request.
          fence: fencing number that the request carries.
          send: the send.
        """
        self._identifiers = {
            ("x-request-id", view.request_id),
            ("x-attempt-id", send.attempt),
        }
        self._expected = {*self._identifiers, ("x-fence", str(fence))}
        self._head: Head | None = None
        self._matches_send = False
        self._error_body = b""
        self.error_reply = ErrorReply()

    def handle_head(self, head: Head) -> None:
        """See base class."""
        self._head = head
        present = {(name.lower(), value) for name, value in head.headers}
        self._matches_send = (
            head.status in _SUCCESSES and self._expected <= present
        )

    def handle_data(self, data: bytes) -> None:
        """See base class."""
        if self._matches_send:
            self.handle_answer(data)
        elif len(self._error_body) < MAX_ERROR_BYTES:
            self._error_body += data
        else:
            self.fault = (
                f"the body of an error has more than {MAX_ERROR_BYTES} bytes"
            )

    @abc.abstractmethod
    def handle_answer(self, data: bytes) -> None:
        """Handles bytes of an answer whose headers match this send."""

    @abc.abstractmethod
    def judge_answer(self, whole: bool) -> AttemptEnd:
        """Returns how an answer whose headers match this send ended.

        Args:
          whole: whether the transfer ended without an error.
        """

    def judge(self, end: TransferEnd) -> AttemptEnd:
        """Returns how the send ended."""
        if self._head is None:
            return AttemptEnd.LOST if end.sent else AttemptEnd.NOT_SENT
        if self._matches_send:
            return self.judge_answer(not end.error)
        if self._head.status in _SUCCESSES or self._names_another_send():
            return AttemptEnd.FOREIGN
        self.error_reply = parse_error_reply(self._head, self._error_body)
        judged = outcomes.judge_engine_answer(
            self._head.status,
            not_run_header=has_not_run_header(self._head),
            code=self.error_reply.code,
            is_whole=not end.error
            and (self._head.is_delimited or is_json(self._error_body)),
        )
        return outcomes.judge_attempt_end(judged, repeated=end.repeated)

    def _names_another_send(self) -> bool:
        """Returns whether the answer is a late one to another send.

        Rejections may lack the identifiers that engines echo.
        """
        assert self._head is not None
        return any(
            self._head.find(name, value) != value
            for name, value in self._identifiers
        )


class StreamReceiver(EngineReceiver):
    """Forwards the events of a streamed answer as they arrive.

    Attributes:
      positions: checks and counts the positions of the events.
    """

    def __init__(
        self,
        *,
        view: RequestView,
        fence: int,
        send: Send,
        deliver: Callable[[bytes], None],
        stop: Callable[[], None],
    ) -> None:
        """Creates a receiver that waits for the answer to a send.

        Args:
          view: the request.
          fence: fencing number that the request carries.
          send: the send.
          deliver: receives complete events for the caller.
          stop: ends the transfer when its events are unusable.
        """
        super().__init__(view=view, fence=fence, send=send)
        self._deliver = deliver
        self._stop = stop
        self.positions = StreamPositions(
            request_id=view.request_id, after=send.after
        )

    def handle_answer(self, data: bytes) -> None:
        """See base class."""
        events = self.positions.feed(data)
        if events:
            self._deliver(events)
        if self.positions.fault is not None:
            self._stop()

    def judge_answer(self, whole: bool) -> AttemptEnd:
        """See base class."""
        del whole
        if self.positions.done:
            return AttemptEnd.COMPLETE
        if self.positions.fault is StreamFault.RESTARTED:
            return AttemptEnd.FOREIGN
        return AttemptEnd.BROKEN


class WholeReceiver(EngineReceiver):
    """Buffers an unstreamed answer until it is complete.

    Attributes:
      body: body of the answer.
      tokens: number of tokens that the engine reports for the answer, 0 if it
        reports none.
    """

    def __init__(
        self,
        *,
        view: RequestView,
        fence: int,
        send: Send,
        stop: Callable[[], None],
    ) -> None:
        """Creates a receiver that waits for the answer to a send.

        Args:
          view: the request.
          fence: fencing number that the request carries.
          send: the send.
          stop: ends the transfer when the answer is too large.
        """
        super().__init__(view=view, fence=fence, send=send)
        self._request_id = view.request_id
        self._stop = stop
        self._chunks: list[bytes] = []
        self._size = 0
        self.body = b""
        self.tokens = 0

    def handle_answer(self, data: bytes) -> None:
        """See base class."""
        self._chunks.append(data)
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self._stop()

    def judge_answer(self, whole: bool) -> AttemptEnd:
        """See base class."""
        if not whole:
            return AttemptEnd.BROKEN
        self.body = b"".join(self._chunks)
        try:
            answer = _WHOLE_DECODER.decode(self.body)
        except UnreadableError:
            return AttemptEnd.BROKEN
        if answer.id != self._request_id:
            return AttemptEnd.FOREIGN
        self.tokens = read_usage(answer.usage)
        return AttemptEnd.COMPLETE


def read_usage(usage: Any) -> int:
    """Returns the token count that an engine reports for an answer, else 0."""
    if not isinstance(usage, dict):
        return 0
    tokens = usage.get("completion_tokens")
    return tokens if type(tokens) is int and tokens > 0 else 0


def parse_error_reply(head: Head, body: bytes) -> ErrorReply:
    """Parses the error that an engine returned instead of an answer."""
    code = ""
    message = ""
    try:
        error = _ERROR_DECODER.decode(body).error
        code = str(error.code or "")
        message = (error.message or "")[:MAX_MESSAGE_CHARS]
    except UnreadableError:
        message = ""
    retry_after = parse_count(head.find("retry-after")) or 0
    return ErrorReply(head.status, code, message, float(retry_after))


def is_json(body: bytes) -> bool:
    """Returns whether a body is a whole JSON value."""
    try:
        decode_plain(body)
    except UnreadableError:
        return False
    return True


def has_not_run_header(head: Head) -> bool:
    """Returns whether a backend server guarantees that nothing was run."""
    return head.find("x-not-run") == "true"

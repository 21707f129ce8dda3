"""Requests to model engines and their answers, streamed or whole."""

import abc
from collections.abc import Callable
from typing import Any

import msgspec

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
from chervilrock.edges.runs import Refusal

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_ERROR_BYTES = 64 * 1024
MAX_MESSAGE_CHARS = 500

_SUCCESSES = range(200, 300)


class _EngineError(msgspec.Struct):
    """Error object of an engine."""

    code: str | int | None = None
    message: str | None = None


class _EngineErrorBody(msgspec.Struct):
    """Body of an error of an engine."""

    error: _EngineError


class _WholeBody(msgspec.Struct):
    """The part of a whole answer that shows whose it is, and its length."""

    id: str
    usage: Any = None


_ERROR_DECODER = msgspec.json.Decoder(_EngineErrorBody)
_WHOLE_DECODER = msgspec.json.Decoder(_WholeBody)


def make_request(
    *,
    view: RequestView,
    endpoint: Endpoint,
    priority: int,
    send: Send,
    path: str,
    body: bytes,
    kept_text: str | None,
    now: float,
) -> BackendRequest:
    """Makes the HTTP request for one send to an engine.

    Args:
      view: the request.
      endpoint: group that gets it.
      priority: priority for the engine, 0 (first) to 9.
      send: what is asked for.
      path: path of the request.
      body: body of the caller.
      kept_text: text that the caller has, None when it is not known.
      now: present time.
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
    if send.mode is not SendMode.START and kept_text is not None:
        body = add_continuation(body, send.after, kept_text)
    return BackendRequest(
        method="POST",
        url=f"http://{endpoint.address}{path}",
        headers=tuple(headers),
        body=body,
        timeout_s=max(0.001, view.deadline - now),
        send_once=not view.idempotent,
    )


class EngineReceiver(Receiver):
    """Takes the answer to one send and judges how it ended.

    Attributes:
      refusal: what the engine said instead of an answer.
    """

    def __init__(self, *, view: RequestView, fence: int, send: Send) -> None:
        """Waits for the answer to a send.

        Args:
          view: the request.
          fence: fencing number that the request carried.
          send: the send.
        """
        self._expected = {
            ("x-request-id", view.request_id),
            ("x-attempt-id", send.attempt),
            ("x-fence", str(fence)),
        }
        self._head: Head | None = None
        self._own = False
        self._error_body = b""
        self.refusal = Refusal()

    def take_head(self, head: Head) -> None:
        """See base class."""
        self._head = head
        present = {(name.lower(), value) for name, value in head.headers}
        self._own = head.status in _SUCCESSES and self._expected <= present

    def take_data(self, data: bytes) -> None:
        """See base class."""
        if self._own:
            self.take_answer(data)
        elif len(self._error_body) < MAX_ERROR_BYTES:
            self._error_body += data

    @abc.abstractmethod
    def take_answer(self, data: bytes) -> None:
        """Takes bytes of the answer to this very send."""

    @abc.abstractmethod
    def judge_answer(self, whole: bool) -> AttemptEnd:
        """Tells how an answer to this very send ended.

        Args:
          whole: whether the transfer ended without an error.
        """

    def judge(self, end: TransferEnd) -> AttemptEnd:
        """Tells how the send ended."""
        if self._head is None:
            return AttemptEnd.LOST if end.sent else AttemptEnd.NOT_SENT
        if self._own:
            return self.judge_answer(not end.error)
        if self._head.status in _SUCCESSES:
            return AttemptEnd.FOREIGN
        self.refusal = parse_refusal(self._head, self._error_body)
        judged = outcomes.judge_engine_answer(
            self._head.status,
            not_run_header=has_not_run_header(self._head),
            code=self.refusal.code,
        )
        return outcomes.judge_attempt_end(judged, repeated=end.repeated)


class StreamReceiver(EngineReceiver):
    """Passes the events of an answer on as they come.

    Attributes:
      positions: places of the events.
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
        """Waits for the answer to a send.

        Args:
          view: the request.
          fence: fencing number that the request carried.
          send: the send.
          deliver: takes whole events for the caller.
          stop: ends the transfer, since its events are of no use.
        """
        super().__init__(view=view, fence=fence, send=send)
        self._deliver = deliver
        self._stop = stop
        self.positions = StreamPositions(
            request_id=view.request_id, after=send.after
        )

    def take_answer(self, data: bytes) -> None:
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
    """Keeps an answer until it is whole.

    Attributes:
      body: body of the answer.
      tokens: tokens of the answer as the engine counts them, 0 when it does
        not.
    """

    def __init__(
        self,
        *,
        view: RequestView,
        fence: int,
        send: Send,
        stop: Callable[[], None],
    ) -> None:
        """Waits for the answer to a send.

        Args:
          view: the request.
          fence: fencing number that the request carried.
          send: the send.
          stop: ends the transfer, since the answer is too large.
        """
        super().__init__(view=view, fence=fence, send=send)
        self._request_id = view.request_id
        self._stop = stop
        self._chunks: list[bytes] = []
        self._size = 0
        self.body = b""
        self.tokens = 0

    def take_answer(self, data: bytes) -> None:
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
        except (msgspec.DecodeError, UnicodeDecodeError):
            return AttemptEnd.BROKEN
        if answer.id != self._request_id:
            return AttemptEnd.FOREIGN
        self.tokens = read_usage(answer.usage)
        return AttemptEnd.COMPLETE


def read_usage(usage: Any) -> int:
    """Returns the tokens of an answer as an engine counts them, else 0."""
    if not isinstance(usage, dict):
        return 0
    tokens = usage.get("completion_tokens")
    return tokens if type(tokens) is int and tokens > 0 else 0


def parse_refusal(head: Head, body: bytes) -> Refusal:
    """Reads what an engine said instead of an answer."""
    code = ""
    message = ""
    try:
        error = _ERROR_DECODER.decode(body).error
        code = str(error.code or "")
        message = (error.message or "")[:MAX_MESSAGE_CHARS]
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        message = ""
    retry_after = parse_count(head.find("retry-after")) or 0
    return Refusal(head.status, code, message, float(retry_after))


def has_not_run_header(head: Head) -> bool:
    """Tells whether a backend server proves that it did nothing."""
    return head.find("x-not-run") == "true"

"""Requests to plain services and their answers."""

from collections.abc import Iterable
import re
from typing import NamedTuple

from chervilrock.decisions.requests.attempts import Send
from chervilrock.decisions.requests.outcomes import (
    AttemptEnd,
    judge_attempt_end,
    judge_service_answer,
)
from chervilrock.decisions.routing.base import RequestView
from chervilrock.edges.heads import Head
from chervilrock.edges.parsing import parse_count
from chervilrock.edges.relay import BackendRequest, Receiver, TransferEnd
from chervilrock.edges.runs import ErrorReply
from chervilrock.edges.sinks import AnswerHead, AnswerSink

MAX_BUFFERED_BYTES = 1024 * 1024
"""An answer up to this size is buffered until it is complete; a larger one is
streamed to the caller."""

EVENT_STREAM = "text/event-stream"
_EVENT_ENDS = (b"\n\n", b"\r\r", b"\r\n\r\n")

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_REQUEST_HEADERS = frozenset(
    {
        "expect",
        "host",
        "x-attempt-id",
        "x-deadline-ms",
        "x-idempotent",
        "x-priority",
        "x-request-id",
    }
)
OWN_ANSWER_HEADERS = frozenset(
    {"date", "server", "x-attempt-id", "x-node", "x-outcome", "x-request-id"}
)
_LIBRARY_DEFAULT_HEADERS = ("Accept", "Content-Type", "User-Agent")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_NO_BODY_STATUSES = frozenset({204, 304})

Headers = tuple[tuple[str, str], ...]


class ServiceCall(NamedTuple):
    """A call to a plain service.

    Attributes:
      method: HTTP method.
      target: path and query for the backend server.
      headers: headers of the caller.
      body: body, empty for none.
    """

    method: str
    target: str
    headers: Headers
    body: bytes


def make_request(
    *,
    view: RequestView,
    call: ServiceCall,
    address: str,
    send: Send,
    now: float,
) -> BackendRequest:
    """Builds the HTTP request for one send to a backend server.

    Args:
      view: the request.
      call: the call.
      address: IP:port of the backend server.
      send: the send.
      now: current time in seconds.
    """
    headers = copy_headers(call.headers, _OWN_REQUEST_HEADERS)
    present = {name.lower() for name, _ in headers}
    for name in _LIBRARY_DEFAULT_HEADERS:
        if name.lower() not in present:
            # An empty value stops Tornado and libcurl from adding a default.
            headers.append((name, ""))
    headers.append(("X-Request-Id", view.request_id))
    headers.append(("X-Attempt-Id", send.attempt))
    return BackendRequest(
        method=call.method,
        url=f"http://{address}{call.target}",
        headers=tuple(headers),
        body=call.body if call.body or call.method == "POST" else None,
        timeout_s=max(0.001, view.deadline - now),
        send_once=not view.idempotent,
    )


def copy_headers(
    headers: Iterable[tuple[str, str]], own: frozenset[str]
) -> list[tuple[str, str]]:
    """Copies the valid end-to-end headers.

    Args:
      headers: names and values.
      own: lower-case names of the headers that this node sets itself.
    """
    headers = list(headers)
    dropped = own | _HOP_BY_HOP | list_connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and _HEADER_NAME.fullmatch(name)
        and _HEADER_VALUE.fullmatch(value)
    ]


def list_connection_options(
    headers: Iterable[tuple[str, str]],
) -> frozenset[str]:
    """Returns the header names that Connection declares as hop-by-hop."""
    options: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            options.update(part.strip().lower() for part in value.split(","))
    return frozenset(options)


def is_event_stream(head: Head) -> bool:
    """Returns whether the body of an answer is a stream of events."""
    content_type = head.find("content-type")
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM


def find_events_length(data: bytes) -> int:
    """Returns the length of the whole events at the start of some data."""
    ends = (data.rfind(end) + len(end) for end in _EVENT_ENDS if end in data)
    return max(ends, default=0)


class ServiceReceiver(Receiver):
    """Receives the answer to one send and forwards it to the caller.

    Attributes:
      error_reply: error that the backend server returned instead of an answer.
      started: whether a part of the answer was forwarded to the caller.
    """

    def __init__(
        self,
        *,
        method: str,
        expected: Headers,
        sink: AnswerSink,
        own_headers: frozenset[str] = OWN_ANSWER_HEADERS,
    ) -> None:
        """Creates a receiver that waits for the answer to a send.

        Args:
          method: HTTP method of the request.
          expected: lower-case header names and their values; an answer that
            has another value for one of them does not belong to this send.
          sink: receives the answer.
          own_headers: lower-case names of headers that are not forwarded.
        """
        self._expected = expected
        self._own_headers = own_headers
        self._is_head = method == "HEAD"
        self._sink = sink
        self._head: Head | None = None
        self._matches_send = False
        self._is_event_stream = False
        self._buffered: list[bytes] = []
        self._size = 0
        self._partial_event = b""
        self._has_event = False
        self.error_reply = ErrorReply()
        self.started = False

    def handle_head(self, head: Head) -> None:
        """See base class."""
        self._head = head
        self._is_event_stream = is_event_stream(head)
        self._matches_send = all(
            head.find(name, value) == value for name, value in self._expected
        )
        if self._is_event_stream and self._judge_head() is AttemptEnd.COMPLETE:
            self._start()

    def handle_data(self, data: bytes) -> None:
        """See base class."""
        if self.started:
            self._forward(data)
            return
        self._size += len(data)
        if self._size <= MAX_BUFFERED_BYTES:
            self._buffered.append(data)
        elif self._judge_head() is AttemptEnd.COMPLETE:
            self._buffered.append(data)
            self._start()
        else:
            self.fault = (
                f"the body of a failure has more than {MAX_BUFFERED_BYTES} "
                f"bytes, {self._size} received"
            )

    def judge(self, end: TransferEnd) -> AttemptEnd:
        """Returns how the send ended."""
        if self._head is None:
            return AttemptEnd.LOST if end.sent else AttemptEnd.NOT_SENT
        judged = self._judge_head()
        is_cut = end.error or self._ends_inside_event()
        if judged is AttemptEnd.COMPLETE and is_cut:
            return AttemptEnd.BROKEN
        return judge_attempt_end(judged, repeated=end.repeated)

    def finish(self) -> None:
        """Forwards the buffered rest of a complete answer and its end."""
        if self.started:
            if self._partial_event:
                self._sink.write(self._partial_event)
            self._sink.finish()
            return
        self.started = True
        self._sink.answer(self._make_head(whole=True), b"".join(self._buffered))

    def _forward(self, data: bytes) -> None:
        """Forwards data of a started answer, of a stream only whole events.

        An error event could not follow a part of an event.
        """
        if not self._is_event_stream:
            self._sink.write(data)
            return
        data = self._partial_event + data
        length = find_events_length(data)
        self._partial_event = data[length:]
        if length:
            self._has_event = True
            self._sink.write(data[:length])
        if len(self._partial_event) > MAX_BUFFERED_BYTES:
            self.fault = (
                f"an event has more than {MAX_BUFFERED_BYTES} bytes, "
                f"{len(self._partial_event)} received"
            )

    def _ends_inside_event(self) -> bool:
        """Returns whether a stream of unknown length has no whole last event.

        Only its connection tells where it ends, whether or not it is whole.
        """
        assert self._head is not None
        if (
            not self._is_event_stream
            or self._head.is_delimited
            or self._is_head
        ):
            return False
        return bool(self._partial_event) or not self._has_event

    def _judge_head(self) -> AttemptEnd:
        assert self._head is not None
        if not self._matches_send:
            return AttemptEnd.FOREIGN
        head = self._head
        judged = judge_service_answer(
            head.status,
            not_run_header=head.find("x-not-run") == "true",
        )
        if judged is AttemptEnd.REFUSED:
            delay_s = parse_count(head.find("retry-after")) or 0
            self.error_reply = ErrorReply(
                head.status, retry_after_s=float(delay_s)
            )
        return judged

    def _start(self) -> None:
        """Forwards the buffered data and streams the rest as it arrives."""
        self.started = True
        self._sink.start(self._make_head(whole=False))
        if self._buffered:
            self._sink.write(b"".join(self._buffered))
            self._buffered.clear()

    def _make_head(self, *, whole: bool) -> AnswerHead:
        assert self._head is not None
        headers = copy_headers(self._head.headers, self._own_headers)
        length = self._find_content_length(whole)
        if length is not None:
            headers.append(("Content-Length", length))
        return AnswerHead(
            status=self._head.status,
            headers=tuple(headers),
            events=self._is_event_stream,
        )

    def _find_content_length(self, whole: bool) -> str | None:
        """Returns the Content-Length for the caller, None if it is unknown."""
        assert self._head is not None
        if self._head.status in _NO_BODY_STATUSES:
            return None
        if self._is_head:
            return self._head.find("content-length") or None
        return str(self._size) if whole else None

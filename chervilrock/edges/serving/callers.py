"""Reads requests of callers and starts an exchange for each."""

import asyncio

from tornado import httputil
from tornado.http1connection import HTTP1Connection

from chervilrock.decisions.serving.admission.callerbuffers import (
    find_body_retry_after,
)
from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.connection import (
    CallerConnection,
    CallerMemory,
    HeldBody,
)
from chervilrock.edges.serving.context import Context
from chervilrock.edges.serving.exchange import Exchange
from chervilrock.edges.serving.unsentanswers import UnsentAnswers
from chervilrock.events import emit, Event
from chervilrock.platform import headers as names
from chervilrock.tasks.clock import read_clock

UNAVAILABLE = 503

MAX_DIGITS = 18
"""Digits of a stated length that are read; Tornado rejects such long bodies."""

LAST_LINES_S = 0.1
"""Longest time in which cut requests log their end before the process exits."""

LINGER_S = 2.0
"""Time for which the rest of a rejected body is received and discarded. If the
connection was closed at once, the caller would see a reset connection instead
of the answer."""


class CallerEdge(httputil.HTTPServerConnectionDelegate):
    """Starts an exchange for each request on the connections of callers.

    Attributes:
      exchanges: requests in progress by identifier.
      memory: counts what is held for callers.
      answers: answers that have not been sent completely.
    """

    def __init__(
        self, *, context: Context, budget: float, idle_timeout_s: float
    ) -> None:
        """Create an edge without requests.

        Args:
          context: objects that all requests of the node share.
          budget: bytes that may be held for callers, inf for any number.
          idle_timeout_s: shortest time after which an idle connection is
            closed, in seconds; the configuration may allow a longer one.
        """
        self._idle_timeout_s = idle_timeout_s
        self._context = context
        self.memory = CallerMemory(budget=budget, metrics=context.metrics)
        self._tasks: set[asyncio.Task[None]] = set()
        self.exchanges: dict[str, Exchange] = {}
        self.answers = UnsentAnswers()

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """See base class."""
        del server_conn
        if not isinstance(request_conn, HTTP1Connection):
            raise TypeError("connection is not an HTTP/1 connection")
        # Tornado starts to wait for the next request after this call.
        request_conn.params.header_timeout = self._find_idle_timeout()
        return _RequestReader(edge=self, connection=request_conn)

    def _find_idle_timeout(self) -> float:
        """Return after how many seconds an idle connection is closed.

        A request that arrives just then would be lost.
        """
        routes = self._context.state.routes
        if routes is None:
            return self._idle_timeout_s
        return max(self._idle_timeout_s, routes.configuration.limits.idle_s)

    def start(
        self, request: CallerRequest, connection: HTTP1Connection
    ) -> None:
        """Start the exchange of a request that was received completely.

        Its body was counted, and is released when no send needs it any more.
        """
        answer = self._make_answer(connection)
        body = HeldBody(size=len(request.body), memory=self.memory)
        exchange = Exchange(
            context=self._context,
            request=request,
            body=body,
            connection=answer,
        )
        connection.set_close_callback(exchange.cancel)
        task = asyncio.get_running_loop().create_task(self._run(exchange))
        body.hold(task)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reject_body(
        self, request_id: str, received: int, connection: HTTP1Connection
    ) -> None:
        """Answer a request whose body does not fit, without completing it.

        Args:
          request_id: identifier of the request.
          received: bytes of the body that were received.
          connection: connection on which the answer is written; the caller
            of this method finishes it.
        """
        self._context.metrics.count_rejected_body()
        use = self.memory.describe()
        emit(
            Event.BODY_REJECTED,
            request_id=request_id,
            received=received,
            bodies=use.bodies,
            unread=use.unread,
        )
        retry_after_s = find_body_retry_after(
            self._context.state.generator.random()
        )
        self._make_answer(connection).write_whole(
            UNAVAILABLE,
            (
                ("Content-Type", "application/json"),
                ("Retry-After", f"{retry_after_s:.2f}"),
                ("Connection", "close"),
            ),
            b'{"error":"no memory for the body"}',
        )

    def _make_answer(self, connection: HTTP1Connection) -> CallerConnection:
        state = self._context.state
        answer = CallerConnection(
            connection=connection,
            is_stopping=lambda: state.is_stopping,
            memory=self.memory,
        )
        self.answers.add(answer)
        return answer

    def record_stall(self, request_ids: tuple[str, ...], now: float) -> int:
        """Move streams away from a stalled group.

        Returns:
          How many streams continue at another group.
        """
        moved = 0
        for request_id in request_ids:
            exchange = self.exchanges.get(request_id)
            if exchange is not None and exchange.move_away(now):
                moved += 1
        return moved

    def end_at_shutdown(self) -> None:
        """Answer all requests that have no answer yet."""
        for exchange in list(self.exchanges.values()):
            exchange.end_at_shutdown()

    async def wait_for_ends(self) -> None:
        """Wait until requests whose connections were closed have ended."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=LAST_LINES_S)

    def record_exit(self, now: float) -> None:
        """Record that the process exits and closes all connections."""
        for exchange in list(self.exchanges.values()):
            exchange.record_exit(now)

    def end_silent_sends(self, now: float) -> None:
        """End sends to servers that are silent; this node is cut off."""
        for exchange in list(self.exchanges.values()):
            exchange.end_silent_send(now)

    async def _run(self, exchange: Exchange) -> None:
        self.exchanges[exchange.request_id] = exchange
        try:
            await exchange.run()
        except Exception as error:
            exchange.fail(error)
        finally:
            exchange.close()
            if self.exchanges.get(exchange.request_id) is exchange:
                del self.exchanges[exchange.request_id]


class _RequestReader(httputil.HTTPMessageDelegate):
    """Collects one request until it is complete."""

    def __init__(
        self, *, edge: CallerEdge, connection: HTTP1Connection
    ) -> None:
        self._edge = edge
        self._connection = connection
        self._chunks: list[bytes] = []
        self._counted = 0
        self._is_rejected = False
        self._linger: asyncio.TimerHandle | None = None
        self._arrived = read_clock()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """See base class."""
        if not isinstance(start_line, httputil.RequestStartLine):
            raise TypeError("start line is not a request line")
        self._arrived = read_clock()
        self._line = start_line
        self._headers = headers
        length = headers.get("Content-Length", "")
        is_number = length.isascii() and length.isdigit()
        if is_number and not self._edge.memory.fits(int(length[:MAX_DIGITS])):
            self._reject()
            if "Expect" in headers:
                # The caller sends the body only when it is asked to.
                self._end_rejected()

    def data_received(self, chunk: bytes) -> None:
        """See base class."""
        if self._is_rejected:
            return
        if self._edge.memory.add_body(len(chunk)):
            self._counted += len(chunk)
            self._chunks.append(chunk)
        else:
            self._reject()

    def finish(self) -> None:
        """See base class."""
        if self._is_rejected:
            self._end_rejected()
            return
        if self._connection.stream.closed():
            # Tornado reads what a closed connection has buffered.
            self._release()
            return
        pairs = tuple(self._headers.get_all())
        request = CallerRequest(
            method=self._line.method,
            target=self._line.path,
            host=self._headers.get("Host", ""),
            headers=pairs,
            body=b"".join(self._chunks),
            facts=names.read_request(pairs),
            arrived=self._arrived,
        )
        self._chunks.clear()
        self._edge.start(request, self._connection)

    def on_connection_close(self) -> None:
        """See base class; an incomplete request is dropped."""
        self._release()
        if self._linger is not None:
            self._linger.cancel()

    def _reject(self) -> None:
        """Answer at once, and discard the rest of the body."""
        received = self._counted
        self._release()
        self._is_rejected = True
        facts = names.read_request(tuple(self._headers.get_all()))
        self._edge.reject_body(facts.request_id, received, self._connection)
        self._linger = asyncio.get_running_loop().call_later(
            LINGER_S, self._end_rejected
        )

    def _end_rejected(self) -> None:
        """Complete the answer to a rejected request, once."""
        if self._linger is None:
            return
        self._linger.cancel()
        self._linger = None
        self._connection.finish()

    def _release(self) -> None:
        """Release the part of the body that was received."""
        self._chunks.clear()
        self._edge.memory.release_body(self._counted)
        self._counted = 0

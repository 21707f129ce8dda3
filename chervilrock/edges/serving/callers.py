"""Reads requests of callers and starts an exchange for each."""

import asyncio

from tornado import httputil
from tornado.http1connection import HTTP1Connection

from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.connection import CallerConnection
from chervilrock.edges.serving.exchange import Context, Exchange
from chervilrock.platform import headers as names
from chervilrock.tasks.clock import read_clock


class CallerEdge(httputil.HTTPServerConnectionDelegate):
    """Starts an exchange for each request on the connections of callers.

    Attributes:
      exchanges: requests in progress by identifier.
    """

    def __init__(self, *, context: Context) -> None:
        """Create an edge without requests.

        Args:
          context: objects that all requests of the node share.
        """
        self._context = context
        self._tasks: set[asyncio.Task[None]] = set()
        self.exchanges: dict[str, Exchange] = {}

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """See base class."""
        del server_conn
        if not isinstance(request_conn, HTTP1Connection):
            raise TypeError("connection is not an HTTP/1 connection")
        return _RequestReader(edge=self, connection=request_conn)

    def start(
        self, request: CallerRequest, connection: HTTP1Connection
    ) -> None:
        """Start the exchange of a request that was received completely."""
        answer = CallerConnection(
            connection=connection,
            is_stopping=self._context.state.is_stopping,
        )
        exchange = Exchange(
            context=self._context, request=request, connection=answer
        )
        connection.set_close_callback(exchange.cancel)
        task = asyncio.get_running_loop().create_task(self._run(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

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

    async def _run(self, exchange: Exchange) -> None:
        self.exchanges[exchange.request_id] = exchange
        try:
            await exchange.run()
        finally:
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

    def data_received(self, chunk: bytes) -> None:
        """See base class."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """See base class."""
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
        self._edge.start(request, self._connection)

    def on_connection_close(self) -> None:
        """See base class; an incomplete request is dropped."""
        self._chunks.clear()

"""Takes requests of callers and hands each to an exchange."""

import asyncio

from tornado import httputil
from tornado.http1connection import HTTP1Connection

from chervilrock.edges.serving.callerrequest import CallerRequest
from chervilrock.edges.serving.connection import CallerConnection
from chervilrock.edges.serving.exchange import Context, Exchange
from chervilrock.platform import headers as names
from chervilrock.tasks.clock import read_clock


class CallerEdge(httputil.HTTPServerConnectionDelegate):
    """Makes an exchange for each request on the connections of callers.

    Attributes:
      exchanges: the requests under way.
    """

    def __init__(self, *, context: Context) -> None:
        """Serve with the state of a node."""
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
            raise TypeError("not an HTTP/1 connection")
        return _RequestReader(edge=self, connection=request_conn)

    def start(
        self, request: CallerRequest, connection: HTTP1Connection
    ) -> None:
        """Begin the exchange of a request that is whole."""
        answer = CallerConnection(
            connection=connection,
            is_stopping=self._context.state.is_stopping,
        )
        exchange = Exchange(
            context=self._context, request=request, connection=answer
        )
        connection.set_close_callback(exchange.leave)
        task = asyncio.get_running_loop().create_task(self._run(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_stall(self, request_ids: tuple[str, ...], now: float) -> int:
        """Move streams away from a group that has stopped.

        Returns:
          How many could go on elsewhere.
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
    """Collects one request until it is whole."""

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
            raise TypeError("not a request")
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
        """See base class; a request that is not whole is nobody's work."""
        self._chunks.clear()

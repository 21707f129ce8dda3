"""HTTP server base of all stand-ins."""

import abc
import asyncio
from collections import Counter
from typing import Any, TypeVar
import weakref

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.standin.faults import (
    FaultKind,
    FaultOrder,
    FaultRule,
    Faults,
)

REQUEST_ID_HEADER = "X-Request-Id"
NOT_RUN_HEADER = "X-Not-Run"
MAX_BODY_BYTES = 16 * 1024 * 1024
STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503

_MS_PER_S = 1000.0
_REFUSE_RETRY_AFTER_S = "1"

_T = TypeVar("_T")

Route = tuple[str, type["StandInHandler"]]


class _Server(HTTPServer):
    """HTTP server that tracks its open connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self._streams: weakref.WeakSet[IOStream] = weakref.WeakSet()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        self._streams.add(stream)
        super().handle_stream(stream, address)

    def close_streams(self) -> None:
        for stream in list(self._streams):
            stream.close()


class StandIn(abc.ABC):
    """A stand-in that listens on a TCP port of the running event loop.

    Attributes:
      faults: faults that it injects.
      executions: how often each request identifier took effect.
      address: IP:port of the last start.
      starts: number of starts so far.
      arrivals: number of requests that arrived, whether or not they ran.
    """

    def __init__(self, *, faults: Faults | None = None) -> None:
        """Creates a stand-in that does not listen yet.

        Args:
          faults: faults to inject, none when missing.
        """
        self.faults = faults or Faults()
        self.executions: Counter[str] = Counter()
        self.address = ""
        self.starts = 0
        self.arrivals = 0
        self._server: _Server | None = None
        self._request_counts: weakref.WeakKeyDictionary[object, int] = (
            weakref.WeakKeyDictionary()
        )

    @property
    def alive(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    @abc.abstractmethod
    def _list_routes(self) -> list[Route]:
        """Returns the path patterns and their handlers."""

    async def start(self, *, address: str = "127.0.0.1", port: int = 0) -> str:
        """Starts listening.

        Args:
          address: IP address to listen on.
          port: port to listen on, 0 for any.

        Returns:
          The address as IP:port.

        Raises:
          RuntimeError: The stand-in is already listening.
          OSError: The port is not free.
        """
        if self._server is not None:
            raise RuntimeError("the stand-in listens already")
        sockets = bind_sockets(port, address, reuse_port=False)
        server = _Server(self._make_application(), max_body_size=MAX_BODY_BYTES)
        server.add_sockets(sockets)
        self._server = server
        self.address = f"{address}:{sockets[0].getsockname()[1]}"
        self.starts += 1
        self._begin()
        return self.address

    def _make_application(self) -> Application:
        routes = [
            (r"/faults", FaultsHandler),
            (r"/executions", ExecutionsHandler),
            *self._list_routes(),
        ]
        return Application(
            [(path, handler, {"standin": self}) for path, handler in routes],
            log_function=lambda _handler: None,
        )

    @abc.abstractmethod
    def _begin(self) -> None:
        """Resets the state that a new process would not have."""

    @abc.abstractmethod
    def _end(self) -> None:
        """Stops tasks and wakes all waiters after listening has stopped."""

    def kill(self) -> None:
        """Closes the listening socket and all connections at once."""
        server = self._server
        if server is None:
            return
        self._server = None
        server.stop()
        server.close_streams()
        self.faults.set_paused(False)
        self._end()

    async def stop(self) -> None:
        """Stops like `kill`, then waits until the handlers have ended."""
        server = self._server
        self.kill()
        if server is not None:
            await server.close_all_connections()

    def count_request(self, connection: object) -> int:
        """Counts a request; returns the number of its connection's requests."""
        self.arrivals += 1
        count = self._request_counts.get(connection, 0) + 1
        self._request_counts[connection] = count
        return count


class StandInHandler(RequestHandler):
    """Handler that injects the faults of its stand-in."""

    def initialize(self, standin: Any) -> None:
        """Receives the stand-in from the route arguments."""
        self.standin = standin
        self.request_count = 0
        self._generation = standin.starts

    @property
    def orphaned(self) -> bool:
        """Whether the stand-in was killed after it received the request."""
        standin: StandIn = self.standin
        return not standin.alive or standin.starts != self._generation

    def strike(self, kind: FaultKind) -> FaultRule | None:
        """Decides whether a fault applies to this request."""
        faults: Faults = self.standin.faults
        return faults.strike(kind, self.request.path, self.request.method or "")

    async def prepare(self) -> None:
        """Injects the faults that precede the effect."""
        self.request_count = self.standin.count_request(
            self.request.server_connection
        )
        await self.standin.faults.wait_resumed()
        await self.wait_fault(FaultKind.DELAY)
        if self.orphaned:
            self.cut()
        elif self.strike(FaultKind.OUTAGE):
            self.reply(STATUS_UNAVAILABLE, {"error": {"code": "outage"}})
        elif self.strike(FaultKind.REFUSE):
            self.refuse("refused")

    async def wait_fault(self, kind: FaultKind) -> None:
        """Waits if a fault with a delay applies."""
        rule = self.strike(kind)
        if rule is not None:
            await asyncio.sleep(rule.get("delay_ms", 0) / _MS_PER_S)

    def refuse(self, code: str, status: int = STATUS_UNAVAILABLE) -> None:
        """Rejects the request with X-Not-Run, the proof that nothing ran."""
        self.set_header(NOT_RUN_HEADER, "true")
        self.set_header("Retry-After", _REFUSE_RETRY_AFTER_S)
        self.reply(status, {"error": {"code": code}})

    def reply(self, status: int, body: object) -> None:
        """Sends a body as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def loses_answer(self) -> bool:
        """Decides whether the answer is lost after the effect."""
        if self.strike(FaultKind.LOSE_ANSWER):
            return True
        if self.request_count < 2:
            return False
        return self.strike(FaultKind.CLOSE_REUSED) is not None

    async def reply_after_effect(self, status: int, body: object) -> None:
        """Sends a body as JSON, after injecting the faults after the effect."""
        await self.wait_fault(FaultKind.ANSWER_LATE)
        await self.standin.faults.wait_resumed()
        if self.orphaned or self.loses_answer():
            self.cut()
        else:
            self.reply(status, body)

    def cut(self) -> None:
        """Closes the connection without sending anything more."""
        if not self._finished:
            self.detach().close()

    def decode(self, decoder: Decoder[_T]) -> _T | None:
        """Decodes the body, or answers 400 and returns None."""
        try:
            return decoder.decode(self.request.body)
        except UnreadableError as error:
            self.reply(
                STATUS_BAD_REQUEST,
                {"error": {"code": "bad_request", "message": str(error)}},
            )
            return None

    def get_number(self, name: str, default: int) -> int:
        """Returns a query argument as a number, or its default."""
        value = self.get_query_argument(name, "")
        return int(value) if value.isdecimal() else default

    async def send(self, chunk: bytes) -> bool:
        """Sends part of the answer; returns False if the connection closed."""
        try:
            self.write(chunk)
            await self.flush()
        except StreamClosedError:
            return False
        return True

    def data_received(self, chunk: bytes) -> None:
        """Never called, because Tornado buffers whole request bodies."""


class FaultsHandler(StandInHandler):
    """Sets faults; also works while the stand-in is frozen or in outage."""

    _decoder = Decoder(FaultOrder)

    async def prepare(self) -> None:
        """Injects no fault."""

    def get(self) -> None:
        """Sends the active rules."""
        self.reply(200, self.standin.faults.list_rules())

    def post(self) -> None:
        """Applies an order and sends the active rules."""
        order = self.decode(self._decoder)
        if order is not None:
            self.standin.faults.apply(order)
            self.reply(200, self.standin.faults.list_rules())


class ExecutionsHandler(StandInHandler):
    """Reports how often each request took effect."""

    async def prepare(self) -> None:
        """Injects no fault."""

    def get(self) -> None:
        """Sends the counts."""
        self.reply(200, self.standin.executions)

"""Backend servers: hosts of replica groups, and plain servers."""

import asyncio
from collections.abc import Collection, Mapping
import enum
import itertools
from types import MappingProxyType
from typing import NamedTuple
import uuid

import msgspec
from tornado import httpserver, netutil, web
from tornado.iostream import StreamClosedError

from chervilrock.decisions.decoding import decode_plain
from chervilrock.standin.site.floods import Flood, write_flood
from chervilrock.standin.site.resets import reset_connection, ResetMoment
from chervilrock.standin.site.store import SiteStore
from chervilrock.standin.site.stutters import Answer, Stutters

EVENT_INTERVAL_S = 0.01
"""Interval between stream events, and the usual time of a plain request."""

FORM_DURATION_S = 0.02
JOIN_DURATION_S = 0.02

CRASH_DELAY_S = 0.03
"""Time from the start of a crashing request to the crash of its server."""

RESTART_DELAY_S = 0.5
"""Time from the crash of a server to its restart."""

_MS_PER_S = 1000

PADDED = b"pad-"
"""Prefix of the body of a request, before the number of bytes that are added to
each event and answer."""

PATIENCE_S = 3.0
"""Time for which an event may stay unread before its stream is cut off."""


class ServerFault(enum.Enum):
    """Faults of a server.

    Attributes:
      NONE: the server works normally.
      SILENT: streams stall, and new ones send no events.
      BREAK: connections of streams close in the middle of an event.
      FAIL: plain requests are answered with status 500.
      LOSE: requests are run, but the connection is closed without an answer.
      FOREIGN: answers carry the identifier of another request.
      FULL: each request is rejected before it runs.
    """

    NONE = "none"
    SILENT = "silent"
    BREAK = "break"
    FAIL = "fail"
    LOSE = "lose"
    FOREIGN = "foreign"
    FULL = "full"


class CrashForm(enum.Enum):
    """What a server has written of an answer when it crashes.

    Attributes:
      HEADERS: the head alone.
      CHUNKED: the head and part of an event, in chunks.
      UNDELIMITED: the same with neither a length nor chunks, so that the answer
        ends with its connection.
    """

    HEADERS = "headers"
    CHUNKED = "chunked"
    UNDELIMITED = "undelimited"


class Run(NamedTuple):
    """A request that a server began to run."""

    request_id: str
    workspace: str
    has_key: bool
    deadline_ms: str
    after: int


class Crash(NamedTuple):
    """A crash of a server during a request.

    Attributes:
      server: identifier of the server before the crash.
      body: body of the request that caused the crash.
      companions: number of other requests that ran at the same time.
      time: when it happened, on the clock of the event loop.
      part: the part of the prompt that caused it, empty for none.
    """

    server: str
    body: bytes
    companions: int
    time: float
    part: str


class Arrival(NamedTuple):
    """A request that reached a server, whether or not the server ran it.

    Attributes:
      time: when it arrived, on the clock of the event loop.
      request_id: identifier of the request.
      server: identifier of the server at that time.
    """

    time: float
    request_id: str
    server: str


class Rejection(NamedTuple):
    """A request that a server rejected while it asked for a pause.

    Attributes:
      arrival: the request.
      pause: value of the header that states the pause.
    """

    arrival: Arrival
    pause: str


class ColdPeriod(NamedTuple):
    """A time in which a server warms up.

    Attributes:
      server: identifier of the server.
      begin: when it turned cold, on the clock of the event loop.
      end: when it will be warm.
    """

    server: str
    begin: float
    end: float


class SiteServer:
    """A server that registers in the store and answers over HTTP.

    Attributes:
      runs: requests that the server began to run.
      left: streams whose caller closed the connection before the end.
      running: number of requests that are running.
      streams: identifiers of the streams that are running.
      cut: streams that ran when the server left its group.
      flood: bytes without end that the server sends as an answer, None for
        proper answers.
      flooded: number of bytes that it has sent in this way, by request.
      control_flood: the same for the answers to orders and queries.
      control_flooded: number of bytes of each of these, by path.
      stutters: spoiled answers that it draws, None for proper answers.
      work_s: time that a plain request runs, in seconds.
      patience_s: time for which an event may stay unread before the server
        cuts off the stream.
      cut_off: streams that the server cut off because they stayed unread.
      orders: orders in the sequence of their arrival.
      order_count: number of orders that it has accepted since its start.
      resets: when the connections of requests are reset, None while they are
        not.
      control_resets: the same for the connections of orders and reports.
      lost_orders: number of next orders that are carried out but not
        answered.
      crashing_bodies: bodies of requests that crash any server that runs
        them.
      crashing_parts: parts of prompts that crash any server that begins to
        answer them, and how; the last part of a prompt never does.
      crashes: crashes of the server so far.
      limit: the limit that the server reports in its answers, empty for none.
      pause: the pause that the server asks for when it rejects a request,
        empty for none.
      to_reject: number of next requests that are rejected.
      leaving: value of the header by which the server says in all answers
        that it leaves, empty to leave it out.
      arrivals: requests that arrived, rejected ones included.
      rejections: requests that were rejected with a pause.
      warmup_s: time for which it is cold after a restart, in seconds.
      cold_periods: times in which it was cold.
      warmup_statement: value that its entry states instead of the rest of the
        warm-up in milliseconds, None to state that.
    """

    def __init__(
        self,
        *,
        store: SiteStore,
        service: str,
        domain: str = "",
        data_centre: str = "a",
        crashing_bodies: Collection[bytes] = (),
        crashing_parts: Mapping[str, CrashForm] = MappingProxyType({}),
    ) -> None:
        """Create a server that does not listen yet."""
        self.server = f"i-{uuid.uuid4().hex[:10]}"
        self.service = service
        self.domain = domain
        self.data_centre = data_centre
        self.fault = ServerFault.NONE
        self.flood: Flood | None = None
        self.flooded: dict[str, int] = {}
        self.control_flood: Flood | None = None
        self.control_flooded: dict[str, list[int]] = {}
        self.stutters: Stutters | None = None
        self.crashing_bodies = crashing_bodies
        self.crashing_parts = crashing_parts
        self.crashes: list[Crash] = []
        self.runs: list[Run] = []
        self.left: list[str] = []
        self.limit = ""
        self.pause = ""
        self.to_reject = 0
        self.leaving = ""
        self.arrivals: list[Arrival] = []
        self.rejections: list[Rejection] = []
        self.warmup_s = 0.0
        self.cold_periods: list[ColdPeriod] = []
        self.warmup_statement: object = None
        self.orders: list[dict[str, object]] = []
        self.order_count = 0
        self.resets: ResetMoment | None = None
        self.control_resets: ResetMoment | None = None
        self.lost_orders = 0
        self.is_leaving = False
        self.staged: list[str] = []
        self.group: dict[str, object] | None = None
        self.highest_epoch = -1
        self.work_s = EVENT_INTERVAL_S
        self.patience_s = PATIENCE_S
        self.cut_off: list[str] = []
        self.born = 1_700_000_000_000
        self._sequence = itertools.count(1)
        self._store = store
        self._http: httpserver.HTTPServer | None = None
        self._port = 0
        self._is_down = False
        self._restart: asyncio.Task[None] | None = None
        self.running = 0
        self.streams: set[str] = set()
        self.cut: list[str] = []
        self.address = ""

    def start(self) -> None:
        """Listen on loopback and register."""
        self._listen(0)
        self.register()

    def _listen(self, port: int) -> None:
        options = {"server": self}
        application = web.Application(
            [
                web.url(r"/report", _ReportHandler, options),
                web.url(r"/order", _OrderHandler, options),
                web.url(r"/health", _HealthHandler, options),
                web.url(r"/.*", _RequestHandler, options),
            ],
            log_function=lambda _handler: None,
        )
        sockets = netutil.bind_sockets(port, "127.0.0.1")
        self._port = sockets[0].getsockname()[1]
        if not self.address:
            self.address = f"127.0.0.1:{self._port}"
        self._http = httpserver.HTTPServer(application)
        self._http.add_sockets(sockets)

    async def _listen_again(self) -> None:
        """Listen on the former port as soon as it is free.

        An outgoing connection may have taken it while the server was down.
        """
        while True:
            try:
                self._listen(self._port)
            except OSError:
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return

    async def stop(self) -> None:
        """Close all connections without notice, as a crash does."""
        restart = self._restart
        if restart is not None and restart is not asyncio.current_task():
            restart.cancel()
        if self._http is not None:
            self._http.stop()
            await self._http.close_all_connections()

    def crash(self, body: bytes, part: str = "") -> None:
        """Crash, and restart after a delay under a new identifier."""
        if self._is_down:
            return
        self._is_down = True
        self.crashes.append(
            Crash(
                server=self.server,
                body=body,
                companions=self.running - 1,
                time=asyncio.get_running_loop().time(),
                part=part,
            )
        )
        self._restart = asyncio.get_running_loop().create_task(
            self._restart_after_crash()
        )

    @property
    def is_head(self) -> bool:
        """Whether the server is the head of an open group."""
        group = self.group
        return group is not None and (group["state"], group["rank"]) == (
            "open",
            0,
        )

    def depart(self, *, keeps_identifier: bool = False) -> None:
        """Exit, and restart after a delay.

        Args:
          keeps_identifier: whether it restarts under the same identifier and
            with a later start time, instead of under a new identifier.
        """
        if self._is_down:
            return
        self._is_down = True
        self._restart = asyncio.get_running_loop().create_task(
            self._restart_after_crash(keeps_identifier=keeps_identifier)
        )

    def turn_cold(self, seconds: float) -> None:
        """Warm up for a time, and state it in the entry."""
        now = asyncio.get_running_loop().time()
        self.cold_periods.append(ColdPeriod(self.server, now, now + seconds))
        self.register()

    def list_cold_arrivals(self, period: ColdPeriod) -> list[float]:
        """Return when requests arrived in a time in which it was cold."""
        return [
            arrival.time
            for arrival in self.arrivals
            if arrival.server == period.server
            and period.begin <= arrival.time < period.end
        ]

    def _find_warmup_left_ms(self) -> object:
        if self.warmup_statement is not None:
            return self.warmup_statement
        if not self.cold_periods:
            return 0
        now = asyncio.get_running_loop().time()
        return max(0, round((self.cold_periods[-1].end - now) * 1000))

    async def _restart_after_crash(
        self, *, keeps_identifier: bool = False
    ) -> None:
        await self.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        self.born += round(RESTART_DELAY_S * _MS_PER_S)
        if keeps_identifier:
            self._sequence = itertools.count(1)
        else:
            self.unregister()
            self.server = f"i-{uuid.uuid4().hex[:10]}"
        self.group = None
        self.highest_epoch = -1
        self.order_count = 0
        self.staged = []
        self.fault = ServerFault.NONE
        self.to_reject = 0
        self.leaving = ""
        self.is_leaving = False
        await self._listen_again()
        self._is_down = False
        if self.warmup_s:
            self.turn_cold(self.warmup_s)
        else:
            self.register()

    def register(self) -> None:
        """Write the entry of this server to the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "slots": 4,
            "version": "v1",
            "state": "draining" if self.is_leaving else "ready",
            "sequence": next(self._sequence),
            "warmup_left_ms": self._find_warmup_left_ms(),
            "born": self.born,
            "staged": self.staged,
        }
        if self.domain:
            entry["domain"] = self.domain
            entry["group"] = self.group
        value = msgspec.json.encode(entry)
        self._store.topic("keyed.servers").append(self.server, value)

    def unregister(self) -> None:
        """Remove the entry of this server from the store."""
        self._store.topic("keyed.servers").append(self.server, b"")

    def leave(self) -> None:
        """Report that the server drains and will accept no new requests."""
        self.is_leaving = True
        self.register()

    def record_arrival(self, request_id: str) -> Arrival:
        """Record a request that arrived now."""
        now = asyncio.get_running_loop().time()
        arrival = Arrival(now, request_id, self.server)
        self.arrivals.append(arrival)
        return arrival

    def reject(self, arrival: Arrival) -> bool:
        """Return whether to reject a request, and record a stated pause."""
        is_rejected = self.fault is ServerFault.FULL or self.to_reject > 0
        if is_rejected:
            self.to_reject = max(0, self.to_reject - 1)
            if self.pause:
                self.rejections.append(Rejection(arrival, self.pause))
        return is_rejected

    def obey(self, order: dict[str, object]) -> int:
        """Carry out an order and return the HTTP status of the answer."""
        self.orders.append(order)
        if order.get("expected") not in (None, self.order_count):
            return 409
        status = self._carry_out(order)
        has_ended = status == 200 and order.get("op") in ("leave", "close")
        self.order_count += status == 202 or has_ended
        return status

    def _carry_out(self, order: dict[str, object]) -> int:
        kind = order.get("op")
        if kind == "stage":
            return self._stage(str(order.get("model")))
        epoch = order.get("epoch")
        if not isinstance(epoch, int):
            return 400
        if kind == "join":
            return self._join(order, epoch)
        group = self.group
        if group is None or group["epoch"] != epoch:
            return 409
        if kind == "leave":
            self.cut += self.streams
            self.group = None
            self.register()
            return 200
        if kind == "close":
            self.group = group | {"state": "closing"}
            self.finish_closing()
            self.register()
            return 200
        if kind != "open":
            return 400
        if group["state"] == "open":
            return 200
        if group["state"] != "ready":
            return 409
        self.group = group | {"state": "open"}
        self.register()
        return 202

    def finish_closing(self) -> None:
        """Leave the closing state when no stream is running any more."""
        group = self.group
        if group is None or group["state"] != "closing" or self.streams:
            return
        self.group = group | {"state": "ready"}
        self.register()

    def _stage(self, model: str) -> int:
        if model in self.staged:
            return 200
        self.staged = [model]
        self.register()
        return 202

    def _join(self, order: dict[str, object], epoch: int) -> int:
        members = order.get("members")
        if not isinstance(members, list) or self.server not in members:
            return 400
        group = self.group
        if group is not None and group["epoch"] == epoch:
            return 202 if group["state"] == "joining" else 200
        if epoch < self.highest_epoch:
            return 412
        self.highest_epoch = epoch
        self.staged = [str(order.get("model"))]
        self.group = {
            "name": order.get("group"),
            "epoch": epoch,
            "rank": members.index(self.server),
            "state": "joining",
        }
        loop = asyncio.get_running_loop()
        loop.call_later(JOIN_DURATION_S, self._finish_join, epoch)
        return 202

    def _finish_join(self, epoch: int) -> None:
        group = self.group
        if group is not None and group["epoch"] == epoch:
            self.group = group | {"state": "ready"}
            self.register()


class _Handler(web.RequestHandler):
    def initialize(self, server: SiteServer) -> None:
        """Set the server that answers the request."""
        self.server = server

    def prepare(self) -> None:
        """State the limit of the server, and that it leaves, in each answer."""
        if self.server.limit:
            self.set_header("Server-Limit", self.server.limit)
        if self.server.leaving:
            self.set_header("Server-Leaving", self.server.leaving)

    def reset_if(self, is_due: bool) -> bool:
        """Reset the connection if that is due; return whether it was."""
        if is_due:
            reset_connection(self)
        return is_due

    def reject_misdirected(self) -> bool:
        """Reject a request meant for another server; return whether it was."""
        expected = self.request.headers.get("X-Expect-Instance", "")
        if not expected or expected == self.server.server:
            return False
        self.set_status(421)
        self.set_header("X-Instance-Id", self.server.server)
        self.finish()
        return True


class _ControlHandler(_Handler):
    async def prepare(self) -> None:  # type: ignore[override]
        """Answer with bytes without end if the server does so."""
        super().prepare()
        server = self.server
        if server.control_flood is not None:
            self.clear_header("Content-Length")
            headers = list(self._headers.get_all())
            sizes = server.control_flooded.setdefault(self.request.path, [])
            stream = self.detach()
            sizes.append(
                await write_flood(stream, server.control_flood, headers)
            )


class _ReportHandler(_ControlHandler):
    def get(self) -> None:
        """Answer with the status of the server."""
        if self.reset_if(self.server.control_resets is not None):
            return
        server = self.server
        self.finish(
            {
                "born": server.born,
                "staged": server.staged,
                "group": server.group,
                "sequence": server.order_count,
                "running": 0,
                "waiting": 0,
                "pace": 1.0,
            }
        )


class _HealthHandler(_Handler):
    def get(self) -> None:
        """Answer a status check."""
        if self.reject_misdirected():
            return
        self.set_status(503 if self.server.is_leaving else 200)
        self.set_header("X-Instance-Id", self.server.server)
        self.finish()


class _OrderHandler(_ControlHandler):
    def post(self) -> None:
        """Carry out an order."""
        if self.reject_misdirected():
            return
        moment = self.server.control_resets
        if self.reset_if(moment is ResetMoment.READ):
            return
        status = self.server.obey(decode_plain(self.request.body))
        if self.server.lost_orders > 0:
            self.server.lost_orders -= 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if self.reset_if(moment is ResetMoment.DONE):
            return
        self.set_status(status)
        self.finish()


class _RequestHandler(_Handler):
    _is_closed = False
    _stream_request_id = ""

    def on_connection_close(self) -> None:
        """Record that the caller has closed the connection."""
        self._is_closed = True
        if self._stream_request_id:
            self.server.left.append(self._stream_request_id)

    async def get(self) -> None:
        """Run a request."""
        if self.reject_misdirected():
            return
        server = self.server
        headers = self.request.headers
        request_id = headers.get("X-Request-Id", "")
        if server.reject(server.record_arrival(request_id)):
            self.set_status(503)
            self.set_header("X-Not-Executed", "1")
            if server.pause:
                self.set_header("Retry-After", server.pause)
            self.finish()
            return
        run = Run(
            request_id=request_id,
            workspace=headers.get("X-Tenant", ""),
            has_key="Api-Key" in headers,
            deadline_ms=headers.get("X-Deadline-Ms", ""),
            after=int(headers.get("Last-Event-Id", "0") or 0),
        )
        if server.fault is ServerFault.LOSE:
            server.runs.append(run)
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if self.reset_if(server.resets is ResetMoment.READ):
            # Whoever sent it cannot know that it was not run.
            server.runs.append(run)
            return
        self.clear_header("Date")
        self.set_header("X-Request-Id", request_id)
        if server.fault is ServerFault.FOREIGN:
            self.set_header("X-Request-Id", "ffff")
        self.set_header("X-Server-Stamp", f"{server.server}.{request_id}")
        server.running += 1
        try:
            if server.flood is not None:
                await self._flood(run, server.flood)
            elif "X-Model" in headers:
                await self._stream(run)
            else:
                await self._answer(run)
        finally:
            server.running -= 1
            server.streams.discard(request_id)
            server.finish_closing()

    post = get

    async def _answer(self, run: Run) -> None:
        self.server.runs.append(run)
        await asyncio.sleep(self.server.work_s)
        if self._is_crashing():
            await self._crash()
            return
        if self.server.fault is ServerFault.FAIL:
            self.set_status(500)
        if self.reset_if(self.server.resets is ResetMoment.DONE):
            return
        padding = b"." * self._find_padding()
        body = b"answer to " + run.request_id.encode() + padding
        if not await self._stutter(run, [body]):
            self.finish(body)

    async def _stream(self, run: Run) -> None:
        server = self.server
        if server.group is None or server.group["state"] != "open":
            self.set_status(503)
            self.set_header("X-Not-Executed", "1")
            self.finish()
            return
        server.runs.append(run)
        server.streams.add(run.request_id)
        self._stream_request_id = run.request_id
        self.set_header("Content-Type", "text/event-stream")
        if self.reset_if(server.resets is ResetMoment.DONE):
            return
        if self._is_crashing():
            await self.flush()
            await self._crash()
            return
        part = self._find_crashing_part()
        if part:
            await self._crash_while_answering(part)
            return
        events = int(
            self.request.headers.get("X-Token-Count", "1,5").split(",")[1]
        )
        numbers = range(run.after + 1, events + 1)
        if await self._stutter(
            run, [self._make_event(run, n) for n in numbers]
        ):
            return
        for number in numbers:
            await self._wait_for_event()
            if self._is_closed:
                return
            event = self._make_event(run, number)
            if server.fault is ServerFault.BREAK and number > 2:
                self.write(event[: len(event) // 2])
                await self.flush()
                self.request.connection.stream.close()  # type: ignore[union-attr]
                return
            self.write(event)
            try:
                await asyncio.wait_for(self.flush(), server.patience_s)
            except StreamClosedError:
                # The caller closed the connection before the event was sent.
                return
            except TimeoutError:
                server.cut_off.append(run.request_id)
                self.request.connection.stream.close()  # type: ignore[union-attr]
                return
        self.finish()

    def _make_event(self, run: Run, number: int) -> bytes:
        padding = "." * self._find_padding()
        data = f"{run.request_id}-{number}{padding}"
        return f"id: {number}\ndata: {data}\n\n".encode()

    async def _stutter(self, run: Run, pieces: list[bytes]) -> bool:
        """Spoil the answer if that is drawn; return whether it was."""
        stutters = self.server.stutters
        stutter = stutters and stutters.draw(run.request_id)
        if not stutters or not stutter:
            return False
        is_stream = "X-Model" in self.request.headers
        self.clear_header("Content-Length")
        headers = tuple(self._headers.get_all())
        answer = Answer(headers, tuple(pieces), is_stream)
        await stutters.write(self.detach(), stutter, answer)
        return True

    async def _flood(self, run: Run, flood: Flood) -> None:
        self.server.runs.append(run)
        if "X-Model" in self.request.headers:
            self.set_header("Content-Type", "text/event-stream")
        self.clear_header("Content-Length")
        headers = list(self._headers.get_all())
        written = await write_flood(self.detach(), flood, headers)
        self.server.flooded[run.request_id] = written

    def _find_padding(self) -> int:
        """Return how many bytes the request adds to each event or answer."""
        body = self.request.body
        is_padded = body.startswith(PADDED)
        return int(body.removeprefix(PADDED)) if is_padded else 0

    def _is_crashing(self) -> bool:
        return self.request.body in self.server.crashing_bodies

    def _find_crashing_part(self) -> str:
        """Return the part of the prompt that crashes the server, if any."""
        listed = self.request.headers.get("X-Prompt-Prefix", "").split(",")
        parts = [entry.partition(":")[0].strip() for entry in listed[:-1]]
        crashing = self.server.crashing_parts
        return next((part for part in parts if part in crashing), "")

    async def _crash_while_answering(self, part: str) -> None:
        """Crash after the begin of an answer, as soon as it is written."""
        await asyncio.sleep(CRASH_DELAY_S)
        form = self.server.crashing_parts[part]
        if self._is_closed:
            return
        partial = b"id: 1\nda"
        if form is CrashForm.UNDELIMITED:
            head = b"HTTP/1.1 200 OK\r\n" + b"".join(
                f"{name}: {value}\r\n".encode()
                for name, value in self._headers.get_all()
            )
            stream = self.detach()
            await stream.write(head + b"\r\n" + partial)
            self.server.crash(self.request.body, part)
            stream.close()
            return
        if form is CrashForm.CHUNKED:
            self.write(partial)
        await self.flush()
        self.server.crash(self.request.body, part)
        while not self._is_closed:
            await asyncio.sleep(EVENT_INTERVAL_S)

    async def _crash(self) -> None:
        await asyncio.sleep(CRASH_DELAY_S)
        self.server.crash(self.request.body)
        while not self._is_closed:
            await asyncio.sleep(EVENT_INTERVAL_S)

    async def _wait_for_event(self) -> None:
        await asyncio.sleep(EVENT_INTERVAL_S)
        while self.server.fault is ServerFault.SILENT and not self._is_closed:
            await asyncio.sleep(EVENT_INTERVAL_S)

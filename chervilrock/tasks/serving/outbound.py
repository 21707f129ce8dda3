"""Calls of a node to the store, to servers and to other nodes.

Each call is a task of its own; its end comes back as a message, so that the
task that knows the installation never waits.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result

from chervilrock.clients.errors import PlatformError
from chervilrock.clients.httpclient import HttpAnswer, HttpClient
from chervilrock.clients.serving import (
    EngineControl,
    KeyedStore,
    ServerLiveness,
    Topic,
)
from chervilrock.decisions.serving.effects import Command
from chervilrock.decisions.serving.paces import Pace
from chervilrock.decisions.serving.site import (
    BackendServer,
    SiteConfiguration,
)
from chervilrock.decisions.serving.suspects import EndReport, Suspect
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    LeaderEntry,
    NodeEntry,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.mailbox import Outbox
from chervilrock.tasks.serving.follower import Following, TopicFollower
from chervilrock.tasks.serving.messages import (
    ClaimAnswered,
    DocumentRead,
    EndsAnswered,
    LimitHeard,
    Message,
    OrderAnswered,
    PeerAnswered,
    RegistrationAnswered,
    ServerAnswered,
    ServerChecked,
    SuspectWritten,
)
from chervilrock.tasks.serving.peermessages import (
    decode_acknowledgement,
    HEADERS,
)

NODE_PREFIX = "node/"
LEADER_KEY = "leader"
SUSPECT_PREFIX = "withheld/"

ORDER_TIMEOUT_S = 0.5
"""Longest time for the answer to an order; servers answer in some
milliseconds, and orders without an answer are repeated."""

REPORT_TIMEOUT_S = 0.2
"""Longest time for a server's report; a sound server answers within some
milliseconds, also when it is busy."""

PEER_TIMEOUT_S = 0.6
"""Longest time for the answer of another node."""

ENDS_TIMEOUT_S = 0.3
"""Longest time for the leader to take a report of ended servers: until then
nobody else knows of them."""

DOCUMENT_TIMEOUT_S = 2.0
"""Longest time for another node's configuration, which can be large."""

REGISTER_RETRY_S = 0.5
"""Pause after an attempt to register that failed."""

Decode = Callable[[bytes], Result[SiteConfiguration, str]]
DecodeServer = Callable[[str, bytes], Result[BackendServer, str]]


class Ports(NamedTuple):
    """What a node reaches the outside by.

    Attributes:
      store: the store.
      engines: backend servers.
      client: client for other nodes.
      decode_configuration: reads a document of the operator.
      decode_server: reads the entry of a server.
      liveness: tells whether backend servers live.
    """

    store: KeyedStore
    engines: EngineControl
    client: HttpClient
    decode_configuration: Decode
    decode_server: DecodeServer
    liveness: ServerLiveness


class Outbound:
    """Starts calls and sends what comes of them to a mailbox."""

    def __init__(self, *, ports: Ports, outbox: Outbox[Message]) -> None:
        """Call by some ports.

        Args:
          ports: store, servers and other nodes.
          outbox: gets the ends of the calls.
        """
        self._ports = ports
        self._outbox = outbox
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Give all calls up."""
        for task in self._tasks:
            task.cancel()

    def follow(
        self, topic: Topic, choose_pace: Callable[[], Pace]
    ) -> Following:
        """Follow a topic of the store.

        Args:
          topic: what to follow.
          choose_pace: returns how often to read, before each read.
        """
        follower = TopicFollower(
            store=self._ports.store,
            topic=topic,
            choose_pace=choose_pace,
            outbox=self._outbox,
        )
        return Following(follower=follower, start=self._start)

    def register(self, own: NodeEntry) -> None:
        """Write the record of this node."""
        self._start(self._write_node(own))

    def claim(self, entry: LeaderEntry, end: int) -> None:
        """Claim to lead if nothing was written since an offset."""
        self._start(self._write_claim(entry, end))

    def order(self, command: Command) -> None:
        """Give an order to a server."""
        self._start(self._send_order(command))

    def ask(self, server: BackendServer) -> None:
        """Ask a server for its state."""
        self._start(self._ask_server(server))

    def announce(self, entry: NodeEntry, body: bytes) -> "asyncio.Task[None]":
        """Send a node an encoded announcement."""
        return self._start(self._announce(entry, body))

    def tell_silence(self, leader: NodeEntry, group: str) -> None:
        """Tell the leader that the streams of a group have stopped."""
        self._start(self._tell_silence(leader, group))

    def tell_limit(self, leader: NodeEntry, heard: LimitHeard) -> None:
        """Tell the leader what a server says of its limit."""
        self._start(self._tell_limit(leader, heard))

    def check_server(self, server: str, address: str) -> None:
        """Find out whether a server whose connection broke still lives."""
        self._start(self._check_server(server, address))

    def tell_ends(self, entry: NodeEntry, report: EndReport) -> None:
        """Tell a node under which requests servers have ended."""
        self._start(self._tell_ends(entry, report))

    def write_suspect(self, content: str, suspect: Suspect | None) -> None:
        """Keep a request that is withheld in the store, or drop it there."""
        self._start(self._write_suspect(content, suspect))

    def fetch_document(self, holder: NodeEntry) -> None:
        """Get the configuration of another node."""
        self._start(self._read_document(holder))

    def _start(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _write_node(self, own: NodeEntry) -> None:
        key = f"{NODE_PREFIX}{own.node}"
        value = msgspec.json.encode(own)
        result = await self._ports.store.append(Topic.NODES, key, value, None)
        offset = None if isinstance(result, Failure) else result.unwrap()
        if offset is None:
            # Registering twice does no harm; the record is the same.
            await asyncio.sleep(REGISTER_RETRY_S)
        await self._outbox.send(RegistrationAnswered(offset))

    async def _write_claim(self, entry: LeaderEntry, end: int) -> None:
        value = msgspec.json.encode(entry)
        result = await self._ports.store.append(
            Topic.NODES, LEADER_KEY, value, end
        )
        # Who leads is only believed when it is read back.
        is_answered = not isinstance(result, Failure)
        is_overtaken = is_answered and result.unwrap() is None
        await self._outbox.send(ClaimAnswered(is_answered, is_overtaken))

    async def _send_order(self, command: Command) -> None:
        result = await self._ports.engines.send_order(
            command.server, command.order, ORDER_TIMEOUT_S
        )
        failed = isinstance(result, Failure)
        detail = result.failure().message if failed else ""
        reply = None if failed else result.unwrap()
        await self._outbox.send(
            OrderAnswered(command.server.server, command.order, reply, detail)
        )

    async def _ask_server(self, server: BackendServer) -> None:
        result = await self._ports.engines.fetch_report(
            server, REPORT_TIMEOUT_S
        )
        report = None if isinstance(result, Failure) else result.unwrap()
        await self._outbox.send(ServerAnswered(server.server, report))

    async def _announce(self, entry: NodeEntry, body: bytes) -> None:
        result = await self._ports.client.request(
            "POST",
            f"http://{entry.peer_address}/peer/announcement",
            timeout_s=PEER_TIMEOUT_S,
            body=body,
            headers=HEADERS,
            decompress=True,
        )
        acknowledgement = _read_acknowledgement(result)
        await self._outbox.send(
            PeerAnswered(entry.incarnation, acknowledgement)
        )

    async def _tell(
        self,
        entry: NodeEntry,
        path: str,
        body: bytes,
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> bool:
        """Send a node a report; tell whether it took it."""
        result = await self._ports.client.request(
            "POST",
            f"http://{entry.peer_address}/peer/{path}",
            timeout_s=timeout_s,
            body=body,
        )
        if isinstance(result, Failure):
            emit(
                Event.PEER_UNREACHABLE,
                address=entry.peer_address,
                reason=result.failure().message,
            )
        return not isinstance(result, Failure)

    async def _tell_silence(self, leader: NodeEntry, group: str) -> None:
        # If it fails, the next acknowledgement tells it again.
        await self._tell(leader, f"silence/{group}", b"{}")

    async def _tell_limit(self, leader: NodeEntry, heard: LimitHeard) -> None:
        # If it fails, it is told again until the leader tells all nodes.
        await self._tell(leader, "limit", msgspec.json.encode(heard))

    async def _check_server(self, server: str, address: str) -> None:
        is_alive = await self._ports.liveness.is_alive(address)
        await self._outbox.send(ServerChecked(server, is_alive))

    async def _tell_ends(self, entry: NodeEntry, report: EndReport) -> None:
        body = msgspec.json.encode(report)
        is_taken = await self._tell(entry, "ends", body, ENDS_TIMEOUT_S)
        await self._outbox.send(
            EndsAnswered(entry.incarnation, report, is_taken)
        )

    async def _write_suspect(
        self, content: str, suspect: Suspect | None
    ) -> None:
        value = b"" if suspect is None else msgspec.json.encode(suspect)
        result = await self._ports.store.append(
            Topic.NODES, f"{SUSPECT_PREFIX}{content}", value, None
        )
        is_written = not isinstance(result, Failure)
        if not is_written:
            await asyncio.sleep(REGISTER_RETRY_S)
        await self._outbox.send(
            SuspectWritten(content, suspect is not None, is_written)
        )

    async def _read_document(self, holder: NodeEntry) -> None:
        result = await self._ports.client.request(
            "GET",
            f"http://{holder.peer_address}/peer/configuration",
            timeout_s=DOCUMENT_TIMEOUT_S,
            decompress=True,
        )
        if not isinstance(result, Failure):
            document = result.unwrap().body
            await self._outbox.send(DocumentRead(document, holder.node))


def _read_acknowledgement(
    result: Result[HttpAnswer, PlatformError],
) -> Acknowledgement | None:
    """Return the answer of a node, None when there is no usable one."""
    if isinstance(result, Failure):
        return None
    return decode_acknowledgement(result.unwrap().body)

"""Calls of a node to the store, to servers and to other nodes.

Each call runs in its own asyncio task. Its outcome comes back as a message, so
that the main task of the node never waits for I/O.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, TypeVar

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
from chervilrock.decisions.serving.admission.suspects import (
    CrashReport,
    Suspect,
)
from chervilrock.decisions.serving.groups.effects import Command
from chervilrock.decisions.serving.nodes.leadercontact import ContactAnswer
from chervilrock.decisions.serving.nodes.reachability import (
    PROBE_TIMEOUT_S,
    ProbeRound,
    ProbeTarget,
)
from chervilrock.decisions.serving.servers.evacuations import EvacuationRecord
from chervilrock.decisions.serving.site import (
    BackendServer,
    SiteConfiguration,
)
from chervilrock.decisions.serving.store.polling import PollSchedule
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    LeaderEntry,
    NodeEntry,
)
from chervilrock.events import emit, Event
from chervilrock.tasks.mailbox import Outbox
from chervilrock.tasks.serving.faults import Faults, Work
from chervilrock.tasks.serving.follower import FollowerTask, TopicFollower
from chervilrock.tasks.serving.messages import (
    ClaimAnswered,
    ContactsAnswered,
    CrashReportAnswered,
    DocumentRead,
    Message,
    OrderAnswered,
    PeerAnswered,
    RegistrationAnswered,
    ServerAnswered,
    ServerChecked,
    ServersProbed,
    StatementReport,
    SuspectWritten,
)
from chervilrock.tasks.serving.peermessages import (
    decode_acknowledgement,
    decode_contact,
    EncodedMessage,
    EXTENSION,
    HEADERS,
    name_statement,
)

NODE_PREFIX = "node/"
LEADER_KEY = "leader"
SUSPECT_PREFIX = "withheld/"

ORDER_TIMEOUT_S = 0.5
"""Timeout of an order to a server. Servers answer within some milliseconds, and
unanswered orders are sent again."""

STATUS_TIMEOUT_S = 0.2
"""Timeout of a status query to a server. A healthy server answers within some
milliseconds, also under load."""

PEER_TIMEOUT_S = 0.6
"""Timeout of a request to another node."""

CONTACT_TIMEOUT_S = 0.3
"""Timeout of a question about the leader. Nodes answer within some
milliseconds. With one timeout for the leader and one for the other nodes, a
node that starts knows after 0.6 s that the leader is lost."""

CONTACT_PATH = "leader"
"""Name of that question in the path of the peer interface."""

CRASH_REPORT_TIMEOUT_S = 0.3
"""Timeout of a crash report to the leader. No other node has the report until
the leader accepts it."""

DOCUMENT_TIMEOUT_S = 2.0
"""Timeout of a request for another node's configuration, which can be large."""

MAX_ACKNOWLEDGEMENT_BYTES = 4 * 1024 * 1024
"""Most bytes of the answer to an announcement, which may sum up the answers of
all nodes to which it was relayed."""

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
"""Most bytes of another node's configuration, decompressed."""

STORE_RETRY_S = 0.5
"""Pause after a failed attempt to write a record of this node or of a withheld
request to the store."""

_T = TypeVar("_T")

Decode = Callable[[bytes], Result[SiteConfiguration, str]]
DecodeServer = Callable[[str, bytes], Result[BackendServer, str]]
DecodeEvacuation = Callable[[str, bytes], EvacuationRecord | None]


def _decode_no_evacuation(_key: str, _value: bytes) -> None:
    return None


class Ports(NamedTuple):
    """Interfaces of a node to other systems.

    Attributes:
      store: the store.
      engines: backend servers.
      client: HTTP client for other nodes.
      decode_configuration: decodes a configuration document.
      decode_server: decodes the entry of a server.
      liveness: checks whether backend servers are alive.
      decode_evacuation: decodes a record of the configuration topic that
        evacuates a data centre; None for another record.
    """

    store: KeyedStore
    engines: EngineControl
    client: HttpClient
    decode_configuration: Decode
    decode_server: DecodeServer
    liveness: ServerLiveness
    decode_evacuation: DecodeEvacuation = _decode_no_evacuation


class Outbound:
    """Starts calls and sends their outcomes to a mailbox."""

    def __init__(
        self, *, ports: Ports, outbox: Outbox[Message], faults: Faults
    ) -> None:
        """Create an object without pending calls.

        Args:
          ports: clients for the store, servers and other nodes.
          outbox: receives the outcomes of the calls.
          faults: records the faults of calls.
        """
        self._faults = faults
        self._ports = ports
        self._outbox = outbox
        self._tasks: set[asyncio.Task[Any]] = set()

    def close(self) -> None:
        """Cancel all pending calls."""
        for task in self._tasks:
            task.cancel()

    def follow(
        self, topic: Topic, choose_schedule: Callable[[], PollSchedule]
    ) -> FollowerTask:
        """Start to follow a topic of the store.

        The function is called before each read and returns the polling
        schedule.
        """
        follower = TopicFollower(
            store=self._ports.store,
            topic=topic,
            choose_schedule=choose_schedule,
            outbox=self._outbox,
            faults=self._faults,
        )
        return FollowerTask(follower=follower, start=self._start)

    def register(self, own: NodeEntry) -> None:
        """Write the record of this node to the store."""
        self._start(self._write_node(own))

    def claim(self, entry: LeaderEntry, end: int) -> None:
        """Claim leadership, unless a record was written since an offset."""
        self._start(self._write_claim(entry, end))

    def ask_contacts(
        self, term: int, asked: tuple[NodeEntry, ...], *, is_leader: bool
    ) -> None:
        """Ask nodes about the leader of a term, or the leader itself."""
        self._start(self._ask_contacts(term, asked, is_leader))

    def order(self, command: Command) -> None:
        """Send an order to a server."""
        self._start(self._send_order(command))

    def query_status(self, server: BackendServer) -> None:
        """Query the status of a server."""
        self._start(self._query_server(server))

    def announce(
        self, entry: NodeEntry, message: EncodedMessage
    ) -> "asyncio.Task[None]":
        """Send an encoded announcement to a node."""
        return self._start(self._announce(entry, message))

    def send_stall_report(self, leader: NodeEntry, group: str) -> None:
        """Report to the leader that the streams of a group have stalled."""
        self._start(self._send_stall_report(leader, group))

    def send_statement(
        self, leader: NodeEntry, report: StatementReport
    ) -> None:
        """Report to the leader what a server states of itself."""
        self._start(self._send_statement(leader, report))

    def check_server(
        self,
        server: str,
        address: str,
        references: tuple[ProbeTarget, ...] = (),
    ) -> None:
        """Check whether a server whose connection broke is still alive.

        Args:
          server: identifier of the server.
          address: IP:port.
          references: other servers. If none of them answers either, the cause
            may be the link of this node.
        """
        self._start(self._check_server(server, address, references))

    def probe_servers(
        self, targets: tuple[ProbeTarget, ...], began: float
    ) -> None:
        """Find out whether this node reaches any of some servers."""
        self._start(self._probe_servers(targets, began))

    def send_crash_report(self, entry: NodeEntry, report: CrashReport) -> None:
        """Report crashed servers and the requests that they ran to a node."""
        self._start(self._send_crash_report(entry, report))

    def write_suspect(self, content: str, suspect: Suspect | None) -> None:
        """Write the record of a withheld request, or clear it for None."""
        self._start(self._write_suspect(content, suspect))

    def fetch_document(self, holder: NodeEntry) -> None:
        """Fetch the configuration of another node."""
        self._start(self._fetch_document(holder))

    def _start(self, work: Coroutine[Any, Any, _T]) -> "asyncio.Task[_T]":
        name = getattr(work, "__qualname__", None)
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._record_end)
        return task

    def _record_end(self, task: "asyncio.Task[Any]") -> None:
        """Forget a call, and record the exception that ended it."""
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, Exception):
            self._faults.record(Work.CALL, task.get_name(), error)

    async def _write_node(self, own: NodeEntry) -> None:
        key = f"{NODE_PREFIX}{own.node}"
        value = msgspec.json.encode(own)
        result = await self._ports.store.append(Topic.NODES, key, value, None)
        offset = None if isinstance(result, Failure) else result.unwrap()
        if offset is None:
            # Registration is idempotent: a second record is identical.
            await asyncio.sleep(STORE_RETRY_S)
        await self._outbox.send(RegistrationAnswered(offset))

    async def _write_claim(self, entry: LeaderEntry, end: int) -> None:
        value = msgspec.json.encode(entry)
        result = await self._ports.store.append(
            Topic.NODES, LEADER_KEY, value, end
        )
        # A claim takes effect only when its record is read back.
        is_answered = not isinstance(result, Failure)
        is_outdated = is_answered and result.unwrap() is None
        await self._outbox.send(ClaimAnswered(is_answered, is_outdated))

    async def _ask_contacts(
        self, term: int, asked: tuple[NodeEntry, ...], is_leader: bool
    ) -> None:
        answers = await asyncio.gather(
            *(self._ask_contact(entry) for entry in asked)
        )
        await self._outbox.send(
            ContactsAnswered(term, is_leader, tuple(answers))
        )

    async def _ask_contact(self, entry: NodeEntry) -> ContactAnswer:
        result = await self._ports.client.request(
            "GET",
            f"http://{entry.peer_address}/peer/{CONTACT_PATH}",
            timeout_s=CONTACT_TIMEOUT_S,
        )
        if isinstance(result, Failure):
            return ContactAnswer(is_answered=False)
        return ContactAnswer(True, decode_contact(result.unwrap().body))

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

    async def _query_server(self, server: BackendServer) -> None:
        result = await self._ports.engines.fetch_report(
            server, STATUS_TIMEOUT_S
        )
        report = None if isinstance(result, Failure) else result.unwrap()
        await self._outbox.send(ServerAnswered(server.server, report))

    async def _announce(
        self, entry: NodeEntry, message: EncodedMessage
    ) -> None:
        headers = HEADERS
        if message.extension:
            headers = {**HEADERS, EXTENSION: message.extension}
        result = await self._ports.client.request(
            "POST",
            f"http://{entry.peer_address}/peer/announcement",
            timeout_s=PEER_TIMEOUT_S,
            body=message.body,
            headers=headers,
            decompress=True,
            wanted_header=EXTENSION,
            max_bytes=MAX_ACKNOWLEDGEMENT_BYTES,
        )
        acknowledgement = _read_acknowledgement(result)
        await self._outbox.send(
            PeerAnswered(entry.incarnation, acknowledgement)
        )

    async def _post_report(
        self,
        entry: NodeEntry,
        path: str,
        body: bytes,
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> bool:
        """Send a report to a node; return whether it was answered."""
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

    async def _send_stall_report(self, leader: NodeEntry, group: str) -> None:
        # If this fails, the next acknowledgement repeats the report.
        await self._post_report(leader, f"silence/{group}", b"{}")

    async def _send_statement(
        self, leader: NodeEntry, report: StatementReport
    ) -> None:
        # Reports that matter are repeated until the leader announces them.
        body = msgspec.json.encode(report)
        await self._post_report(leader, name_statement(report), body)

    async def _check_server(
        self,
        server: str,
        address: str,
        references: tuple[ProbeTarget, ...],
    ) -> None:
        # Begun together, so that a cut does not end between the checks, and
        # that the next request with this content finds the crash recorded.
        reaches_others = self._start(self._reaches_any(references))
        is_alive = await self._ports.liveness.is_alive(address)
        if not is_alive and references:
            is_alive = not await reaches_others
        await self._outbox.send(ServerChecked(server, is_alive))

    async def _probe_servers(
        self, targets: tuple[ProbeTarget, ...], began: float
    ) -> None:
        is_reached = await self._reaches_any(targets)
        probes = ProbeRound(len(targets), is_reached, began)
        await self._outbox.send(ServersProbed(probes))

    async def _reaches_any(self, targets: tuple[ProbeTarget, ...]) -> bool:
        """Return whether one of the servers answers, as soon as one does.

        A probe that fails unexpectedly is recorded as a fault, and counts as
        unanswered: without a result, no further round would begin.
        """
        waiting = {self._start(self._is_reached(target)) for target in targets}
        while waiting:
            ended, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            if any(not one.exception() and one.result() for one in ended):
                return True
        return False

    async def _is_reached(self, target: ProbeTarget) -> bool:
        if not (target.is_head or target.status_path):
            return await self._ports.liveness.is_alive(target.address)
        return await self._ports.engines.is_reached(
            target.server, target.address, target.status_path, PROBE_TIMEOUT_S
        )

    async def _send_crash_report(
        self, entry: NodeEntry, report: CrashReport
    ) -> None:
        body = msgspec.json.encode(report)
        is_accepted = await self._post_report(
            entry, "ends", body, CRASH_REPORT_TIMEOUT_S
        )
        await self._outbox.send(
            CrashReportAnswered(entry.incarnation, report, is_accepted)
        )

    async def _write_suspect(
        self, content: str, suspect: Suspect | None
    ) -> None:
        value = b"" if suspect is None else msgspec.json.encode(suspect.stored)
        result = await self._ports.store.append(
            Topic.NODES, f"{SUSPECT_PREFIX}{content}", value, None
        )
        is_written = not isinstance(result, Failure)
        if not is_written:
            await asyncio.sleep(STORE_RETRY_S)
        await self._outbox.send(
            SuspectWritten(content, suspect is not None, is_written)
        )

    async def _fetch_document(self, holder: NodeEntry) -> None:
        result = await self._ports.client.request(
            "GET",
            f"http://{holder.peer_address}/peer/configuration",
            timeout_s=DOCUMENT_TIMEOUT_S,
            decompress=True,
            max_bytes=MAX_DOCUMENT_BYTES,
        )
        if not isinstance(result, Failure):
            document = result.unwrap().body
            await self._outbox.send(DocumentRead(document, holder.node))


def _read_acknowledgement(
    result: Result[HttpAnswer, PlatformError],
) -> Acknowledgement | None:
    """Return the acknowledgement of a node, None for no valid answer."""
    if isinstance(result, Failure):
        return None
    answer = result.unwrap()
    return decode_acknowledgement(answer.body, answer.header)

"""The task that exchanges digests with other nodes."""

import abc
import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from chervilrock import events
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.httpclient import check_status, HttpClient
from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.decisions.membership.exchange import Message, PeerExchange
from chervilrock.decisions.membership.links import PeerLinks
from chervilrock.decisions.membership.localconfiguration import (
    LocalConfiguration,
    ShareTracker,
)
from chervilrock.decisions.membership.losses import LossDetector
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.decisions.membership.validation import is_valid_digest
from chervilrock.generated.interfaces import PeerDigest
from chervilrock.tasks.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

__all__ = [
    "LocalConfiguration",
    "HttpPeerChannel",
    "PeerChannel",
    "PeerTask",
    "ShareTracker",
    "decode_digest",
]

MAX_DIGEST_BYTES = 64 * 1024 * 1024
"""Most bytes of a digest, which may hold a configuration."""

EXCHANGE_TIMEOUT_S = 1.0
IMMEDIATE_POLL_S = 0.1
"""Interval of the checks for urgent updates."""

MAX_RUNNING_EXCHANGES = 8
"""Maximum number of concurrent exchanges that this node starts."""

_DIGEST_DECODER = Decoder(PeerDigest)


class PeerChannel(abc.ABC):
    """Sends a digest to a peer and returns the digest of the peer."""

    @abc.abstractmethod
    async def exchange(
        self, address: str, digest: PeerDigest
    ) -> Result[PeerDigest, PlatformError]:
        """Exchange digests with the node at an address."""


class HttpPeerChannel(PeerChannel):
    """Exchanges digests as JSON over HTTP."""

    def __init__(self, *, http: HttpClient) -> None:
        self._http = http

    async def exchange(
        self, address: str, digest: PeerDigest
    ) -> Result[PeerDigest, PlatformError]:
        """See base class."""
        result = await self._http.request(
            "POST",
            f"http://{address}/peer/exchange",
            timeout_s=EXCHANGE_TIMEOUT_S,
            body=msgspec.json.encode(digest),
            max_bytes=MAX_DIGEST_BYTES,
        )
        return result.bind(check_status).bind(
            lambda answer: decode_digest(answer.body)
        )


def decode_digest(body: bytes) -> Result[PeerDigest, PlatformError]:
    """Decode a digest; a malformed one is a failure, never an exception."""
    try:
        digest = _DIGEST_DECODER.decode(body)
    except UnreadableError as error:
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, str(error)))
    if not is_valid_digest(digest):
        message = "a value of the digest is out of bounds"
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, message))
    return Success(digest)


class PeerTask:
    """Exchanges digests with peers and answers theirs."""

    def __init__(
        self,
        *,
        table: MemberTable,
        channel: PeerChannel,
        localconfiguration: LocalConfiguration,
        shares: ShareTracker,
        seeds: tuple[str, ...],
        clock: Clock,
        generator: "random.Random",
        before_exchange: "Callable[[], None]",
    ) -> None:
        """Create a task without exchanges.

        Args:
          table: table of the nodes; only this task changes it
          channel: transports digests
          localconfiguration: provides the configuration in force
          shares: counts the requests of bounded workspaces
          seeds: addresses of nodes from the settings
          clock: the clock of this process
          generator: chooses peers
          before_exchange: updates the entry of this node in the table
        """
        self._table = table
        self._channel = channel
        self._clock = clock
        self._before_exchange = before_exchange
        self._losses = LossDetector()
        self._running: set[asyncio.Task[None]] = set()
        self._error: BaseException | None = None
        self._links = PeerLinks(table=table, seeds=seeds, generator=generator)
        self._exchange = PeerExchange(
            table=table,
            links=self._links,
            localconfiguration=localconfiguration,
            shares=shares,
            generator=generator,
        )

    async def run(self) -> None:
        """Exchange until cancelled."""
        try:
            while True:
                self.begin()
                await self._wait(self._clock() + self._exchange.next_pause())
        finally:
            for task in self._running:
                task.cancel()

    def record_controller(self, address: str) -> None:
        """Add the controller that the log names as another seed."""
        self._links.record_controller(address)

    def begin(self) -> None:
        """Start the exchanges of an interval."""
        self._before_exchange()
        now = self._clock()
        messages = self._exchange.begin(now)
        self._log_changes(now)
        self._start(messages)

    def begin_immediate(self) -> None:
        """Start an exchange at once if there are urgent updates."""
        if self._running or not self._exchange.is_immediate_due():
            return
        self._before_exchange()
        message = self._exchange.begin_immediate(self._clock())
        if message is not None:
            self._start((message,))

    def raise_error(self) -> None:
        """Raise the error that ended an exchange, if there is one."""
        if self._error is not None:
            raise self._error

    async def wait_until_idle(self) -> None:
        """Wait until no exchange is in progress."""
        while self._running:
            await asyncio.gather(*self._running)

    async def announce(self) -> None:
        """Send the entry of this node to all neighbours at once."""
        self._before_exchange()
        messages = self._exchange.announce(self._clock())
        await asyncio.gather(*(self._run_exchange(m) for m in messages))

    def answer(self, digest: PeerDigest) -> PeerDigest:
        """Apply the digest of a peer and return the digest of this node."""
        return self._exchange.answer(digest, self._clock())

    async def _wait(self, until: float) -> None:
        """Wait for the next interval, checking for urgent updates."""
        while (remaining_s := until - self._clock()) > 0:
            await asyncio.sleep(min(remaining_s, IMMEDIATE_POLL_S))
            self.raise_error()
            self.begin_immediate()

    def _start(self, messages: Iterable[Message]) -> None:
        for message in messages:
            if len(self._running) >= MAX_RUNNING_EXCHANGES:
                return
            task = asyncio.create_task(self._run_exchange(message))
            self._running.add(task)
            task.add_done_callback(self._record_completion)

    def _record_completion(self, task: "asyncio.Task[None]") -> None:
        """Record the error of an exchange, so that `run` raises it."""
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._error = task.exception()

    async def _run_exchange(self, message: Message) -> None:
        """Exchange with a peer until both have all updates."""
        next_message: Message | None = message
        while next_message is not None:
            next_message = await self._send(next_message)

    async def _send(self, message: Message) -> Message | None:
        result = await self._channel.exchange(message.address, message.digest)
        now = self._clock()
        if isinstance(result, Failure):
            self._exchange.fail(message, now)
            return None
        return self._exchange.finish(message, result.unwrap(), now)

    def _log_changes(self, now: float) -> None:
        changes = self._losses.observe(self._table.live(now))
        for peer in changes.lost:
            events.emit(
                events.Event.PEER_LOST, node=peer.node, address=peer.address
            )
        for peer in changes.recovered:
            events.emit(
                events.Event.PEER_BACK, node=peer.node, address=peer.address
            )

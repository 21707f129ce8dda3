"""The task that exchanges what nodes know with other nodes."""

import abc
import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from chervilrock import events
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.httpclient import check_status, HttpClient
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

EXCHANGE_TIMEOUT_S = 1.0
PROMPT_POLL_S = 0.1
"""Time between two looks for urgent news."""

MAX_OUTSTANDING = 8
"""Exchanges under way that this node began, above which it begins none."""

_DIGEST_DECODER = msgspec.json.Decoder(PeerDigest)


class PeerChannel(abc.ABC):
    """Carries a digest to a peer and its digest back."""

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
        )
        return result.bind(check_status).bind(
            lambda answer: decode_digest(answer.body)
        )


def decode_digest(body: bytes) -> Result[PeerDigest, PlatformError]:
    """Read a digest; a malformed one is an error, never an exception."""
    try:
        digest = _DIGEST_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
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
        """Make the task.

        Args:
          table: the nodes; this task alone changes it
          channel: carries digests
          localconfiguration: holds the configuration in force
          shares: counts the requests of bounded workspaces
          seeds: addresses of nodes from the settings
          clock: the clock of this process
          generator: chooses peers
          before_exchange: brings the own entry of the table up to date
        """
        self._table = table
        self._channel = channel
        self._clock = clock
        self._before_exchange = before_exchange
        self._losses = LossDetector()
        self._under_way: set[asyncio.Task[None]] = set()
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
            for task in self._under_way:
                task.cancel()

    def record_controller(self, address: str) -> None:
        """Take the controller that the log names as one more seed."""
        self._links.record_controller(address)

    def begin(self) -> None:
        """Begin the exchanges of an interval."""
        self._before_exchange()
        now = self._clock()
        messages = self._exchange.begin(now)
        self._log_changes(now)
        self._start(messages)

    def begin_immediate(self) -> None:
        """Begin an exchange at once, if there is urgent news."""
        if self._under_way or not self._exchange.is_immediate_due():
            return
        self._before_exchange()
        message = self._exchange.begin_immediate(self._clock())
        if message is not None:
            self._start((message,))

    def raise_error(self) -> None:
        """Raise the error that ended an exchange, if there is one."""
        if self._error is not None:
            raise self._error

    async def settle(self) -> None:
        """Wait until no exchange is under way."""
        while self._under_way:
            await asyncio.gather(*self._under_way)

    async def announce(self) -> None:
        """Tell all neighbours of the own entry at once."""
        self._before_exchange()
        messages = self._exchange.announce(self._clock())
        await asyncio.gather(*(self._run_exchange(m) for m in messages))

    def answer(self, digest: PeerDigest) -> PeerDigest:
        """Take a digest of a peer and return the own one."""
        return self._exchange.answer(digest, self._clock())

    async def _wait(self, until: float) -> None:
        """Wait for the next interval, looking out for urgent news."""
        while (left := until - self._clock()) > 0:
            await asyncio.sleep(min(left, PROMPT_POLL_S))
            self.raise_error()
            self.begin_immediate()

    def _start(self, messages: Iterable[Message]) -> None:
        for message in messages:
            if len(self._under_way) >= MAX_OUTSTANDING:
                return
            task = asyncio.create_task(self._run_exchange(message))
            self._under_way.add(task)
            task.add_done_callback(self._record_end)

    def _record_end(self, task: "asyncio.Task[None]") -> None:
        """Keep the error of an exchange, so that `run` ends with it."""
        self._under_way.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._error = task.exception()

    async def _run_exchange(self, message: Message) -> None:
        """Exchange with a peer until neither lacks anything."""
        following: Message | None = message
        while following is not None:
            following = await self._send(following)

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

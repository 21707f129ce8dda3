"""The task that exchanges what nodes know with other nodes."""

import abc
import asyncio
from collections.abc import Iterable
from typing import Protocol, TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.decisions.membership.exchange import choose_peer
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.generated.interfaces import NodeUse, PeerDigest
from chervilrock.generated.records import StoredRecord
from chervilrock.platform.errors import PlatformError, PlatformErrorKind
from chervilrock.platform.httpclient import check_status, HttpClient
from chervilrock.tasks.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

EXCHANGE_TIMEOUT_S = 1.0

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
        return Success(_DIGEST_DECODER.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, str(error)))


def decode_configuration(digest: PeerDigest) -> StoredRecord | None:
    """Return the configuration record that a digest carries, if any."""
    raw = digest.get("configuration")
    if raw is None:
        return None
    try:
        return msgspec.convert(raw, StoredRecord)
    except msgspec.ValidationError:
        return None


class ConfigurationShelf(abc.ABC):
    """Where the peer task finds and leaves accepted configurations."""

    @abc.abstractmethod
    def current(self) -> StoredRecord | None:
        """Return the record of the configuration in force."""

    @abc.abstractmethod
    def adopt(self, stored: StoredRecord, now: float) -> None:
        """Take over a record that a peer handed on, if it is newer."""

    @property
    @abc.abstractmethod
    def revision(self) -> int:
        """Revision of the configuration in force, 0 for none."""


class ShareBook(Protocol):
    """Counts the requests of bounded workspaces at all nodes."""

    def shares(self, now: float) -> tuple[NodeUse, ...]:
        """Return what this node and its peers run."""

    def observe_peer_shares(self, uses: Iterable[NodeUse], now: float) -> None:
        """Learn what peers run."""

    def observe_members(self, members: Iterable[str], now: float) -> None:
        """Learn which nodes may run requests, reachable or not."""


class PeerTask:
    """Exchanges digests with one peer an interval and answers theirs."""

    def __init__(
        self,
        *,
        table: MemberTable,
        channel: PeerChannel,
        shelf: ConfigurationShelf,
        shares: ShareBook,
        seeds: tuple[str, ...],
        clock: Clock,
        generator: "random.Random",
        interval_s: float,
        before_exchange: "Callable[[], None]",
    ) -> None:
        """Make the task.

        Args:
          table: the nodes; this task alone changes it
          channel: carries digests
          shelf: holds the configuration in force
          shares: counts the requests of bounded workspaces
          seeds: addresses of nodes from the settings
          clock: the clock of this process
          generator: chooses peers
          interval_s: time between two exchanges in seconds
          before_exchange: brings the own entry of the table up to date
        """
        self._table = table
        self._channel = channel
        self._shelf = shelf
        self._shares = shares
        self._seeds = seeds
        self._clock = clock
        self._generator = generator
        self._interval_s = interval_s
        self._before_exchange = before_exchange

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            await self.exchange_once()
            await asyncio.sleep(self._interval_s)

    async def exchange_once(self) -> None:
        """Exchange with one peer, and hand on a newer configuration."""
        self._table.beat()
        self._before_exchange()
        now = self._clock()
        self._table.forget(now)
        self._shares.observe_members(
            [peer.node for peer, _ in self._table.known(now)], now
        )
        peer = choose_peer(self._table, self._seeds, now, self._generator)
        if peer is None:
            return
        answer = await self._send(peer, with_configuration=False)
        if answer is not None and answer["revision"] < self._shelf.revision:
            await self._send(peer, with_configuration=True)

    async def announce(self) -> None:
        """Tell every live node of the own entry at once."""
        self._table.beat()
        self._before_exchange()
        own = self._table.own.address
        addresses = {
            peer.address for peer in self._table.live(self._clock())
        } - {own}
        await asyncio.gather(
            *(self._send(a, with_configuration=False) for a in addresses)
        )

    def answer(self, digest: PeerDigest) -> PeerDigest:
        """Take a digest of a peer and return the own one."""
        self._receive(digest)
        lacks = digest["revision"] < self._shelf.revision
        return self._make_digest(with_configuration=lacks)

    async def _send(
        self, address: str, *, with_configuration: bool
    ) -> PeerDigest | None:
        digest = self._make_digest(with_configuration=with_configuration)
        result = await self._channel.exchange(address, digest)
        if isinstance(result, Failure):
            return None
        answer = result.unwrap()
        self._receive(answer)
        return answer

    def _receive(self, digest: PeerDigest) -> None:
        now = self._clock()
        self._table.merge(digest["nodes"], now)
        self._shares.observe_peer_shares(digest.get("shares", ()), now)
        stored = decode_configuration(digest)
        if stored is not None:
            self._shelf.adopt(stored, now)

    def _make_digest(self, *, with_configuration: bool) -> PeerDigest:
        now = self._clock()
        digest = PeerDigest(
            nodes=self._table.digest(now),
            revision=self._shelf.revision,
            shares=self._shares.shares(now),
        )
        current = self._shelf.current()
        if with_configuration and current is not None:
            digest["configuration"] = current
        return digest

"""Stand-in of the platform: log service, host list and weight store."""

import asyncio
from collections.abc import Callable, Mapping
import math
import time
from typing import NamedTuple, TypedDict
from urllib.parse import unquote

import msgspec

from chervilrock.clients.base import ModelEntry
from chervilrock.decisions.decoding import Decoder
from chervilrock.generated.interfaces import HostEntry, HostList, ServiceEntry
from chervilrock.standin.budget import Budget
from chervilrock.standin.faults import Faults
from chervilrock.standin.lag import LaggedValue
from chervilrock.standin.log import LogStream
from chervilrock.standin.server import Route, StandIn, StandInHandler

_DEFAULT_READ_LIMIT = 1000
_MAX_WAIT_MS = 60_000
_MS_PER_S = 1000.0
_STATUS_TOO_MANY_REQUESTS = 429
_STATUS_NOT_FOUND = 404


class PlatformOptions(NamedTuple):
    """Options of the platform stand-in.

    Attributes:
      keep_count: records kept in each stream.
      keep_s: time in seconds that a record is kept.
      appends_per_s: append requests granted per second, 0 for no limit.
      host_lag_s: delay in seconds before a host list change is visible.
      weight_bytes_per_s: shard bytes granted per second, 0 for no limit.
      weight_burst_bytes: bytes granted at once after an idle time.
    """

    keep_count: int = 100_000
    keep_s: float = math.inf
    appends_per_s: float = 0.0
    host_lag_s: float = 0.0
    weight_bytes_per_s: float = 0.0
    weight_burst_bytes: float = 0.0


class _Hosts(NamedTuple):
    hosts: tuple[HostEntry, ...]
    services: tuple[ServiceEntry, ...]


class TrimOrder(TypedDict):
    """Body of `POST /trim`."""

    stream: str
    first_offset: int


class PlatformStandIn(StandIn):
    """Log service, host list and weight store on one address.

    Its data survives `kill` and the next `start`, as the data of the platform
    does.
    """

    def __init__(
        self,
        *,
        options: PlatformOptions | None = None,
        models: Mapping[str, ModelEntry] | None = None,
        clock: Callable[[], float] = time.monotonic,
        faults: Faults | None = None,
    ) -> None:
        """Creates a platform with empty streams.

        Args:
          options: sizes, rates and lags; no limits when missing.
          models: models in the weight store by name.
          clock: source of the current time in seconds.
          faults: faults to inject.
        """
        super().__init__(faults=faults)
        self.options = options or PlatformOptions()
        self.clock = clock
        self.models = dict(models or {})
        self._streams: dict[str, LogStream] = {}
        self._changed = asyncio.Event()
        now = clock()
        self._hosts = LaggedValue(
            value=_Hosts((), ()), lag_s=self.options.host_lag_s, now=now
        )
        self._append_budget = _make_budget(
            self.options.appends_per_s, self.options.appends_per_s, now
        )
        self._weight_budget = _make_budget(
            self.options.weight_bytes_per_s,
            self.options.weight_burst_bytes,
            now,
        )

    def _list_routes(self) -> list[Route]:
        return [
            (r"/log/([^/]+)", _LogHandler),
            (r"/hosts", _HostsHandler),
            (r"/weights", _CatalogueHandler),
            (r"/weights/([^/]+)/([^/]+)/(\d+)", _ShardHandler),
            (r"/trim", _TrimHandler),
        ]

    def _begin(self) -> None:
        pass

    def _end(self) -> None:
        self._wake()

    def _wake(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def get_stream(self, name: str) -> LogStream:
        """Returns a stream, which is created if it does not exist."""
        if name not in self._streams:
            self._streams[name] = LogStream(
                keep_count=self.options.keep_count, keep_s=self.options.keep_s
            )
        stream = self._streams[name]
        stream.expire(self.clock())
        return stream

    def append(
        self, name: str, records: tuple[msgspec.Raw, ...]
    ) -> tuple[int, ...]:
        """Appends records and wakes the waiting long polls."""
        offsets = self.get_stream(name).append(records, self.clock())
        self._wake()
        return offsets

    def take_append(self) -> float:
        """Consumes one append from the budget; returns the wait in seconds."""
        if self._append_budget is None:
            return 0.0
        return self._append_budget.take(1.0, self.clock())

    async def wait_records(self, name: str, start: int, wait_s: float) -> None:
        """Waits at most `wait_s` seconds until a stream holds an offset."""
        try:
            async with asyncio.timeout(wait_s):
                while self.alive and self.get_stream(name).next_offset <= start:
                    await self._changed.wait()
        except TimeoutError:
            return

    def set_hosts(
        self,
        hosts: tuple[HostEntry, ...],
        services: tuple[ServiceEntry, ...] = (),
    ) -> None:
        """Replaces the host list; the change is visible after the lag."""
        self._hosts.set(_Hosts(hosts, services), self.clock())

    def add_hosts(
        self,
        hosts: tuple[HostEntry, ...],
        services: tuple[ServiceEntry, ...] = (),
    ) -> None:
        """Adds entries to the host list, or replaces existing ones."""
        newest = self._hosts.newest
        hosts_by_name = {entry["host"]: entry for entry in newest.hosts}
        hosts_by_name |= {entry["host"]: entry for entry in hosts}
        services_by_key = {_make_key(entry): entry for entry in newest.services}
        services_by_key |= {_make_key(entry): entry for entry in services}
        self.set_hosts(
            tuple(hosts_by_name.values()), tuple(services_by_key.values())
        )

    def list_hosts(self) -> HostList:
        """Returns the host list as callers see it now."""
        visible = self._hosts.get(self.clock())
        return HostList(
            hosts=visible.hosts,
            services=visible.services,
            age_ms=int(self._hosts.lag_s * _MS_PER_S),
        )

    def take_shard(self, entry: ModelEntry, size: int) -> float:
        """Consumes a shard from the budget; returns the wait in seconds."""
        if self._weight_budget is None:
            return 0.0
        return self._weight_budget.take(entry["bytes"] / size, self.clock())


def _make_key(entry: ServiceEntry) -> tuple[str, str]:
    return entry["service"], entry["address"]


def _make_budget(rate: float, burst: float, now: float) -> Budget | None:
    if rate <= 0:
        return None
    return Budget(rate=rate, burst=max(burst, 1.0), now=now)


class _PlatformHandler(StandInHandler):
    standin: PlatformStandIn

    def reply_busy(self, wait_s: float) -> None:
        self.set_header("Retry-After", str(math.ceil(wait_s)))
        self.reply(_STATUS_TOO_MANY_REQUESTS, {"error": {"code": "rate"}})


class _LogHandler(_PlatformHandler):
    _decoder = Decoder(tuple[msgspec.Raw, ...])

    async def post(self, name: str) -> None:
        records = self.decode(self._decoder)
        if records is None:
            return
        wait_s = self.standin.take_append()
        if wait_s > 0:
            self.reply_busy(wait_s)
            return
        copies = tuple(record.copy() for record in records)
        offsets = self.standin.append(unquote(name), copies)
        await self.reply_after_effect(200, {"offsets": offsets})

    async def get(self, name: str) -> None:
        stream_name = unquote(name)
        start = self.get_number("from", 1)
        wait_ms = min(self.get_number("wait_ms", 0), _MAX_WAIT_MS)
        if wait_ms > 0:
            await self.standin.wait_records(
                stream_name, start, wait_ms / _MS_PER_S
            )
        stream = self.standin.get_stream(stream_name)
        page = stream.read(start, self.get_number("limit", _DEFAULT_READ_LIMIT))
        body = {
            "records": [(stored.offset, stored.data) for stored in page],
            "first_offset": stream.first_offset,
            "next_offset": stream.next_offset,
        }
        await self.reply_after_effect(200, body)


class _TrimHandler(_PlatformHandler):
    _decoder = Decoder(TrimOrder)

    async def prepare(self) -> None:
        """Injects no fault."""

    def post(self) -> None:
        order = self.decode(self._decoder)
        if order is not None:
            stream = self.standin.get_stream(order["stream"])
            stream.trim(order["first_offset"])
            self.reply(200, {"first_offset": stream.first_offset})


class _HostsHandler(_PlatformHandler):
    _decoder = Decoder(HostList)

    async def get(self) -> None:
        await self.reply_after_effect(200, self.standin.list_hosts())

    def put(self) -> None:
        """Replaces the list."""
        hosts = self.decode(self._decoder)
        if hosts is not None:
            self.standin.set_hosts(hosts["hosts"], hosts["services"])
            self.reply(200, hosts)

    def post(self) -> None:
        """Adds entries, or replaces those of the same host or address."""
        hosts = self.decode(self._decoder)
        if hosts is not None:
            self.standin.add_hosts(hosts["hosts"], hosts["services"])
            self.reply(200, hosts)


class _CatalogueHandler(_PlatformHandler):
    async def get(self) -> None:
        await self.reply_after_effect(200, {"models": self.standin.models})


class _ShardHandler(_PlatformHandler):
    async def get(self, model: str, version: str, rank: str) -> None:
        entry = self.standin.models.get(unquote(model))
        size = self.get_number("size", 1)
        if entry is None or unquote(version) not in entry["versions"]:
            self.reply(_STATUS_NOT_FOUND, {"error": {"code": "not_found"}})
            return
        if not int(rank) < size:
            self.reply(_STATUS_NOT_FOUND, {"error": {"code": "no_such_rank"}})
            return
        wait_s = self.standin.take_shard(entry, size)
        if wait_s > 0:
            self.reply_busy(wait_s)
            return
        await self.reply_after_effect(200, {"bytes": entry["bytes"] // size})

"""The store: keyed topics with offsets, conditional appends and long reads."""

import asyncio
import base64
import enum
import struct
import time
from typing import NamedTuple

import msgspec
from tornado import web

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_MS_PER_S = 1000.0


class StoreFault(enum.Enum):
    """How the store misbehaves.

    Attributes:
      NONE: it does not.
      DOWN: it answers nothing, also to the reads that it holds, and to none
        of these calls after it is back.
      BUSY: it turns every call away.
      LOSSY: appends take effect and are not answered.
    """

    NONE = "none"
    DOWN = "down"
    BUSY = "busy"
    LOSSY = "lossy"


class _Stored(NamedTuple):
    offset: int
    key: str
    value: bytes


class Topic:
    """One partition of keyed records."""

    def __init__(self) -> None:
        """Start empty, at offset 0."""
        self._times: list[float] = []
        self.records: list[_Stored] = []
        self.first = 0
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Add a record and return its offset."""
        offset = self.end
        self.records.append(_Stored(offset, key, value))
        self._times.append(time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def list_newest(self) -> list[_Stored]:
        """Return the newest record of each key that has a value."""
        newest = {record.key: record for record in self.records}
        return [record for record in newest.values() if record.value]

    def forget(self) -> None:
        """Drop the history; the newest record of each key stays readable."""
        kept = self.list_newest()
        self.first = self.end
        self.records = []
        self._times = []
        self.kept = kept

    def restore(self, limit: float) -> None:
        """Drop the records that were appended after a time."""
        kept = sum(one <= limit for one in self._times)
        del self._times[kept:]
        del self.records[kept:]

    kept: list[_Stored] = []


class StoreDoor:
    """An address of the store, for some of the nodes.

    Attributes:
      calls: calls that came.
      silences: how often it has stopped to answer.
    """

    def __init__(self) -> None:
        """Answer all calls."""
        self._fault = StoreFault.NONE
        self.calls = 0
        self.silences = 0

    @property
    def fault(self) -> StoreFault:
        """How the store misbehaves at this address."""
        return self._fault

    @fault.setter
    def fault(self, fault: StoreFault) -> None:
        self._fault = fault
        self.silences += fault is StoreFault.DOWN


class SiteStore:
    """Topics by name, and how calls are answered.

    Attributes:
      door: the address that nodes use unless they are given another one.
      overtaken: appends that came too late for their condition.
      era: how often it came back from a copy.
      configuration: what the operator wrote last.
    """

    def __init__(self) -> None:
        """Start with no topics."""
        self.topics: dict[str, Topic] = {}
        self.door = StoreDoor()
        self.overtaken = 0
        self.era = 0
        self.configuration: dict[str, object] = {}

    def restore(self, age_s: float) -> None:
        """Come back from a copy of an age; offsets are given out again."""
        limit = time.monotonic() - age_s
        self.era += 1
        for topic in self.topics.values():
            topic.restore(limit)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is made when it is first used."""
        return self.topics.setdefault(name, Topic())

    def write_configuration(self, document: dict[str, object]) -> None:
        """Write a configuration as the operator."""
        self.configuration = document
        value = msgspec.json.encode(document)
        self.topic("keyed.op").append("config", value)

    def make_application(self, door: StoreDoor) -> web.Application:
        """Return the HTTP interface at an address."""
        options = {"store": self, "door": door}
        return web.Application(
            [
                web.url(r"/log-append", _AppendHandler, options),
                web.url(r"/log-read", _ReadHandler, options),
                web.url(r"/log-newest", _NewestHandler, options),
            ],
            log_function=lambda _handler: None,
        )


class _Handler(web.RequestHandler):
    """What all calls share."""

    def initialize(self, store: SiteStore, door: StoreDoor) -> None:
        """Serve a store at an address."""
        self.store = store
        self.door = door

    async def prepare(self) -> None:
        """Apply the fault of the store."""
        self.set_header("Store-Era", str(self.store.era))
        self.door.calls += 1
        if self.door.fault is StoreFault.BUSY:
            self.set_status(503)
            self.finish()
        elif self.door.fault is StoreFault.DOWN:
            await self._hang()

    async def _hang(self) -> None:
        """Answer nothing until the caller gives up."""
        while not self.request.connection.stream.closed():  # type: ignore[union-attr]
            await asyncio.sleep(0.02)
        raise web.Finish

    def find_topic(self) -> Topic:
        """Return the topic of the call."""
        return self.store.topic(self.get_query_argument("topic"))


class _AppendHandler(_Handler):
    async def post(self) -> None:
        """Append the records of the body."""
        topic = self.find_topic()
        expected = self.get_query_argument("at", "")
        if expected and int(expected) != topic.end:
            self.store.overtaken += 1
            self.set_status(412)
            self.finish({"end": topic.end})
            return
        offset = topic.end
        for key, value in parse_records(self.request.body):
            topic.append(key, value)
        if self.door.fault is StoreFault.LOSSY:
            await self._hang()
        self.finish({"offset": offset, "end": topic.end})


class _ReadHandler(_Handler):
    async def get(self) -> None:
        """Answer with records, or wait for one."""
        topic = self.find_topic()
        start = int(self.get_query_argument("from"))
        wait_s = float(self.get_query_argument("wait_ms", "0")) / _MS_PER_S
        if self._is_gone(topic, start):
            return
        silences = self.door.silences
        if start >= topic.end and wait_s:
            changed = topic.changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        if self.door.silences > silences:
            await self._hang()
        self.set_header("Store-Era", str(self.store.era))
        if self._is_gone(topic, start):
            return
        chunks = [_OFFSETS.pack(topic.end, topic.first)]
        for record in topic.records[max(0, start - topic.first) :]:
            name = record.key.encode()
            content = bytes((len(name),)) + name + record.value
            chunks.append(_LENGTH.pack(len(content)) + content)
        self.finish(b"".join(chunks))

    def _is_gone(self, topic: Topic, start: int) -> bool:
        """Answer a read from an offset that the store does not have."""
        if topic.first <= start <= topic.end:
            return False
        self.set_status(410)
        self.finish({"first": topic.first})
        return True


class _NewestHandler(_Handler):
    def get(self) -> None:
        """Answer with the newest record of each key."""
        topic = self.find_topic()
        newest = {record.key: record for record in topic.kept}
        newest |= {record.key: record for record in topic.records}
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in newest.values()
            if record.value
        ]
        self.finish({"items": items, "has_more": False, "end": topic.end})


def parse_records(body: bytes) -> list[tuple[str, bytes]]:
    """Split the body of an append into keys and values."""
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        position += length
        size = content[0]
        records.append((content[1 : 1 + size].decode(), content[1 + size :]))
    return records

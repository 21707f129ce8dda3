"""The store: keyed topics with offsets, conditional appends and long polls."""

import asyncio
import base64
import enum
import struct
import time
from typing import NamedTuple

import msgspec
from tornado import web

from chervilrock.standin.site.resets import reset_connection, ResetMoment

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_MS_PER_S = 1000.0


class StoreFault(enum.Enum):
    """Faults of the store.

    Attributes:
      NONE: the store works normally.
      DOWN: the store answers no call. Long polls that wait at that time and
        calls that arrive meanwhile stay unanswered after it has recovered.
      BUSY: the store rejects every call.
      LOSSY: appends take effect but are not answered.
    """

    NONE = "none"
    DOWN = "down"
    BUSY = "busy"
    LOSSY = "lossy"


class _Record(NamedTuple):
    offset: int
    key: str
    value: bytes


class Topic:
    """A topic of keyed records with a single partition."""

    def __init__(self) -> None:
        """Create an empty topic that starts at offset 0."""
        self._append_times_s: list[float] = []
        self.records: list[_Record] = []
        self.first = 0
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Add a record and return its offset."""
        offset = self.end
        self.records.append(_Record(offset, key, value))
        self._append_times_s.append(time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def list_newest(self) -> list[_Record]:
        """Return the newest record of each key, without deleted keys."""
        newest = {record.key: record for record in self.compacted}
        newest |= {record.key: record for record in self.records}
        return [record for record in newest.values() if record.value]

    def compact(self) -> None:
        """Drop all records but the newest of each key, which stay readable."""
        compacted = self.list_newest()
        self.first = self.end
        self.records = []
        self._append_times_s = []
        self.compacted = compacted

    def restore(self, cutoff_s: float) -> None:
        """Drop the records appended after a time of the monotonic clock."""
        count = sum(append_s <= cutoff_s for append_s in self._append_times_s)
        del self._append_times_s[count:]
        del self.records[count:]

    compacted: list[_Record] = []


class _Reader(NamedTuple):
    """A topic that is read from an IP address."""

    source: str
    topic: str


class StoreDoor:
    """An address of the store with faults of its own.

    Attributes:
      calls: number of calls received.
      outages: number of times that the fault was set to `DOWN`.
      resets: when the connections of appends and reads are reset, None while
        they are not.
      polls_reset: number of long polls that were reset while they waited.
      sent_again: descriptions of long polls that came again after that. A node
        must not send them again, as their time limit has begun before.
    """

    def __init__(self) -> None:
        """Create an address without a fault."""
        self._fault = StoreFault.NONE
        self.calls = 0
        self.outages = 0
        self.resets: ResetMoment | None = None
        self.polls_reset = 0
        self.sent_again: list[str] = []
        self._reads: dict[_Reader, _ReadHandler | None] = {}
        self._reset_polls: set[_Reader] = set()

    def record_read(
        self, reader: _Reader, poll: "_ReadHandler | None" = None
    ) -> None:
        """Record a read, and whether it repeats a long poll that was reset.

        Args:
          reader: who reads, and what.
          poll: the long poll, None for another read.
        """
        self._reads[reader] = poll
        if reader in self._reset_polls and poll is not None:
            self.sent_again.append(f"{reader.source} {reader.topic}")
        self._reset_polls.discard(reader)

    def end_poll(self, reader: _Reader, poll: "_ReadHandler") -> None:
        """Record that a long poll does not wait any more."""
        if self._reads.get(reader) is poll:
            self._reads[reader] = None

    def reset_polls(self, since: float) -> None:
        """Reset the connections of the long polls that wait.

        Long polls after which their reader has sent another read are left out.

        Args:
          since: time of the event loop; earlier long polls are left out.
        """
        for reader, poll in self._reads.items():
            if poll is not None and poll.began >= since and not poll.is_closed:
                reset_connection(poll)
                self._reads[reader] = None
                self._reset_polls.add(reader)
                self.polls_reset += 1

    @property
    def fault(self) -> StoreFault:
        """The fault of the store at this address."""
        return self._fault

    @fault.setter
    def fault(self, fault: StoreFault) -> None:
        self._fault = fault
        self.outages += fault is StoreFault.DOWN


class SiteStore:
    """Topics by name, and the HTTP interface to them.

    Attributes:
      door: the default address for nodes.
      overtaken: number of conditional appends rejected because the topic had
        a different end offset.
      era: number of restores from a backup.
      configuration: the configuration that the operator wrote last.
      evacuations: data centres for which the operator wrote a record, and
        whether it has not removed it since.
    """

    def __init__(self) -> None:
        """Create a store without topics."""
        self.topics: dict[str, Topic] = {}
        self.door = StoreDoor()
        self.overtaken = 0
        self.era = 0
        self.configuration: dict[str, object] = {}
        self.evacuations: dict[str, bool] = {}

    def restore(self, age_s: float) -> None:
        """Restore a backup of an age; lost offsets are assigned again."""
        cutoff_s = time.monotonic() - age_s
        self.era += 1
        for topic in self.topics.values():
            topic.restore(cutoff_s)

    def topic(self, name: str) -> Topic:
        """Return a topic; create it if it does not exist."""
        return self.topics.setdefault(name, Topic())

    def write_configuration(self, document: dict[str, object]) -> None:
        """Write a configuration as the operator."""
        self.configuration = document
        value = msgspec.json.encode(document)
        self.topic("keyed.op").append("config", value)

    def write_evacuation(
        self, data_centre: str, *, is_evacuated: bool = True
    ) -> None:
        """Write or remove the record of an evacuation as the operator."""
        self.evacuations[data_centre] = is_evacuated
        value = b"{}" if is_evacuated else b""
        self.topic("keyed.op").append(f"evacuate/{data_centre}", value)

    def make_application(self, door: StoreDoor) -> web.Application:
        """Return the web application for an address."""
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
    """Base class of the request handlers."""

    def initialize(self, store: SiteStore, door: StoreDoor) -> None:
        """Set the store and the address that this handler serves."""
        self.store = store
        self.door = door
        self.began = asyncio.get_running_loop().time()

    async def prepare(self) -> None:
        """Count the call and apply the fault of the address."""
        self.set_header("Store-Era", str(self.store.era))
        self.door.calls += 1
        if self.door.fault is StoreFault.BUSY:
            self.set_status(503)
            self.finish()
        elif self.door.fault is StoreFault.DOWN:
            await self._leave_unanswered()

    @property
    def is_closed(self) -> bool:
        """Whether the connection was closed."""
        stream = self.request.connection.stream  # type: ignore[union-attr]
        return bool(stream.closed())

    @property
    def reader(self) -> _Reader:
        """Who sent the call, and for which topic."""
        source = self.request.remote_ip or ""
        return _Reader(source, self.get_query_argument("topic"))

    def reset_at(self, moment: ResetMoment) -> bool:
        """Reset the connection if that is due; return whether it was."""
        if self.door.resets is not moment:
            return False
        reset_connection(self)
        return True

    async def _leave_unanswered(self) -> None:
        """Leave the call unanswered until the caller closes the connection."""
        while not self.is_closed:
            await asyncio.sleep(0.02)
        raise web.Finish

    def find_topic(self) -> Topic:
        """Return the topic of the call."""
        return self.store.topic(self.get_query_argument("topic"))


class _AppendHandler(_Handler):
    async def post(self) -> None:
        """Append the records of the body."""
        if self.reset_at(ResetMoment.READ):
            return
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
            await self._leave_unanswered()
        if self.reset_at(ResetMoment.DONE):
            return
        self.finish({"offset": offset, "end": topic.end})


class _ReadHandler(_Handler):
    async def get(self) -> None:
        """Answer with records; long poll if there are none yet."""
        topic = self.find_topic()
        start = int(self.get_query_argument("from"))
        wait_s = float(self.get_query_argument("wait_ms", "0")) / _MS_PER_S
        self.door.record_read(self.reader, self if wait_s else None)
        if self.reset_at(ResetMoment.READ):
            return
        if self._reject_out_of_range(topic, start):
            return
        outages = self.door.outages
        if start >= topic.end and wait_s:
            changed = topic.changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        self.door.end_poll(self.reader, self)
        if self.door.outages > outages:
            await self._leave_unanswered()
        self.set_header("Store-Era", str(self.store.era))
        if self._reject_out_of_range(topic, start):
            return
        chunks = [_OFFSETS.pack(topic.end, topic.first)]
        for record in topic.records[max(0, start - topic.first) :]:
            key = record.key.encode()
            content = bytes((len(key),)) + key + record.value
            chunks.append(_LENGTH.pack(len(content)) + content)
        self.finish(b"".join(chunks))

    def _reject_out_of_range(self, topic: Topic, start: int) -> bool:
        """Reject a read from an offset out of range; return whether it was."""
        if topic.first <= start <= topic.end:
            return False
        self.set_status(410)
        self.finish({"first": topic.first})
        return True


class _NewestHandler(_Handler):
    def get(self) -> None:
        """Answer with the newest record of each key."""
        self.door.record_read(self.reader)
        if self.reset_at(ResetMoment.READ):
            return
        topic = self.find_topic()
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in topic.list_newest()
        ]
        self.finish({"items": items, "has_more": False, "end": topic.end})


def parse_records(body: bytes) -> list[tuple[str, bytes]]:
    """Parse the body of an append into pairs of key and value."""
    records = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        position += length
        key_size = content[0]
        records.append(
            (content[1 : 1 + key_size].decode(), content[1 + key_size :])
        )
    return records

"""Client of the platform's store, for keyed topics of one partition."""

import base64
import struct
from typing import NamedTuple
import urllib.parse

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.httpclient import (
    check_status,
    decode_success,
    HttpAnswer,
    HttpClient,
    MAX_ANSWER_BYTES,
)
from chervilrock.clients.serving import (
    KeyedPage,
    KeyedRecord,
    KeyedStore,
    Topic,
)
from chervilrock.decisions.decoding import Decoder
from chervilrock.platform import operator, servers

TIMEOUT_S = 1.0
"""Timeout of a call without a long poll; the store usually answers within
4 ms, and a slow one within some hundred milliseconds."""

PAGE_KB = 1024
"""Maximum size of the answer to one read."""

MAX_PAGE_BYTES = 64 * 1024 * 1024
"""Most bytes of a page of records, which the store itself delimits."""

_TOPIC_NAMES = {
    Topic.CONFIGURATION: operator.TOPIC,
    Topic.SERVERS: servers.TOPIC,
    Topic.NODES: "keyed.chervilrock",
}
_ERA_HEADER = "Store-Era"  # rises with each restore from a backup
_MAX_ERA_DIGITS = 18
_GONE = 410
_UNEXPECTED_END = 412
_MS_PER_S = 1000
_RECORD_LENGTH = struct.Struct(">I")
_PAGE_OFFSETS = struct.Struct(">QQ")


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: servers.Count


class _Newest(msgspec.Struct):
    items: list[_Item]
    end: servers.Count
    has_more: bool = False


class _Appended(msgspec.Struct):
    offset: servers.Count


class _NewestPage(NamedTuple):
    newest: _Newest
    era: int


class _RawPage(NamedTuple):
    records: tuple[bytes, ...]
    end: int


_NEWEST_DECODER = Decoder(_Newest)
_APPENDED_DECODER = Decoder(_Appended)


class StoreClient(KeyedStore):
    """Client of the store over HTTP."""

    def __init__(self, *, client: HttpClient, address: str) -> None:
        """Create a client for the store at an address."""
        self._client = client
        self._base_url = f"http://{address}"
        self._era: int | None = None
        self._failed: set[Topic] = set()

    async def fetch_newest(
        self, topic: Topic
    ) -> Result[KeyedPage, PlatformError]:
        """See base class."""
        records: list[KeyedRecord] = []
        unreadable: list[_Item] = []
        after = ""
        end: int | None = None
        first_era: int | None = None
        while True:
            page = await self._fetch_page(topic, after)
            if isinstance(page, Failure):
                return page
            newest, era = page.unwrap()
            first_era = era if first_era is None else first_era
            if era != first_era:
                message = (
                    "the store was restored from a backup between two pages"
                )
                return Failure(
                    PlatformError(PlatformErrorKind.BAD_ANSWER, message)
                )
            # Pages are no snapshot: records that change while the pages are
            # read are read again from the end that the first page gives.
            end = newest.end if end is None else end
            for item in newest.items:
                record = _decode_item(item)
                if record is None:
                    unreadable.append(item)
                else:
                    records.append(record)
            if not newest.has_more:
                return Success(
                    KeyedPage(
                        records=tuple(records),
                        next_offset=end,
                        unreadable=tuple(item.offset for item in unreadable),
                        era=era,
                        unreadable_keys=tuple(item.key for item in unreadable),
                        settled_at=max(end, newest.end),
                    )
                )
            if not newest.items or newest.items[-1].key <= after:
                # Keys that the store leaves out would seem to be deleted.
                message = f"no further keys after {after!r}"
                return Failure(
                    PlatformError(PlatformErrorKind.BAD_ANSWER, message)
                )
            after = newest.items[-1].key

    async def _fetch_page(
        self, topic: Topic, after: str
    ) -> Result[_NewestPage, PlatformError]:
        query = {"topic": _TOPIC_NAMES[topic], "part": "0"}
        if after:
            query["after"] = after
        answer = await self._call(
            topic,
            "GET",
            "/log-newest",
            query,
            TIMEOUT_S,
            max_bytes=MAX_PAGE_BYTES,
        )
        era = self._era or 0
        return answer.bind(
            lambda success: decode_success(_NEWEST_DECODER, success)
        ).map(lambda newest: _NewestPage(newest, era))

    async def read(
        self, topic: Topic, start: int, wait_s: float
    ) -> Result[KeyedPage | None, PlatformError]:
        """See base class."""
        query = {
            "topic": _TOPIC_NAMES[topic],
            "part": "0",
            "from": str(start),
            "max_kb": str(PAGE_KB),
            "wait_ms": str(int(wait_s * _MS_PER_S)),
        }
        answer = await self._call(
            topic,
            "GET",
            "/log-read",
            query,
            TIMEOUT_S + wait_s,
            # The answer to a second long poll would come after the timeout.
            send_once=wait_s > 0,
            max_bytes=MAX_PAGE_BYTES,
        )
        if isinstance(answer, Failure):
            return answer
        era = self._era or 0
        http_answer = answer.unwrap()
        if http_answer.status == _GONE:
            return Success(None)
        checked = check_status(http_answer)
        if isinstance(checked, Failure):
            return checked
        return parse_page(http_answer.body, start, era)

    async def append(
        self, topic: Topic, key: str, value: bytes, expected_end: int | None
    ) -> Result[int | None, PlatformError]:
        """See base class."""
        query = {"topic": _TOPIC_NAMES[topic], "part": "0"}
        if expected_end is not None:
            query["at"] = str(expected_end)
        answer = await self._call(
            topic,
            "POST",
            "/log-append",
            query,
            TIMEOUT_S,
            body=encode_record(key, value),
        )
        if isinstance(answer, Failure):
            return answer
        http_answer = answer.unwrap()
        if http_answer.status == _UNEXPECTED_END:
            return Success(None)
        return decode_success(_APPENDED_DECODER, http_answer).map(
            lambda appended: appended.offset
        )

    async def _call(
        self,
        topic: Topic,
        method: str,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        body: bytes | None = None,
        *,
        send_once: bool = False,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> Result[HttpAnswer, PlatformError]:
        url = f"{self._base_url}{path}?{urllib.parse.urlencode(query)}"
        answer = await self._client.request(
            method,
            url,
            timeout_s=timeout_s,
            body=body,
            headers={"Content-Type": "application/octet-stream"}
            if body is not None
            else None,
            send_once=send_once,
            # A second failure then shows that the store is away, and not that
            # another kept connection is dead.
            is_fresh=topic in self._failed,
            wanted_header=_ERA_HEADER,
            max_bytes=max_bytes,
        )
        if isinstance(answer, Failure):
            self._failed.add(topic)
        else:
            self._failed.discard(topic)
        return answer.bind(self._check_era)

    def _check_era(
        self, answer: HttpAnswer
    ) -> Result[HttpAnswer, PlatformError]:
        """Record the era of an answer; reject an older or malformed one.

        An answer without an era is rejected as well, unless none had one so
        far: such a store has never been restored from a backup.
        """
        text = answer.header
        if not text and self._era is None:
            return Success(answer)
        is_number = text.isascii() and text.isdigit()
        era = int(text) if is_number and len(text) <= _MAX_ERA_DIGITS else -1
        if era < (self._era or 0):
            message = f"era {text[:_MAX_ERA_DIGITS]!r} after {self._era}"
            return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, message))
        self._era = era
        return Success(answer)


def encode_record(key: str, value: bytes) -> bytes:
    """Return a keyed record in the format of the store."""
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return _RECORD_LENGTH.pack(len(content)) + content


def parse_page(
    body: bytes, start: int, era: int = 0
) -> Result[KeyedPage | None, PlatformError]:
    """Parse the answer to a read from an offset, in a given era."""
    try:
        page = _split_page(body)
    except struct.error as error:
        message = f"malformed page: {error}"
        return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, message))
    records: list[KeyedRecord] = []
    unreadable: list[int] = []
    for offset, content in enumerate(page.records, start):
        try:
            records.append(_parse_record(content, offset))
        except (IndexError, UnicodeDecodeError):
            # The other records are valid: rejecting the page would stop
            # all reading at this record forever.
            unreadable.append(offset)
    next_offset = start + len(page.records)
    return Success(
        KeyedPage(tuple(records), next_offset, tuple(unreadable), era)
    )


def _decode_item(item: _Item) -> KeyedRecord | None:
    """Return the newest record of a key, None if its value is not base64."""
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        return None
    return KeyedRecord(key=item.key, value=value, offset=item.offset)


def _split_page(body: bytes) -> _RawPage:
    """Split a page into records.

    Raises:
      struct.error: a record or the head of the page is truncated.
    """
    end, _first = _PAGE_OFFSETS.unpack_from(body)
    position = _PAGE_OFFSETS.size
    records = []
    while position < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        if position + length > len(body):
            raise struct.error("a record is truncated")
        records.append(body[position : position + length])
        position += length
    return _RawPage(records=tuple(records), end=end)


def _parse_record(content: bytes, offset: int) -> KeyedRecord:
    """Parse a keyed record.

    Raises:
      IndexError: the record is shorter than the length of its key.
      UnicodeDecodeError: the key is not valid UTF-8.
    """
    length = content[0]
    if len(content) < 1 + length:
        raise IndexError("a key is truncated")
    return KeyedRecord(
        key=content[1 : 1 + length].decode(),
        value=content[1 + length :],
        offset=offset,
    )

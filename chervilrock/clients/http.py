"""Clients of the platform and of model engines over HTTP with JSON."""

from typing import Any, TypedDict
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.clients import base
from chervilrock.clients.errors import PlatformError, PlatformErrorKind
from chervilrock.clients.httpclient import (
    check_status,
    decode,
    decode_success,
    HttpAnswer,
    HttpClient,
)
from chervilrock.decisions.decoding import Decoder
from chervilrock.decisions.records import decode_stored
from chervilrock.generated.interfaces import (
    EngineLoad,
    EngineOrder,
    EngineState,
    HostList,
    LogAppended,
)
from chervilrock.generated.records import Record, StoredRecord

DEFAULT_TIMEOUT_S = 3.0
DEFAULT_ENGINE_TIMEOUT_S = 1.0

MAX_PAGE_BYTES = 64 * 1024 * 1024
"""Most bytes of a page of the log, whose records the caller counts."""

MAX_LIST_BYTES = 16 * 1024 * 1024
"""Most bytes of the host list and of the catalogue."""

MAX_ENGINE_BYTES = 1024 * 1024
"""Most bytes of an answer of a model engine."""

MAX_EVENTS_BYTES = 16 * 1024 * 1024
"""Most bytes of the cache events of an engine, the first time all of them."""

_MS_PER_S = 1000.0
_STATUS_CONFLICT = 409
_STATUS_NOT_FOUND = 404


class _LogReadBody(TypedDict):
    records: tuple[StoredRecord, ...]
    first_offset: int
    next_offset: int


class _RawLogReadBody(TypedDict):
    records: tuple[Any, ...]
    first_offset: int
    next_offset: int


class _AttemptBody(TypedDict):
    phase: base.AttemptPhase


_PAGE_DECODER = Decoder(_LogReadBody)
_RAW_PAGE_DECODER = Decoder(_RawLogReadBody)
_APPENDED_DECODER = Decoder(LogAppended)
_HOST_LIST_DECODER = Decoder(HostList)
_CATALOGUE_DECODER = Decoder(base.Catalogue)
_STATE_DECODER = Decoder(EngineState)
_LOAD_DECODER = Decoder(EngineLoad)
_EVENTS_DECODER = Decoder(base.CacheEventPage)
_ATTEMPT_DECODER = Decoder(_AttemptBody)


class HttpLogService(base.LogService):
    """Client of the log service."""

    def __init__(
        self,
        *,
        http: HttpClient,
        address: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Create a client.

        Args:
          http: HTTP client that sends the requests.
          address: IP:port of the log service.
          timeout_s: timeout of a request in seconds; the long-poll timeout
            of a read is added to it.
        """
        self._http = http
        self._address = address
        self._timeout_s = timeout_s

    def _format_url(self, stream: str) -> str:
        return f"http://{self._address}/log/{quote(stream, safe='')}"

    async def append(
        self, stream: str, records: tuple[Record, ...]
    ) -> Result[tuple[int, ...], PlatformError]:
        """See base class."""
        result = await self._http.request(
            "POST",
            self._format_url(stream),
            timeout_s=self._timeout_s,
            body=msgspec.json.encode(records),
            send_once=True,
        )
        return result.bind(
            lambda answer: decode_success(_APPENDED_DECODER, answer)
        ).bind(lambda appended: _check_offsets(appended, len(records)))

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> Result[base.LogPage, PlatformError]:
        """See base class."""
        query = f"from={start}&limit={limit}&wait_ms={wait_ms}"
        result = await self._http.request(
            "GET",
            f"{self._format_url(stream)}?{query}",
            timeout_s=self._timeout_s + wait_ms / _MS_PER_S,
            # The answer to a second long poll would come after the timeout.
            send_once=wait_ms > 0,
            max_bytes=MAX_PAGE_BYTES,
        )
        return result.bind(decode_page).bind(
            lambda page: _check_page(page, start)
        )


def decode_page(answer: HttpAnswer) -> Result[_LogReadBody, PlatformError]:
    """Decode a page, also one with records unknown to this version."""
    strict = decode_success(_PAGE_DECODER, answer)
    if isinstance(strict, Success):
        return strict
    return decode_success(_RAW_PAGE_DECODER, answer).bind(_decode_raw_page)


def _decode_raw_page(
    body: _RawLogReadBody,
) -> Result[_LogReadBody, PlatformError]:
    records = []
    for raw in body["records"]:
        stored = decode_stored(raw)
        if stored is None:
            message = "a record without an offset"
            return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, message))
        records.append(stored)
    return Success(
        _LogReadBody(
            records=tuple(records),
            first_offset=body["first_offset"],
            next_offset=body["next_offset"],
        )
    )


def _check_offsets(
    appended: LogAppended, count: int
) -> Result[tuple[int, ...], PlatformError]:
    offsets = appended["offsets"]
    if len(offsets) == count:
        return Success(offsets)
    message = f"{len(offsets)} offsets for {count} records"
    return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, message))


def _check_page(
    page: _LogReadBody, start: int
) -> Result[base.LogPage, PlatformError]:
    previous = max(start, page["first_offset"]) - 1
    for stored in page["records"]:
        if not previous < stored.offset < page["next_offset"]:
            message = f"offset {stored.offset} out of order"
            return Failure(PlatformError(PlatformErrorKind.BAD_ANSWER, message))
        previous = stored.offset
    return Success(base.LogPage(**page))


class HttpHostListSource(base.HostListSource):
    """Client of the host list."""

    def __init__(
        self,
        *,
        http: HttpClient,
        address: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Create a client.

        Args:
          http: HTTP client that sends the requests.
          address: IP:port of the host list.
          timeout_s: timeout of a request in seconds.
        """
        self._http = http
        self._url = f"http://{address}/hosts"
        self._timeout_s = timeout_s

    async def fetch(self) -> Result[HostList, PlatformError]:
        """See base class."""
        result = await self._http.request(
            "GET",
            self._url,
            timeout_s=self._timeout_s,
            max_bytes=MAX_LIST_BYTES,
        )
        return result.bind(
            lambda answer: decode_success(_HOST_LIST_DECODER, answer)
        )


class HttpWeightStore(base.WeightStore):
    """Client of the catalogue of the weight store."""

    def __init__(
        self,
        *,
        http: HttpClient,
        address: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Create a client.

        Args:
          http: HTTP client that sends the requests.
          address: IP:port of the weight store.
          timeout_s: timeout of a request in seconds.
        """
        self._http = http
        self._url = f"http://{address}/weights"
        self._timeout_s = timeout_s

    async def fetch_catalogue(
        self,
    ) -> Result[base.Catalogue, PlatformError]:
        """See base class."""
        result = await self._http.request(
            "GET",
            self._url,
            timeout_s=self._timeout_s,
            max_bytes=MAX_LIST_BYTES,
        )
        return result.bind(
            lambda answer: decode_success(_CATALOGUE_DECODER, answer)
        )


class HttpModelEngine(base.ModelEngine):
    """Client of the control interface of model engines."""

    def __init__(
        self,
        *,
        http: HttpClient,
        timeout_s: float = DEFAULT_ENGINE_TIMEOUT_S,
    ) -> None:
        """Create a client.

        Args:
          http: HTTP client that sends the requests.
          timeout_s: timeout of a request in seconds.
        """
        self._http = http
        self._timeout_s = timeout_s

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        *,
        max_bytes: int = MAX_ENGINE_BYTES,
    ) -> Result[HttpAnswer, PlatformError]:
        return await self._http.request(
            method,
            f"http://{address}/control/{path}",
            timeout_s=self._timeout_s,
            body=body,
            max_bytes=max_bytes,
        )

    async def order(
        self, address: str, order: EngineOrder
    ) -> Result[base.OrderAnswer, PlatformError]:
        """See base class."""
        body = msgspec.json.encode(order)
        result = await self._request("POST", address, "orders", body)
        return result.bind(_convert_order_answer)

    async def read_state(
        self, address: str
    ) -> Result[EngineState, PlatformError]:
        """See base class."""
        result = await self._request("GET", address, "state")
        return result.bind(
            lambda answer: decode_success(_STATE_DECODER, answer)
        )

    async def read_load(
        self, address: str
    ) -> Result[EngineLoad, PlatformError]:
        """See base class."""
        result = await self._request("GET", address, "load")
        return result.bind(lambda answer: decode_success(_LOAD_DECODER, answer))

    async def read_events(
        self, address: str, start: int
    ) -> Result[base.CacheEventPage, PlatformError]:
        """See base class."""
        result = await self._request(
            "GET",
            address,
            f"events?from={start}",
            max_bytes=MAX_EVENTS_BYTES,
        )
        return result.bind(
            lambda answer: decode_success(_EVENTS_DECODER, answer)
        )

    async def cancel(
        self, address: str, attempt: str
    ) -> Result[bool, PlatformError]:
        """See base class."""
        path = f"cancel/{quote(attempt, safe='')}"
        result = await self._request("POST", address, path, b"")
        return result.bind(_convert_cancel_answer)

    async def read_attempt(
        self, address: str, attempt: str
    ) -> Result[base.AttemptPhase, PlatformError]:
        """See base class."""
        path = f"attempts/{quote(attempt, safe='')}"
        result = await self._request("GET", address, path)
        return result.bind(
            lambda answer: decode_success(_ATTEMPT_DECODER, answer)
        ).map(lambda body: body["phase"])


def _convert_order_answer(
    answer: HttpAnswer,
) -> Result[base.OrderAnswer, PlatformError]:
    if answer.status == _STATUS_CONFLICT:
        return decode(_STATE_DECODER, answer).map(
            lambda state: base.OrderAnswer(False, state)
        )
    return decode_success(_STATE_DECODER, answer).map(
        lambda state: base.OrderAnswer(True, state)
    )


def _convert_cancel_answer(
    answer: HttpAnswer,
) -> Result[bool, PlatformError]:
    if answer.status == _STATUS_NOT_FOUND:
        return Success(False)
    return check_status(answer).map(lambda _answer: True)

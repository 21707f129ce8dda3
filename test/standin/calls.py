"""Helpers that send requests to stand-ins and build expected answers."""

import asyncio
from collections.abc import Callable, Iterable
import functools
from typing import Any, NamedTuple

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httputil import HTTPHeaders

from chervilrock.generated.interfaces import EnginePhase, EngineShard
from chervilrock.standin.answers import Answer, CompletionRequest
from chervilrock.standin.engine import EngineStandIn

GROUP_SIZE = 3
MAX_LOOP_TURNS = 100_000
HEADERS = {"X-Fence": "7", "X-Request-Id": "r1", "X-Attempt-Id": "a1"}

Prepare = Callable[[pycurl.Curl], None] | None


class Call(NamedTuple):
    """Response as the caller received it.

    Attributes:
      status: HTTP status code, or 0 if no headers arrived.
      whole: whether the complete body arrived.
    """

    status: int
    headers: HTTPHeaders
    body: bytes
    whole: bool


async def call(
    client: CurlAsyncHTTPClient,
    url: str,
    *,
    method: str = "POST",
    body: Any = None,
    headers: dict[str, str] | None = None,
    on_chunk: Callable[[bytes], None] | None = None,
    prepare: Prepare = None,
) -> Call:
    chunks: list[bytes] = []
    header_lines: list[str] = []
    request = HTTPRequest(
        url,
        method=method,
        headers=headers,
        body=None if body is None else msgspec.json.encode(body),
        request_timeout=30.0,
        streaming_callback=functools.partial(_collect_chunk, chunks, on_chunk),
        header_callback=header_lines.append,
        prepare_curl_callback=prepare,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except HTTPClientError:
        status = int(header_lines[0].split()[1]) if header_lines else 0
        return Call(status, HTTPHeaders(), b"".join(chunks), False)
    return Call(response.code, response.headers, b"".join(chunks), True)


def _collect_chunk(
    chunks: list[bytes], on_chunk: Callable[[bytes], None] | None, chunk: bytes
) -> None:
    chunks.append(chunk)
    if on_chunk is not None:
        on_chunk(chunk)


async def make_client() -> CurlAsyncHTTPClient:
    return CurlAsyncHTTPClient(force_instance=True, max_clients=16)


def make_body(**members: Any) -> dict[str, Any]:
    return {"model": "m", "prompt": "hello", "max_tokens": 6} | members


def make_answer(body: dict[str, Any], request_id: str = "r1") -> Answer:
    request = msgspec.convert(body, CompletionRequest)
    return Answer(request_id=request_id, body=request, chat="messages" in body)


def list_events(answer: Answer, start: int = 0) -> bytes:
    """Returns all bytes of the stream after the event number `start`."""
    numbers = range(start + 1, answer.event_count + 2)
    return b"".join(answer.format_event(number) for number in numbers)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Yields to the event loop until a condition holds.

    Raises:
        AssertionError: The condition does not hold after MAX_LOOP_TURNS turns.
    """
    for _ in range(MAX_LOOP_TURNS):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("the condition did not come about")


async def wait_ready(engines: Iterable[EngineStandIn]) -> None:
    shards = [engine.shards for engine in engines]
    await wait_until(
        lambda: all(shard.phase is EnginePhase.READY for shard in shards)
    )


def make_shard(rank: int, leader: str) -> EngineShard:
    return EngineShard(
        group="g",
        fence=7,
        model="m",
        version="1",
        adapters=("a",),
        rank=rank,
        size=GROUP_SIZE,
        leader=leader,
    )

"""Answers to callers that have closed their connection."""

import asyncio
import math
from types import SimpleNamespace
from typing import Any

from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.edges.serving.connection import CallerConnection, CallerMemory
from chervilrock.serving_metrics import ServingMetrics


class ClosedConnection:
    """A connection whose stream was closed before the close was reported."""

    def __init__(self) -> None:
        self.stream = SimpleNamespace(_write_buffer=None, closed=lambda: True)
        self.written: list[bytes] = []

    def write(self, data: bytes) -> "asyncio.Future[None]":
        self.written.append(data)
        return asyncio.get_running_loop().create_future()


def test_an_event_for_a_closed_connection_raises_no_error() -> None:
    async def scenario() -> None:
        connection: Any = ClosedConnection()
        memory = CallerMemory(budget=math.inf, metrics=ServingMetrics())
        caller = CallerConnection(
            connection=connection, is_stopping=lambda: False, memory=memory
        )
        caller.write(b"event")
        assert_that(connection.written, Equals([b"event"]))

    asyncio.run(scenario())

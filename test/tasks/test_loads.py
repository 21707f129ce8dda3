"""The task that reads load reports."""

import asyncio
from typing import Any

from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.tasks.loads import LoadTarget, LoadTask
from chervilrock.tasks.mailbox import Mailbox

LOAD = {
    "running": 1,
    "waiting": 0,
    "cache_used": 0.5,
    "tokens_per_s": 1.0,
    "age_ms": 500,
}


class Engines:
    """Engines, one of which never answers."""

    def __init__(self):
        self.queried = []

    async def read_load(self, address):
        self.queried.append(address)
        if address == "silent:1":
            await asyncio.Event().wait()
        return Success(LOAD)


def test_engine_that_never_answers_does_not_delay_the_others():
    async def check():
        engines: Any = Engines()
        outbox: Mailbox[Any] = Mailbox()
        task = LoadTask(
            engine=engines,
            clock=lambda: 10.0,
            interval_s=0.0,
            outboxes=(outbox,),
        )
        task.inbox.offer(
            (LoadTarget("a", "silent:1"), LoadTarget("b", "other:1"))
        )
        running = asyncio.create_task(task.run())
        reports = [await outbox.receive() for _ in range(3)]
        running.cancel()
        assert_that({report.group for report in reports}, Equals({"b"}))
        assert_that(reports[0].reported_at, Equals(9.5))
        assert_that(engines.queried.count("silent:1"), Equals(1))

    asyncio.run(check())

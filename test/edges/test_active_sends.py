"""Sends of a request: how they end, and what is recorded of them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import contextlib

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.edges.relay import TransferEnd
from chervilrock.edges.serving.activesend import ActiveSend, SILENT_SEND_S
from chervilrock.edges.serving.connection import CallerMemory, HeldBody
from chervilrock.serving_metrics import ServingMetrics

NOBODY: set[str] = set()

NOW = 100.0
LONG_S = 30.0
SIZE = 10


class FakePool:
    @contextlib.contextmanager
    def borrow(self) -> Iterator[None]:
        yield None


class FakeTransfer:
    """A transfer that ends when it is told to."""

    def __init__(self) -> None:
        self.ended: asyncio.Future[TransferEnd] = asyncio.Future()
        self.calls: list[str] = []

    async def run(self, _client: None) -> TransferEnd:
        return await self.ended

    def abandon(self) -> None:
        self.calls.append("abandon")

    def pause(self) -> None:
        self.calls.append("pause")

    def resume(self) -> None:
        self.calls.append("resume")


class FakeDetector:
    def __init__(self) -> None:
        self.watched: set[str] = set()

    def record_sent(self, request_id: str, now: float) -> None:
        del now
        self.watched.add(request_id)

    def record_end(self, request_id: str) -> None:
        self.watched.discard(request_id)


class SendWorld:
    """One send that runs with a time limit."""

    def __init__(self, limit_s: float) -> None:
        memory = CallerMemory(budget=100 * SIZE, metrics=ServingMetrics())
        self.transfer = FakeTransfer()
        self.detector = FakeDetector()
        self.active = ActiveSend(
            request_id="r",
            body=HeldBody(size=SIZE, memory=memory),
            pool=FakePool(),  # type: ignore[arg-type]
            now=NOW,
        )
        self.running: asyncio.Future[TransferEnd | SendOutcome]
        self.running = asyncio.ensure_future(
            self.active.run(
                self.transfer,  # type: ignore[arg-type]
                detector=self.detector,  # type: ignore[arg-type]
                now=NOW,
                until=NOW + limit_s,
            )
        )


def run_send(
    scenario: Callable[[SendWorld], Awaitable[None]], limit_s: float = LONG_S
) -> None:
    async def run() -> None:
        world = SendWorld(limit_s)
        await asyncio.sleep(0)
        await scenario(world)
        world.transfer.ended.cancel()

    asyncio.run(run())


def test_the_end_of_the_transfer_ends_the_send() -> None:
    async def scenario(world: SendWorld) -> None:
        end = TransferEnd(sent=True, head=None, error="broken")
        world.transfer.ended.set_result(end)
        result = await world.running
        assert_that(result is end, Is(True))
        assert_that(world.active.transfer is None, Is(True))
        assert_that(world.detector.watched, Equals(NOBODY))

    run_send(scenario)


@pytest.mark.parametrize("outcome", [SendOutcome.STALLED, SendOutcome.NOT_RUN])
def test_an_interrupted_send_ends_with_the_first_outcome(
    outcome: SendOutcome,
) -> None:
    async def scenario(world: SendWorld) -> None:
        world.active.interrupt(outcome)
        world.active.interrupt(SendOutcome.LOST)
        result = await world.running
        assert_that(result is outcome, Is(True))
        assert_that(set(world.transfer.calls), Equals({"abandon"}))

    run_send(scenario)


def test_a_send_is_lost_at_the_time_limit() -> None:
    async def scenario(world: SendWorld) -> None:
        result = await world.running
        assert_that(result is SendOutcome.LOST, Is(True))
        assert_that(world.transfer.calls, Equals(["abandon"]))

    run_send(scenario, limit_s=0.0)


def test_a_paused_send_is_not_watched_for_stalls() -> None:
    async def scenario(world: SendWorld) -> None:
        world.active.pause()
        assert_that(world.detector.watched, Equals(NOBODY))
        world.active.resume(NOW)
        assert_that(world.detector.watched, Equals({"r"}))
        assert_that(world.transfer.calls, Equals(["pause", "resume"]))
        world.active.interrupt(SendOutcome.LOST)
        await world.running

    run_send(scenario)


def test_a_send_is_silent_some_time_after_its_last_progress() -> None:
    async def scenario(world: SendWorld) -> None:
        silent_at = NOW + SILENT_SEND_S
        assert_that(world.active.is_silent(silent_at), Is(True))
        world.active.record_progress(NOW + 0.1)
        assert_that(world.active.is_silent(silent_at), Is(False))
        assert_that(world.active.is_silent(silent_at + 0.1), Is(True))
        world.active.interrupt(SendOutcome.LOST)
        await world.running

    run_send(scenario)

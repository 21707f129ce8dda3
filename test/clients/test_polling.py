"""Tests of the polling client."""

import asyncio

import msgspec
import pycurl
import pytest
from returns.pipeline import is_successful
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.polled import RegionHostDecoder
from chervilrock.clients.polling import Poller
from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.generated.interfaces import EngineOrder, EngineState
from chervilrock.standin.engine import EngineStandIn
from chervilrock.standin.faults import FaultKind, FaultRule
from test.tasks.virtual_time import run_virtually

DECODER = Decoder(EngineState)
LONG_TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.02


class PolledEngine:
    """An engine stand-in and a client that polls it."""

    def __init__(self, poller):
        self.engine = EngineStandIn()
        self.poller = poller

    async def poll(self, timeout_s=LONG_TIMEOUT_S):
        url = f"http://{self.engine.address}/control/state"
        return await self.poller.poll(url, DECODER, timeout_s)


async def start_engine():
    polled = PolledEngine(Poller())
    await polled.engine.start()
    return polled


@pytest.fixture
def polled(runner):
    polled = runner.run(start_engine())
    yield polled
    polled.poller.close()
    runner.run(polled.engine.stop())


def get_error_kind(result):
    return result.failure().kind


def test_unchanged_answer_is_the_same_object(runner, polled):
    first = runner.run(polled.poll()).unwrap()
    second = runner.run(polled.poll()).unwrap()
    assert_that(second, Is(first))
    polled.engine.take_order(EngineOrder(fence=7, group="g"))
    third = runner.run(polled.poll()).unwrap()
    assert_that(third["fence"], Equals(7))
    assert_that(first["fence"], Equals(0))


def test_poller_reconnects_after_an_engine_restart(runner, polled):
    first = runner.run(polled.poll()).unwrap()
    port = int(polled.engine.address.rpartition(":")[2])
    runner.run(polled.engine.stop())
    assert_that(is_successful(runner.run(polled.poll())), Is(False))
    runner.run(polled.engine.start(port=port))
    again = runner.run(polled.poll()).unwrap()
    assert_that(again["incarnation"], Not(Equals(first["incarnation"])))


def test_request_is_not_shared_by_two_callers(runner, polled):
    async def poll_twice():
        first = asyncio.create_task(polled.poll())
        await asyncio.sleep(0)
        result = await polled.poll()
        assert_that(get_error_kind(result), Is(PlatformErrorKind.REFUSED))
        assert_that(is_successful(await first), Is(True))

    runner.run(poll_twice())


def test_poll_of_a_paused_engine_times_out(runner, polled):
    polled.engine.faults.set_paused(True)
    result = runner.run(polled.poll(SHORT_TIMEOUT_S))
    assert_that(get_error_kind(result), Is(PlatformErrorKind.TIMEOUT))
    polled.engine.faults.set_paused(False)
    assert_that(is_successful(runner.run(polled.poll())), Is(True))


def test_bad_answers_are_failures_and_later_polls_succeed(runner, polled):
    first = runner.run(polled.poll()).unwrap()
    fault = FaultRule(kind=FaultKind.OUTAGE, count=1)
    polled.engine.faults.add(fault)
    result = runner.run(polled.poll())
    assert_that(get_error_kind(result), Is(PlatformErrorKind.OUTAGE))
    assert_that(runner.run(polled.poll()).unwrap(), Equals(first))
    polled.engine.faults.add(FaultRule(kind=FaultKind.LOSE_ANSWER))
    result = runner.run(polled.poll())
    assert_that(get_error_kind(result), Is(PlatformErrorKind.OUTAGE))


def test_close_fails_requests_in_progress(runner, polled):
    async def close_early():
        polled.engine.faults.set_paused(True)
        running = asyncio.create_task(polled.poll())
        await asyncio.sleep(0)
        polled.poller.close()
        assert_that(is_successful(await running), Is(False))
        polled.poller = Poller()

    runner.run(close_early())


def test_host_list_holds_the_hosts_of_one_region():
    def make_host(host, region):
        return {
            "host": host,
            "address": "10.0.0.1:80",
            "data_centre": "d",
            "domain": "f",
            "region": region,
            "accelerators": 8,
            "leaving": False,
            "checks_fence": True,
        }

    decoder = RegionHostDecoder(region="north")
    hosts = [
        make_host("a", "north"),
        make_host("b", "south"),
        make_host("c", "north"),
    ]
    host_list = {"hosts": hosts, "services": [], "age_ms": 5}
    decoded = decoder.decode(msgspec.json.encode(host_list))
    assert_that(
        [entry["host"] for entry in decoded["hosts"]], Equals(["a", "c"])
    )
    assert_that(decoded["age_ms"], Equals(5))
    del hosts[0]["leaving"]
    with pytest.raises(UnreadableError):
        decoder.decode(msgspec.json.encode(host_list))


class SilentTransfers:
    """Transfers that libcurl never ends."""

    def add(self, _curl: pycurl.Curl) -> None:
        """Start a transfer."""


def test_a_poll_that_libcurl_does_not_end_ends_at_its_limit():
    # libcurl counted the limit anew when it sent a request again.
    async def measure() -> float:
        loop = asyncio.get_running_loop()
        began = loop.time()
        poller = Poller()
        poller._transfers = SilentTransfers()  # type: ignore[assignment]
        result = await poller.poll("http://a/", DECODER, LONG_TIMEOUT_S)
        assert_that(get_error_kind(result), Is(PlatformErrorKind.TIMEOUT))
        return loop.time() - began

    assert_that(run_virtually(measure()), Equals(LONG_TIMEOUT_S))

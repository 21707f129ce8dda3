"""The client that polls."""

import asyncio

import msgspec
import pytest
from returns.pipeline import is_successful
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.polled import RegionHostDecoder
from chervilrock.clients.polling import Poller
from chervilrock.generated.interfaces import EngineOrder, EngineState
from chervilrock.standin.engine import EngineStandIn
from chervilrock.standin.faults import FaultKind, FaultRule

DECODER = msgspec.json.Decoder(EngineState)
LONG_S = 10.0
SHORT_S = 0.02


class Polled:
    """An engine stand-in and a client that polls it."""

    def __init__(self, poller):
        self.engine = EngineStandIn()
        self.poller = poller

    async def poll(self, timeout_s=LONG_S):
        url = f"http://{self.engine.address}/control/state"
        return await self.poller.poll(url, DECODER, timeout_s)


async def start():
    polled = Polled(Poller())
    await polled.engine.start()
    return polled


@pytest.fixture
def polled(runner):
    one = runner.run(start())
    yield one
    one.poller.close()
    runner.run(one.engine.stop())


def find_kind(result):
    return result.failure().kind


def test_answer_that_has_not_changed_is_the_same_value(runner, polled):
    first = runner.run(polled.poll()).unwrap()
    second = runner.run(polled.poll()).unwrap()
    assert_that(second, Is(first))
    polled.engine.take_order(EngineOrder(fence=7, group="g"))
    third = runner.run(polled.poll()).unwrap()
    assert_that(third["fence"], Equals(7))
    assert_that(first["fence"], Equals(0))


def test_connection_stays_open_and_a_new_one_follows_a_death(runner, polled):
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
        assert_that(find_kind(result), Is(PlatformErrorKind.REFUSED))
        assert_that(is_successful(await first), Is(True))

    runner.run(poll_twice())


def test_engine_that_stands_still_ends_in_a_timeout(runner, polled):
    polled.engine.faults.set_paused(True)
    result = runner.run(polled.poll(SHORT_S))
    assert_that(find_kind(result), Is(PlatformErrorKind.TIMEOUT))
    polled.engine.faults.set_paused(False)
    assert_that(is_successful(runner.run(polled.poll(SHORT_S))), Is(True))


def test_bad_answers_are_failures_and_leave_nothing_behind(runner, polled):
    first = runner.run(polled.poll()).unwrap()
    fault = FaultRule(kind=FaultKind.OUTAGE, count=1)
    polled.engine.faults.add(fault)
    result = runner.run(polled.poll())
    assert_that(find_kind(result), Is(PlatformErrorKind.OUTAGE))
    assert_that(runner.run(polled.poll()).unwrap(), Equals(first))
    polled.engine.faults.add(FaultRule(kind=FaultKind.LOSE_ANSWER))
    result = runner.run(polled.poll())
    assert_that(find_kind(result), Is(PlatformErrorKind.OUTAGE))


def test_close_ends_what_is_under_way(runner, polled):
    async def close_early():
        polled.engine.faults.set_paused(True)
        running = asyncio.create_task(polled.poll())
        await asyncio.sleep(0)
        polled.poller.close()
        assert_that(is_successful(await running), Is(False))
        polled.poller = Poller()

    runner.run(close_early())


def test_host_list_holds_the_hosts_of_one_region():
    def make(host, region):
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
    hosts = [make("a", "north"), make("b", "south"), make("c", "north")]
    listed = {"hosts": hosts, "services": [], "age_ms": 5}
    decoded = decoder.decode(msgspec.json.encode(listed))
    assert_that([one["host"] for one in decoded["hosts"]], Equals(["a", "c"]))
    assert_that(decoded["age_ms"], Equals(5))
    del hosts[0]["leaving"]
    with pytest.raises(msgspec.DecodeError):
        decoder.decode(msgspec.json.encode(listed))

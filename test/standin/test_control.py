import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, MatchesDict

from chervilrock.clients.base import ModelEntry
from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.generated.interfaces import EngineOrder, EnginePhase
from chervilrock.standin.engine import EngineOptions, EngineStandIn
from chervilrock.standin.faults import FaultKind
from chervilrock.standin.platform import PlatformOptions, PlatformStandIn
from test.standin.calls import (
    make_answer,
    make_body,
    make_shard,
    wait_ready,
    wait_until,
)


def make_order(fence: int, version: str = "1") -> EngineOrder:
    shard = make_shard(0, "127.0.0.1:1")
    shard["fence"] = fence
    shard["version"] = version
    return EngineOrder(fence=fence, group="g", shard=shard)


async def wait_empty(engine: EngineStandIn) -> None:
    await wait_until(lambda: engine.shards.phase is EnginePhase.EMPTY)


def test_order_loads_and_unloads(runner, engine, control):
    async def load_and_unload():
        loading = await control.order(engine.address, make_order(3))
        await wait_ready([engine])
        ready = await control.read_state(engine.address)
        unload = EngineOrder(fence=4, group="g")
        unloading = await control.order(engine.address, unload)
        await wait_empty(engine)
        return loading, ready, unloading

    loading, ready, unloading = runner.run(load_and_unload())
    assert_that(loading.unwrap().accepted, Equals(True))
    assert_that(ready.unwrap()["phase"], Equals(EnginePhase.READY))
    assert_that(ready.unwrap()["shard"], Equals(make_order(3)["shard"]))
    assert_that(unloading.unwrap().accepted, Equals(True))
    assert_that(
        engine.read_state(),
        MatchesDict(
            {
                "host": Equals("host-1"),
                "incarnation": Equals("host-1-1"),
                "phase": Equals(EnginePhase.EMPTY),
                "fence": Equals(4),
                "checks_fence": Equals(True),
            }
        ),
    )


@pytest.mark.parametrize("checks_fence", [True, False])
def test_old_fence_is_rejected_if_the_engine_checks_fences(
    runner, control, checks_fence
):
    options = EngineOptions(checks_fence=checks_fence)
    engine = EngineStandIn(options=options)

    async def order_twice():
        await engine.start()
        await control.order(engine.address, make_order(3))
        await wait_ready([engine])
        old = EngineOrder(fence=2, group="old")
        answer = await control.order(engine.address, old)
        state = engine.read_state()
        await engine.stop()
        return answer, state

    answer, state = runner.run(order_twice())
    assert_that(answer.unwrap().accepted, Equals(not checks_fence))
    kept = state["phase"] is EnginePhase.READY
    assert_that(kept, Equals(checks_fence))
    assert_that(state["fence"], Equals(3))


def test_fault_makes_the_engine_ignore_fences(runner, engine):
    async def order_twice():
        engine.take_order(make_order(3))
        engine.faults.add({"kind": FaultKind.IGNORE_FENCE})
        return engine.take_order(make_order(2))

    assert_that(runner.run(order_twice()), Equals(True))


def test_order_with_a_new_fence_keeps_the_weights(runner, engine):
    async def order_twice():
        engine.take_order(make_order(3))
        await wait_ready([engine])
        engine.take_order(make_order(4))
        same = engine.shards.phase
        engine.take_order(make_order(5, version="2"))
        return same, engine.shards.phase

    phases = runner.run(order_twice())
    assert_that(phases, Equals((EnginePhase.READY, EnginePhase.LOADING)))


def test_restarted_engine_is_empty(runner, engine):
    async def restart():
        engine.take_order(make_order(3))
        await wait_ready([engine])
        engine.kill()
        await engine.start()

    runner.run(restart())
    state = engine.read_state()
    assert_that(state["phase"], Equals(EnginePhase.EMPTY))
    assert_that(state["fence"], Equals(0))
    assert_that(state["incarnation"], Equals("host-1-2"))


def test_killed_engine_is_refused(runner, engine, control):
    address = engine.address
    engine.kill()
    result = runner.run(control.read_state(address))
    assert_that(result.failure().kind, Equals(PlatformErrorKind.REFUSED))
    assert_that(result.failure().effect_possible, Equals(False))


def test_order_whose_answer_is_lost_takes_effect(runner, engine, control):
    rule = {"kind": FaultKind.LOSE_ANSWER, "path": "/control/orders"}
    engine.faults.add(rule)
    result = runner.run(control.order(engine.address, make_order(3)))
    assert_that(result.failure().kind, Equals(PlatformErrorKind.OUTAGE))
    assert_that(engine.shards.fence, Equals(3))


def test_cache_events_are_late_and_have_gaps(runner):
    now = 0.0
    options = EngineOptions(event_lag_ms=500.0)
    engine = EngineStandIn(options=options, clock=lambda: now)
    engine.cache.store(("a",), now)
    engine.cache.store(("b",), now, drop=True)
    engine.cache.store(("c",), now)
    early = engine.cache.list_events(1, 0.4)
    late = engine.cache.list_events(1, 0.5)
    assert_that((len(early["events"]), early["next"]), Equals((0, 1)))
    sequences = [event["sequence"] for event in late["events"]]
    assert_that((sequences, late["next"]), Equals(([1, 3], 4)))


def test_load_report_is_late(runner):
    now = 0.0
    options = EngineOptions(load_lag_ms=300.0)
    engine = EngineStandIn(options=options, clock=lambda: now)

    async def offer():
        engine.offer("a1", make_answer(make_body()), 5, 0)
        early = engine.read_load()
        nonlocal now
        now = 0.3
        return early, engine.read_load()

    early, late = runner.run(offer())
    assert_that((early["waiting"], late["waiting"]), Equals((0, 1)))
    assert_that(late["age_ms"], Equals(300))


def test_shard_comes_from_the_weight_store(runner, control):
    models = {"m": ModelEntry(versions=("1",), adapters=(), bytes=3)}
    limits = PlatformOptions(weight_bytes_per_s=1e6, weight_burst_bytes=1.0)
    platform = PlatformStandIn(models=models, options=limits)

    async def load():
        store = await platform.start()
        engine = EngineStandIn(options=EngineOptions(weight_store=store))
        address = await engine.start()
        await control.order(address, make_order(1))
        await wait_ready([engine])
        state = await control.read_state(address)
        await engine.stop()
        await platform.stop()
        return state

    assert_that(runner.run(load()).unwrap()["phase"], Equals(EnginePhase.READY))


def test_paused_engine_answers_only_after_it_resumes(runner, engine, control):
    async def order_while_paused():
        engine.faults.set_paused(True)
        task = asyncio.create_task(control.order(engine.address, make_order(3)))
        await wait_until(lambda: engine.arrivals > 0)
        before = engine.shards.fence
        engine.faults.set_paused(False)
        return before, await task

    before, answer = runner.run(order_while_paused())
    assert_that(before, Equals(0))
    assert_that(answer.unwrap().accepted, Equals(True))


def test_order_to_a_paused_engine_is_lost_if_it_is_killed(
    runner, engine, control
):
    address = engine.address

    async def restart_while_paused():
        engine.faults.set_paused(True)
        task = asyncio.create_task(control.order(address, make_order(3)))
        await wait_until(lambda: engine.arrivals > 0)
        engine.kill()
        await engine.start(port=int(address.rpartition(":")[2]))
        await task

    runner.run(restart_while_paused())
    assert_that(engine.shards.fence, Equals(0))

"""Tests of a region during an outage of the log service, on stand-ins."""

import asyncio
import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from test.tasks.region_site import is_serving, RegionSite

OUTAGE_S = 30.0
HOSTS = {"host-0", "host-1", "host-2"}


@pytest.fixture
def run_site():
    """Run a test on a region whose group serves, and stop the region."""

    def run(test, fenced=(True,) * 3):
        async def run_all():
            site = RegionSite(fenced=fenced)
            await site.installation.start()
            try:
                async with asyncio.timeout(30):
                    await site.add_node()
                    await site.apply()
                    status = await site.wait_status(is_serving)
                    await site.wait_until_answered()
                    await test(site, status["groups"][0])
            finally:
                await site.stop()

        asyncio.run(run_all())

    return run


async def wait_record(site, kind):
    """Wait until the node has read a record of a kind; return the record."""
    stream = site.installation.platform.get_stream("region.north")
    while True:
        _, state = await site.send("GET", "/state")
        for stored in stream.read(1, state["region"]["upto"]):
            record = json.loads(bytes(stored.data))
            if record[0] == kind:
                return stored.offset, record
        await asyncio.sleep(0)


async def lose_host_in_outage(site, host):
    """Begin an outage, kill a host and advance the clock past all timeouts."""
    await site.begin_outage()
    site.installation.kill_host(host)
    site.clock.shift_s += OUTAGE_S


def test_groups_serve_through_an_outage_longer_than_the_lease(run_site):
    async def check(site, group):
        node = site.nodes[0]
        await site.begin_outage()
        site.clock.shift_s += OUTAGE_S
        read = node.metrics.registry.get_sample_value
        while read("chervilrock_lease_held"):
            await asyncio.sleep(0)
        await site.wait_until_answered()
        status = await site.wait_status(is_serving)
        assert_that(status["log_reachable"], Equals(False))
        assert_that(status["groups"], Equals([group]))

    run_site(check)


def test_granted_spare_replaces_a_host_that_fails_in_an_outage(run_site):
    async def check(site, group):
        reserve, _ = await wait_record(site, "spares-granted")
        (spare,) = HOSTS - set(group["hosts"])
        failed_host = group["hosts"][1]
        await lose_host_in_outage(site, failed_host)
        while not (site.find_shard(spare) or {}).get("fence"):
            await asyncio.sleep(0)
        await site.wait_until_answered()
        status = await site.wait_status(is_serving)
        assert_that(status["log_reachable"], Equals(False))
        expected = [group["hosts"][0], spare]
        (repaired,) = status["groups"]
        assert_that(repaired["hosts"], Equals(expected))
        assert_that(repaired["fence"], Equals(reserve))
        site.end_outage()
        _, record = await wait_record(site, "group-repaired")
        assert_that(record[-1][-1], Equals(reserve))
        status = await site.wait_status(is_serving)
        assert_that(status["groups"], Equals([repaired]))
        await site.wait_until_answered()

    run_site(check)


@pytest.mark.parametrize(
    "fenced", [(False, False, False), (True, False, True), (True, True, False)]
)
def test_group_with_an_engine_that_ignores_fences_is_not_repaired(
    run_site, fenced
):
    async def check(site, group):
        (spare,) = HOSTS - set(group["hosts"])
        failed_host = group["hosts"][1]
        before = site.find_shard(group["hosts"][0])
        await lose_host_in_outage(site, failed_host)
        await site.wait_status(lambda status: not is_serving(status))
        await site.wait_requests(spare, 20)
        assert_that(site.find_shard(spare), Equals(None))
        assert_that(site.find_shard(group["hosts"][0]), Equals(before))
        assert_that(await site.complete(), Equals(503))

    run_site(check, fenced)


def test_node_that_starts_in_an_outage_reports_that_it_cannot_serve(run_site):
    async def check(site, group):
        await site.begin_outage()
        await site.add_node()
        # The peer supplies the configuration but not the state of the region.
        status = await site.wait_status(
            lambda report: report["revision"], number=1
        )
        await site.wait_requests("host-0", 20)
        assert_that(await site.complete(number=1), Equals(503))
        ready, _ = await site.send("GET", "/ready", number=1)
        assert_that(ready, Equals(503))
        assert_that(status["log_reachable"], Equals(False))
        assert_that(status["region_known"], Equals(False))
        assert_that(status["groups"], Equals([]))
        site.end_outage()
        await site.wait_until_answered(number=1)
        status = await site.read_status(number=1)
        assert_that(status["region_known"], Equals(True))
        assert_that(status["groups"], Equals([group]))

    run_site(check)

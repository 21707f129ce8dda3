"""Publication and measurements of the region task."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.tasks.probe_plan import FREQUENT_PROBING_S
from chervilrock.tasks.region_messages import LeaseGivenUp, ReportWanted
from test.tasks.driven_region import DrivenRegion, PRESENCE_LIMIT_S
from test.tasks.test_region_control import make_document

DOWNTIME = "chervilrock_group_downtime_seconds_total"
STRANDED = "chervilrock_stranded_accelerators"


@pytest.fixture
def region():
    """A region with one serving group."""
    driven = DrivenRegion(hosts=4)
    driven.apply(make_document(b=1))
    driven.run(20)
    assert_that(driven.list_served(), HasLength(1))
    return driven


def read_metric(region, name, **labels):
    return region.metrics.registry.get_sample_value(name, labels)


def test_nothing_is_published_while_nothing_changes(region):
    before = region.views
    for name in region.engines:
        region.probe(name)
    for _ in range(10):
        region.handle_messages()
    assert_that(region.views, Equals(before))


def test_group_expires_with_its_evidence_without_a_new_view(region):
    region.now += PRESENCE_LIMIT_S
    assert_that(region.list_served(), HasLength(0))


def test_unchanged_host_list_changes_nothing(region):
    region.ports.probes.receive_waiting()
    region.list_hosts()
    region.handle_messages()
    assert_that(region.ports.probes.receive_waiting(), HasLength(0))
    region.list_hosts(leaving=("h0",))
    region.handle_messages()
    assert_that(region.ports.probes.receive_waiting(), HasLength(1))
    assert_that(region.list_served(), HasLength(0))


def test_group_downtime_counts_from_loss_to_return(region):
    assert_that(read_metric(region, STRANDED), Equals(2.0))
    before = read_metric(region, DOWNTIME, model="b")
    region.unresponsive.update(region.engines)
    region.run(int(PRESENCE_LIMIT_S / 0.5) + 8)
    region.unresponsive.clear()
    region.run(6)
    assert_that(region.list_served(), HasLength(1))
    counted = read_metric(region, DOWNTIME, model="b") - before
    # Counted from the age limit on, which expires between two 0.5 s steps.
    assert_that(3.5 <= counted <= 5.0, Equals(True))


def test_hosts_of_an_incomplete_group_are_probed_often(region):
    region.ports.probes.receive_waiting()
    region.unresponsive.add("h0")
    region.run(int(PRESENCE_LIMIT_S / 0.5) + 2)
    (wanted,) = region.ports.probes.receive_waiting()
    assert_that(wanted.frequent, Equals({"h0", "h1"}))
    region.run(int(FREQUENT_PROBING_S / 0.5) + 2)
    wanted = region.ports.probes.receive_waiting()[-1]
    assert_that(wanted.frequent, HasLength(0))


@pytest.mark.parametrize("request_type", [ReportWanted, LeaseGivenUp])
def test_request_that_was_cancelled_does_not_block_later_ones(
    region, request_type
):
    # An operator requested the status of a paused process and gave up after
    # two seconds; the process must handle the cancelled reply when it resumes.
    loop = asyncio.new_event_loop()
    cancelled = loop.create_future()
    cancelled.cancel()
    region.task.inbox.offer(request_type(cancelled))
    region.handle_messages()
    waiting = loop.create_future()
    region.task.inbox.offer(ReportWanted(waiting))
    region.handle_messages()
    assert_that(waiting.done(), Equals(True))
    loop.close()

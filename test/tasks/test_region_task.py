"""The region task: what it publishes and measures."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.tasks.probe_plan import FREQUENT_S
from chervilrock.tasks.region_messages import LeaseGivenUp, ReportWanted
from test.tasks.driven_region import DrivenRegion, LIMIT_S
from test.tasks.test_region_control import make_document

DOWNTIME = "chervilrock_group_downtime_seconds_total"
STRANDED = "chervilrock_stranded_accelerators"


@pytest.fixture
def region():
    """A region whose one group serves."""
    driven = DrivenRegion(hosts=4)
    driven.apply(make_document(b=1))
    driven.run(20)
    assert_that(driven.served(), HasLength(1))
    return driven


def read(region, name, **labels):
    return region.metrics.registry.get_sample_value(name, labels)


def test_nothing_is_published_while_nothing_changes(region):
    before = region.views
    for name in region.engines:
        region.probe(name)
    for _ in range(10):
        region.turn()
    assert_that(region.views, Equals(before))


def test_group_ends_with_its_evidence_though_nothing_is_published(region):
    region.now += LIMIT_S
    assert_that(region.served(), HasLength(0))


def test_host_list_that_is_the_same_changes_nothing(region):
    region.ports.probes.receive_waiting()
    region.list_hosts()
    region.turn()
    assert_that(region.ports.probes.receive_waiting(), HasLength(0))
    region.list_hosts(leaving=("h0",))
    region.turn()
    assert_that(region.ports.probes.receive_waiting(), HasLength(1))
    assert_that(region.served(), HasLength(0))


def test_group_downtime_counts_from_loss_to_return(region):
    assert_that(read(region, STRANDED), Equals(2.0))
    before = read(region, DOWNTIME, model="b")
    region.silent.update(region.engines)
    region.run(int(LIMIT_S / 0.5) + 8)
    region.silent.clear()
    region.run(6)
    assert_that(region.served(), HasLength(1))
    counted = read(region, DOWNTIME, model="b") - before
    # Lost from the age limit on, which ends between two steps of 0.5 s.
    assert_that(3.5 <= counted <= 5.0, Equals(True))


def test_hosts_of_a_group_that_is_not_whole_are_probed_often(region):
    region.ports.probes.receive_waiting()
    region.silent.add("h0")
    region.run(int(LIMIT_S / 0.5) + 2)
    (wanted,) = region.ports.probes.receive_waiting()
    assert_that(wanted.frequent, Equals({"h0", "h1"}))
    region.run(int(FREQUENT_S / 0.5) + 2)
    wanted = region.ports.probes.receive_waiting()[-1]
    assert_that(wanted.frequent, HasLength(0))


@pytest.mark.parametrize("question", [ReportWanted, LeaseGivenUp])
def test_a_question_whose_asker_gave_up_harms_nothing(region, question):
    # An operator asked a node for its status while its process stood still,
    # and gave up after two seconds; the node answered when it went on.
    loop = asyncio.new_event_loop()
    given_up = loop.create_future()
    given_up.cancel()
    region.task.inbox.offer(question(given_up))
    region.turn()
    waiting = loop.create_future()
    region.task.inbox.offer(ReportWanted(waiting))
    region.turn()
    assert_that(waiting.done(), Equals(True))
    loop.close()

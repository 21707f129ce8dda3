"""The part of the region task that controls the region."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.generated.configuration import ModelSpec
from test.tasks.driven_region import DrivenRegion


def make_document(**groups):
    """Return models with two hosts per group; model a wants a spare."""
    models = tuple(
        ModelSpec(
            name=name,
            version="1",
            groups=count,
            hosts_per_group=2,
            spares=int(name == "a"),
        )
        for name, count in groups.items()
    )
    return {"name": "test", "data_centres": ("d",), "models": models}


@pytest.fixture
def region():
    """A region with one serving group that has a spare."""
    driven = DrivenRegion(hosts=4)
    driven.apply(make_document(a=1))
    driven.run(20)
    assert_that(driven.list_served(), HasLength(1))
    assert_that(driven.list_kinds()[-1], Equals("spares-granted"))
    return driven


def test_spare_is_released_for_a_wanted_group(region):
    region.apply(make_document(a=1, b=1), revision=2)
    region.run(20)
    assert_that(region.list_served(), HasLength(2))


def test_group_is_not_granted_twice_while_its_grant_is_in_progress():
    region = DrivenRegion(hosts=8)
    region.run(8)
    region.apply(make_document(a=2))
    region.reads_are_empty = True
    region.run(4)
    assert_that(region.list_kinds(), Equals(["group-granted"] * 2))
    region.reads_are_empty = False
    region.run(20)
    kinds = region.list_kinds()
    assert_that(kinds.count("group-granted"), Equals(2))
    assert_that(region.list_served(), HasLength(2))


def test_group_is_not_repaired_twice_while_its_repair_is_in_progress(region):
    (group,) = region.list_served().values()
    lost = next(name for name, engine in region.engines.items() if engine.shard)
    region.unresponsive.add(lost)
    before = len(region.list_kinds())
    while len(region.list_kinds()) == before:
        region.run(1)
    region.reads_are_empty = True
    region.run(4)
    assert_that(region.list_kinds()[before:], Equals(["group-repaired"]))
    region.reads_are_empty = False
    region.run(20)
    assert_that(list(region.list_served()), Equals([group.group]))

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.finishing import FinishingTable
from chervilrock.generated.records import GroupPhase
from test.decisions.control.test_views import LIMIT, make_entry, make_group
from test.decisions.control.test_views import Site as ViewSite


class Site(ViewSite):
    """A table of groups that finish their requests, with its inputs."""

    def __init__(self):
        super().__init__()
        self.finishing = FinishingTable(presence=self.presence)
        self.group = make_group()
        self.put_group(self.group)
        self.probe_all()

    def probe_all(self):
        for rank, host in enumerate(self.group.hosts):
            self.probe(host, self.group, rank)

    def set_phase(self, phase):
        self.put_group(self.group._replace(phase=phase))

    def set_leaving(self, host, leaving):
        self.hosts = {**self.hosts, host: make_entry(host, leaving)}

    def list_finishing(self):
        """Return the groups that may finish their requests now."""
        finishing = self.finishing.update(self.region, self.hosts, self.now)
        return [group for group in finishing if self.now < group.until]


@pytest.fixture
def finishing_site():
    return Site()


def test_group_that_gets_new_requests_does_not_finish(finishing_site):
    assert_that(finishing_site.list_finishing(), Equals([]))


@pytest.mark.parametrize("cause", ["drains", "host leaves"])
def test_whole_group_finishes_its_requests(finishing_site, cause):
    if cause == "drains":
        finishing_site.set_phase(GroupPhase.DRAINING)
    else:
        finishing_site.set_leaving("h1", True)
        finishing_site.update()
        assert_that(finishing_site.served(), Equals({}))
    (finishing,) = finishing_site.list_finishing()
    assert_that((finishing.group, finishing.fence), Equals(("g", 5)))
    finishing_site.now += LIMIT
    assert_that(finishing_site.list_finishing(), Equals([]))


def test_group_that_lost_a_host_does_not_finish(finishing_site):
    finishing_site.set_phase(GroupPhase.DRAINING)
    finishing_site.probe("h1", finishing_site.group, 1, incarnation="new")
    assert_that(finishing_site.list_finishing(), Equals([]))


def test_dissolved_group_does_not_finish(finishing_site):
    finishing_site.set_phase(GroupPhase.DRAINING)
    assert_that(finishing_site.list_finishing(), HasLength(1))
    del finishing_site.region.groups["g"]
    finishing_site.region.upto += 1
    assert_that(finishing_site.list_finishing(), Equals([]))


@settings(max_examples=60)
@given(
    st.lists(
        st.sampled_from(["probe", "wait", "drain", "serve", "leave", "stay"]),
        max_size=30,
    )
)
def test_end_of_validity_is_never_too_late(steps):
    site = Site()
    draining = False
    leaving = False
    for step in steps:
        if step == "probe":
            site.probe_all()
        elif step == "wait":
            site.now += LIMIT / 4
        elif step in ("drain", "serve"):
            draining = step == "drain"
            phase = GroupPhase.DRAINING if draining else GroupPhase.SERVING
            site.set_phase(phase)
        else:
            leaving = step == "leave"
            site.set_leaving("h0", leaving)
        finishing = site.list_finishing()
        whole = site.presence.whole(site.group, site.now)
        assert bool(finishing) == (whole and (draining or leaving))
        expiry = site.presence.find_expiry(site.group.hosts)
        assert all(one.until <= expiry for one in finishing)

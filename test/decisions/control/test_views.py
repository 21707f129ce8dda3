"""The table of endpoints agrees with an evaluation of every group."""

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from chervilrock.decisions.ownership import Group, Ownership
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.shards import make_shard
from chervilrock.decisions.views import EndpointTable, REFRESHES_PER_LIMIT
from chervilrock.generated.interfaces import EnginePhase, HostEntry
from chervilrock.generated.records import GroupPhase

LIMIT = 3.0
HOSTS = ("h0", "h1", "h2", "h3", "h4", "h5", "h6")


def make_group(name="g", hosts=("h0", "h1"), fence=5, **changes):
    group = Group(
        name=name,
        model="m",
        version="v",
        adapters=(),
        hosts=hosts,
        domain="f",
        fence=fence,
        phase=GroupPhase.SERVING,
        revision=1,
        spares=("h4",),
        reserve=8,
        incarnations=("i",) * len(hosts),
        spare_incarnations=("i",),
    )
    return group._replace(**changes)


def make_state(host, group, rank, incarnation="i"):
    return {
        "host": host,
        "incarnation": incarnation,
        "phase": EnginePhase.READY,
        "fence": group.fence,
        "checks_fence": True,
        "shard": make_shard(group, rank, "a:1"),
    }


def make_entry(host, leaving=False):
    return HostEntry(
        host=host,
        address=f"{host}:1",
        data_centre="d",
        domain="f",
        region="r",
        accelerators=1,
        leaving=leaving,
        checks_fence=True,
    )


class Site:
    """A table of endpoints with its inputs."""

    def __init__(self):
        self.now = 10.0
        self.region = RegionState()
        self.presence = PresenceTable(limit=LIMIT, now=self.now)
        self.table = EndpointTable(presence=self.presence)
        self.hosts = {host: make_entry(host) for host in HOSTS}

    def put_group(self, group):
        self.region.groups[group.name] = group
        for host in (*group.hosts, *group.spares):
            owner = Ownership(group.name, group.fence)
            self.region.table.assign(host, owner)
        self.region.upto += 1

    def probe(self, host, group, rank, incarnation="i", late=0.0):
        state = make_state(host, group, rank, incarnation)
        self.presence.observe(host, state, self.now - late, self.now)

    def update(self):
        changed = self.presence.pop_changed()
        return self.table.update(self.region, self.hosts, changed, self.now)

    def served(self):
        """Return the groups that may get requests now, as the table has it."""
        return {
            timed.endpoint.group: timed.endpoint.fence
            for timed in self.table.endpoints
            if self.now < timed.until
        }

    def expected(self):
        """Return the same groups by an evaluation of each group."""
        return {
            group.name: group.fence
            for group in self.presence.servable(self.region, self.now)
            if self.now < self.presence.find_expiry(group.hosts)
            and not any(self.hosts[host]["leaving"] for host in group.hosts)
        }


@pytest.fixture
def site():
    filled = Site()
    group = make_group()
    filled.put_group(group)
    filled.probe("h0", group, 0)
    filled.probe("h1", group, 1)
    filled.update()
    return filled


def test_endpoint_expires_with_its_oldest_evidence_without_an_update(site):
    (timed,) = site.table.endpoints
    assert_that(timed.until, Equals(10.0 + LIMIT))
    site.now = 12.9
    assert_that(site.served(), HasLength(1))
    site.now = 13.0
    assert_that(site.served(), HasLength(0))


def test_newer_evidence_extends_the_expiry_at_the_next_refresh(site):
    group = site.region.groups["g"]
    site.now = 10.1
    site.probe("h0", group, 0)
    site.probe("h1", group, 1)
    assert_that(site.update().expiries, Is(False))
    site.now = 10.0 + LIMIT / REFRESHES_PER_LIMIT
    change = site.update()
    assert_that((change.groups, change.expiries), Equals((False, True)))
    assert_that(site.table.endpoints[0].until, Equals(10.1 + LIMIT))


def test_restarted_engine_removes_its_group_at_once(site):
    site.now = 10.1
    site.probe("h1", site.region.groups["g"], 1, incarnation="j")
    assert_that(site.update().groups, Is(True))
    assert_that(site.served(), Equals({}))


def test_leaving_host_removes_its_group_at_once(site):
    site.hosts = {**site.hosts, "h1": make_entry("h1", leaving=True)}
    assert_that(site.update().groups, Is(True))
    assert_that(site.served(), Equals({}))
    assert_that(list(site.table.list_servable()), HasLength(1))


def test_answer_after_the_expiry_restores_a_group(site):
    site.now = 13.2
    site.update()
    assert_that(site.served(), Equals({}))
    site.now = 13.3
    group = site.region.groups["g"]
    site.probe("h0", group, 0, late=0.5)
    site.probe("h1", group, 1, late=0.5)
    assert_that(site.update().groups, Is(True))
    assert_that(site.served(), Equals({"g": 5}))


def test_composition_is_served_once_a_duplicate_rank_is_gone(site):
    group = make_group(fence=8)
    for host, rank in (("h0", 0), ("h1", 1), ("h4", 1)):
        site.probe(host, group, rank)
    site.update()
    assert_that(site.served(), Equals({}))
    for _ in range(4):
        site.now += 1.0
        site.probe("h0", group, 0)
        site.probe("h4", group, 1)
        site.update()
    assert_that(site.served(), Equals({"g": 8}))


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.sampled_from((0.1, 0.6, 1.5, 3.5))),
        st.tuples(
            st.just("probe"),
            st.sampled_from(HOSTS),
            st.sampled_from((5, 6, 8)),
            st.integers(0, 1),
            st.sampled_from("iij"),
            st.sampled_from((0.0, 0.5, 2.9)),
        ),
        st.tuples(
            st.just("load"),
            st.sampled_from((0, 8)),
            st.sampled_from(((0, 1), (4, 1), (0, 4))),
            st.sampled_from((0.0, 0.5, 2.9)),
        ),
        st.tuples(
            st.just("group"),
            st.sampled_from((5, 6)),
            st.sampled_from((*GroupPhase, *[GroupPhase.SERVING] * 4)),
            st.sampled_from((("h0", "h1"), ("h0", "h2"), ("h3", "h1"))),
        ),
        st.tuples(st.just("remove")),
        st.tuples(st.just("leave"), st.sampled_from(HOSTS)),
        st.tuples(st.just("update")),
    ),
    max_size=40,
)


@settings(max_examples=300, deadline=None)
@given(steps=STEPS)
def test_table_agrees_with_judging_every_group(steps):
    site = Site()
    other = make_group("other", ("h5", "h6"), spares=(), reserve=0)
    site.put_group(other)
    site.put_group(make_group())
    for step in steps:
        take_step(site, step, other)
        # Between updates the table may list fewer groups, never more.
        for name, fence in site.served().items():
            if step[0] == "wait":
                assert_that(site.expected().get(name), Equals(fence))
    site.update()
    assert site.served().items() <= site.expected().items()
    site.now += LIMIT / REFRESHES_PER_LIMIT
    site.update()
    assert_that(site.served(), Equals(site.expected()))


def probe_loaded(site, other, fence, ranks, late):
    """Probe engines that hold the groups, `g` also under its reserve fence."""
    for rank, host in enumerate(other.hosts):
        site.probe(host, other, rank, late=late)
    group = site.region.groups.get("g")
    if group is None:
        return
    hosts_by_number = {0: group.hosts[0], 1: group.hosts[1], 4: "h4"}
    hosts = group.hosts
    if fence:
        hosts = tuple(hosts_by_number[number] for number in ranks)
        group = group._replace(fence=fence)
    for rank, host in enumerate(hosts):
        site.probe(host, group, rank, late=late)


def take_step(site, step, other):
    """Apply one step; all steps but `wait` are followed by an update."""
    kind, *values = step
    if kind == "wait":
        site.now += values[0]
        return
    if kind == "probe":
        host, fence, rank, incarnation, late = values
        group = make_group(fence=fence)
        if host in other.hosts and fence == 6:
            group = other
        site.probe(host, group, rank, incarnation, late)
    elif kind == "load":
        probe_loaded(site, other, *values)
    elif kind == "group":
        fence, phase, hosts = values
        site.put_group(make_group(fence=fence, phase=phase, hosts=hosts))
    elif kind == "remove":
        site.region.groups.pop("g", None)
        site.region.upto += 1
    elif kind == "leave":
        leaving = not site.hosts[values[0]]["leaving"]
        entry = make_entry(values[0], leaving)
        site.hosts = {**site.hosts, values[0]: entry}
    site.update()

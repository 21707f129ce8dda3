from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.planner.releases import ReleaseHistory
from test.decisions.planner.planner_views import (
    make_group,
    make_host,
    make_input,
)


def _mark(history, groups, now):
    hosts = [make_host("h0", free=False), make_host("h1", free=False)]
    view = history.mark_releasing(make_input([], hosts, groups), now)
    return [host.host for host in view.hosts if host.releasing]


def test_hosts_that_left_a_group_are_releasing_for_a_limited_time():
    history = ReleaseHistory()
    group = make_group("g", ["h0"])
    assert_that(_mark(history, [group], 0.0), Equals([]))
    assert_that(_mark(history, [], 1.0), Equals(["h0"]))
    assert_that(_mark(history, [], 30.0), Equals(["h0"]))
    assert_that(_mark(history, [], 31.0), Equals([]))
    assert_that(_mark(history, [group], 32.0), Equals([]))

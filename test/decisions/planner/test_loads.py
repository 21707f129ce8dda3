from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.planner.loads import LoadHistory
from chervilrock.generated.records import GroupPhase
from test.decisions.planner.planner_views import make_group


def _make_groups(phase, count):
    return [
        make_group(f"g{number}", [f"h{number}a", f"h{number}b"], phase=phase)
        for number in range(count)
    ]


def _load_together(history, count, begin, end):
    history.observe(_make_groups(GroupPhase.LOADING, count), begin)
    history.observe(_make_groups(GroupPhase.SERVING, count), end)
    history.observe([], end)


def test_learns_the_rate_from_loads_that_slowed_each_other():
    history = LoadHistory()
    _load_together(history, 1, 0.0, 100.0)
    _load_together(history, 4, 200.0, 400.0)
    times = history.estimate(50)
    assert_that((times.shard_s, times.parallel), Equals((100.0, 4.0)))


def test_expects_more_while_loads_do_not_slow_each_other():
    history = LoadHistory()
    _load_together(history, 8, 0.0, 100.0)
    times = history.estimate(50)
    assert_that((times.shard_s, times.parallel), Equals((100.0, 32.0)))


def test_counts_only_new_hosts_of_a_repair():
    history = LoadHistory()
    (group,) = _make_groups(GroupPhase.SERVING, 1)
    history.observe([group], 0.0)
    repaired = group._replace(
        hosts=("h0a", "new"), fence=2, phase=GroupPhase.LOADING
    )
    history.observe([repaired], 1.0)
    assert_that(history.count_in_flight(), Equals(1))

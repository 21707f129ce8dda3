import itertools

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.planner.packing import Option, pack

_OPTIONS = st.builds(
    Option,
    st.tuples(st.integers(0, 3), st.integers(0, 3)),
    st.integers(-5, 20).map(float),
    st.just(0),
)
_ITEMS = st.lists(
    st.lists(_OPTIONS, min_size=1, max_size=3).map(tuple), max_size=4
).map(tuple)


@given(items=_ITEMS, hosts=st.tuples(st.integers(0, 6), st.integers(0, 6)))
def test_finds_the_best_of_all_choices(items, hosts):
    values = [
        sum(option.value for option in choice)
        for choice in itertools.product(*items)
        if all(
            sum(option.hosts[place] for option in choice) <= hosts[place]
            for place in range(2)
        )
    ]
    packing = pack(items, hosts)
    found = None if packing is None else packing.value
    assert_that(found, Equals(max(values, default=None)))


def _pack(items, hosts):
    return pack(items, hosts)


def test_reserve_must_stay_free():
    form = Option((2,), 1.0, reserve=1)
    items = ((Option((0,), 0.0), form),)
    chosen = [_pack(items, (hosts,)).chosen for hosts in (2, 3)]
    assert_that(chosen, Equals([(0,), (1,)]))

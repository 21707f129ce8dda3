import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not
import typer

from bench.__main__ import Bench, find_benches, format_results, select


@pytest.fixture
def benches():
    def run(*, quick):
        yield {"size": 1 if quick else 100, "seconds": 0.5}
        yield {"size": 2 if quick else 200, "seconds": 0.7}

    return {name: Bench(name, run) for name in ("alpha", "beta")}


def test_each_result_is_one_json_line(benches):
    lines = list(format_results(benches["alpha"], quick=True))
    assert_that(
        [json.loads(line) for line in lines],
        Equals(
            [
                {"bench": "alpha", "size": 1, "seconds": 0.5},
                {"bench": "alpha", "size": 2, "seconds": 0.7},
            ]
        ),
    )


def test_no_name_selects_all(benches):
    assert_that(select(benches, []), Equals(list(benches.values())))


def test_benches_are_selected_in_the_given_order(benches):
    selected = select(benches, ["beta", "alpha"])
    assert_that([bench.name for bench in selected], Equals(["beta", "alpha"]))


def test_unknown_name_is_rejected_with_a_list_of_known_names(benches):
    with pytest.raises(typer.BadParameter) as caught:
        select(benches, ["alpha", "gamma"])
    assert_that(
        caught.value.message,
        Equals("no bench named gamma; there are: alpha, beta"),
    )


def test_every_bench_documents_its_method():
    undocumented = [
        bench.name
        for bench in find_benches().values()
        if not __import__(f"bench.{bench.name}", fromlist=["run"]).__doc__
    ]
    assert_that(undocumented, HasLength(0))


def test_runner_is_not_listed_as_a_bench():
    assert_that(list(find_benches()), Not(Contains("__main__")))

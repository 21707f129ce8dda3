"""Schema and cross-checks: codes, locations, hints and defaults."""

import copy

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is
import yaml

from chervilrock.configuration.check import check, check_decoded
from chervilrock.configuration.defaults import fill_defaults
from chervilrock.configuration.digest import digest
from chervilrock.configuration.findings import FindingCode as Code
from chervilrock.configuration.schema_check import MAX_ERRORS
from chervilrock.generated.configuration import WeightCatalogue
from chervilrock.generated.interfaces import HostEntry, HostList

MODEL = {"name": "m", "version": "v1", "groups": 1, "hosts_per_group": 2}
BASE = {"name": "x", "data_centres": ["a", "b"], "models": [MODEL]}
WEIGHTS: WeightCatalogue = {
    "models": {"m": {"versions": ("v1",), "adapters": ("one",), "bytes": 1}}
}


def make_host(data_centre, domain, number):
    return HostEntry(
        host=f"{data_centre}{domain}{number}",
        address="127.0.0.1:0",
        data_centre=data_centre,
        domain=domain,
        region="r",
        accelerators=8,
        leaving=False,
        checks_fence=True,
    )


def make_hosts(sizes):
    """Return a host list; `sizes` maps (data centre, domain) to hosts."""
    hosts = tuple(
        make_host(data_centre, domain, number)
        for (data_centre, domain), size in sizes.items()
        for number in range(size)
    )
    return HostList(hosts=hosts, services=(), age_ms=0)


@pytest.fixture
def hosts():
    return make_hosts({("a", "1"): 4, ("a", "2"): 3, ("b", "1"): 3})


@pytest.fixture
def find(hosts):
    """Return a function that lists each finding's code and marked text.

    The configuration is dumped with one scalar per line, so the rest of the
    line at a finding identifies its location.
    """

    def find_codes(**changes):
        text = yaml.safe_dump({**BASE, **changes}, sort_keys=False)
        _, findings = check(text, "x", hosts=hosts, weights=WEIGHTS)
        lines = text.splitlines()
        return [(f.code, lines[f.line - 1][f.column - 1 :]) for f in findings]

    return find_codes


def make_model(**changes):
    return {**copy.deepcopy(MODEL), **changes}


def make_period(start, end):
    return {"start": start, "end": end, "downtime": 1, "stranded": 1}


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"groups": 0}, []),
        ({"groups": -1}, [(Code.OUT_OF_RANGE, "-1")]),
        ({"groups": "3"}, [(Code.WRONG_TYPE, "'3'")]),
        ({"groups": 1.0}, [(Code.WRONG_TYPE, "1.0")]),
        ({"groups": True}, [(Code.WRONG_TYPE, "true")]),
        ({"version": 2.1}, [(Code.UNQUOTED_TEXT, "2.1")]),
        ({"version": False}, [(Code.UNQUOTED_TEXT, "false")]),
        ({"version": ""}, [(Code.BAD_FORM, "''")]),
        ({"version": "v 1"}, [(Code.BAD_FORM, "v 1")]),
        ({"version": "v" * 64}, [(Code.OUT_OF_RANGE, "v" * 64)]),
        ({"cross_domain": "allowed"}, [(Code.UNKNOWN_CHOICE, "allowed")]),
        ({"adapter": 1}, [(Code.UNKNOWN_KEY, "adapter: 1")]),
        ({"name": "n"}, [(Code.UNKNOWN_MODEL, "n")]),
        ({"version": "v2"}, [(Code.UNKNOWN_VERSION, "v2")]),
        ({"adapters": ["one", "two"]}, [(Code.UNKNOWN_ADAPTER, "two")]),
        ({"adapters": ["one", "one"]}, [(Code.DUPLICATE_NAME, "one")]),
        ({"data_centres": ["b", "c"]}, [(Code.UNKNOWN_DATA_CENTRE, "c")]),
        ({"hosts_per_group": 4}, []),
        ({"hosts_per_group": 5}, [(Code.GROUP_TOO_LARGE, "5")]),
        (
            {"hosts_per_group": 4, "data_centres": ["b"]},
            [(Code.GROUP_TOO_LARGE, "4")],
        ),
        ({"hosts_per_group": 10, "cross_domain": "allow"}, []),
        (
            {"hosts_per_group": 11, "cross_domain": "allow"},
            [(Code.GROUP_TOO_LARGE, "11")],
        ),
        ({"groups": 4}, []),
        ({"groups": 5}, [(Code.TOO_FEW_HOSTS, "5")]),
        ({"spares": 2}, []),
        ({"groups": 3, "spares": 1}, []),
        ({"groups": 4, "spares": 1}, [(Code.TOO_FEW_HOSTS, "4")]),
        ({"hosts_per_group": 7, "spares": 1, "cross_domain": "allow"}, []),
        (
            {"hosts_per_group": 8, "spares": 1, "cross_domain": "allow"},
            [(Code.TOO_MANY_SPARES, "1")],
        ),
        ({"spares": 3}, [(Code.TOO_MANY_SPARES, "3")]),
    ],
)
def test_one_fault_of_a_model(find, change, expected):
    assert_that(find(models=[make_model(**change)]), Equals(expected))


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"name": "a\nb"}, [(Code.BAD_FORM, "'a")]),
        ({"data_centres": ["a", "b", "a"]}, [(Code.DUPLICATE_NAME, "a")]),
        ({"data_centres": ["a", "c"]}, [(Code.UNKNOWN_DATA_CENTRE, "c")]),
        ({"data_centres": []}, [(Code.OUT_OF_RANGE, "[]")]),
        ({"models": [make_model()] * 2}, [(Code.DUPLICATE_NAME, "m")]),
        ({"services": [{"name": "s"}] * 2}, [(Code.DUPLICATE_NAME, "s")]),
        ({"workspaces": [{"name": "w"}] * 2}, [(Code.DUPLICATE_NAME, "w")]),
        (
            {"workspaces": [{"name": "w", "share": 0}]},
            [(Code.SHARE_TOO_SMALL, "0")],
        ),
        ({"limits": {"retry_ratio": 0.2}}, [(Code.OUT_OF_RANGE, "0.2")]),
        ({"limits": None}, [(Code.WRONG_TYPE, "null")]),
        (
            {"models": 3, "limits": []},
            [(Code.WRONG_TYPE, "3"), (Code.WRONG_TYPE, "[]")],
        ),
    ],
)
def test_one_fault_of_a_configuration(find, change, expected):
    assert_that(find(**change), Equals(expected))


@pytest.mark.parametrize(
    ("periods", "expected"),
    [
        ([("01-01", "01-31"), ("02-01", "02-29")], []),
        ([("12-15", "01-15"), ("01-16", "12-14")], []),
        ([("01-01", "12-31")], []),
        ([("02-30", "03-01")], [(Code.BAD_DATE, "02-30")]),
        (
            [("00-01", "13-01")],
            [(Code.BAD_DATE, "00-01"), (Code.BAD_DATE, "13-01")],
        ),
        ([("1-1", "01-02")], [(Code.BAD_FORM, "1-1")]),
        (
            [("12-15", "01-15"), ("01-15", "01-20")],
            [(Code.OVERLAPPING_PERIODS, "01-15")],
        ),
    ],
)
def test_calendar(find, periods, expected):
    calendar = [make_period(*period) for period in periods]
    found = find(objective={"calendar": calendar})
    assert_that(found, Equals(expected))


def test_models_together_need_more_hosts_than_exist(find):
    first = make_model(groups=2, data_centres=["a"])
    second = make_model(name="n", hosts_per_group=4, data_centres=["a"])
    found = find(models=[first, second])
    codes = [code for code, _ in found]
    assert_that(codes, Equals([Code.UNKNOWN_MODEL, Code.TOO_FEW_HOSTS]))


def test_faulty_parts_do_not_hide_other_faults(find):
    models = [make_model(groups="x"), make_model(version="v2")]
    expected = [(Code.WRONG_TYPE, "x"), (Code.UNKNOWN_VERSION, "v2")]
    assert_that(find(models=models), Equals(expected))


def test_a_decoded_configuration_is_checked_as_a_file():
    configuration, findings = check_decoded(BASE, "request")
    assert configuration is not None
    assert_that(configuration["limits"]["queue"], Equals(256))
    assert_that(len(findings), Equals(0))
    models = [make_model(weight=1e-05), make_model(weight=float("nan"))]
    _, findings = check_decoded({**BASE, "models": models}, "request")
    expected = [
        "request:1:1: duplicate-name: models[1].name: 'm' stands in line 1 "
        "already (use each name once)",
        "request:1:1: wrong-type: models[1].weight: 'nan', but a number is "
        "wanted",
    ]
    rendered = [item.render() for item in findings]
    assert_that(rendered, Equals(expected))


@pytest.mark.parametrize("value", [None, 3, [], "x", {}, {"models": [{}]}])
def test_invalid_decoded_values_are_rejected_without_raising(value):
    configuration, findings = check_decoded(value, "request")
    assert_that(configuration is None, Equals(True))
    assert_that(len(findings) > 0, Equals(True))


def test_hints_suggest_the_closest_key():
    text = "name: x\ndata_centers: [a]\nmodels: []\nworkspace: []\n"
    _, findings = check(text, "x", hosts=None, weights=None)
    found = [(item.code, item.hint) for item in findings]
    expected = [
        (Code.MISSING_KEY, ""),
        (Code.UNKNOWN_KEY, "did you mean 'data_centres'?"),
        (Code.UNKNOWN_KEY, "did you mean 'workspaces'?"),
    ]
    assert_that(found, Equals(expected))


def test_the_hint_for_an_unquoted_text_can_be_pasted():
    text = "name: 1:30\ndata_centres: [no]\nmodels: []\n"
    _, findings = check(text, "x", hosts=None, weights=None)
    hints = [item.hint for item in findings]
    expected = ['write it in quotes: "1:30"', 'write it in quotes: "no"']
    assert_that(hints, Equals(expected))


def test_defaults_are_filled_in_everywhere():
    configuration = fill_defaults(BASE)
    assert_that(configuration["limits"]["retry_ratio"], Equals(0.1))
    assert_that(len(configuration["objective"]["calendar"]), Equals(0))
    assert_that(configuration["models"][0]["cross_domain"], Equals("forbid"))
    assert_that(len(configuration["services"]), Equals(0))


def test_equal_configurations_have_one_digest():
    explicit_defaults = {**BASE, "objective": {"downtime": 1, "stranded": 1.0}}
    reordered = dict(reversed(list(explicit_defaults.items())))
    same = digest(fill_defaults(BASE))
    assert_that(digest(fill_defaults(reordered)), Equals(same))
    other = digest(fill_defaults({**BASE, "name": "y"}))
    assert_that(other == same, Is(False))


def test_excess_findings_end_with_a_truncation_marker():
    text = "name: x\ndata_centres: [a]\nmodels:\n" + "- 1\n" * 3000
    _, findings = check(text, "x", hosts=None, weights=None)
    codes = [str(item.code) for item in findings]
    assert_that(codes.count("too-many-findings"), Equals(1))
    assert_that(len(codes), Equals(MAX_ERRORS + 2))


@given(st.lists(st.integers(1, 6), min_size=1), st.integers(0, 9))
def test_what_fits_by_construction_is_not_refused(sizes, more):
    """Groups that fill whole domains fit, so no check may refuse them."""
    hosts = make_hosts(
        {("a", str(n)): size + more for n, size in enumerate(sizes)}
    )
    models = [
        make_model(name=f"m{n}", hosts_per_group=size)
        for n, size in enumerate(sizes)
    ]
    text = yaml.safe_dump({**BASE, "data_centres": ["a"], "models": models})
    _, findings = check(text, "x", hosts=hosts, weights=None)
    assert_that(len(findings), Equals(0))

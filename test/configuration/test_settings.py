"""Settings from flags and environment variables, and their findings."""

import pathlib
from typing import Any

import grimp
from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance
import yaml

from chervilrock.configuration import bounds
from chervilrock.configuration.findings import FindingCode
from chervilrock.configuration.settings import read_settings
from chervilrock.generated.settings import NodeSettings

SCHEMA = pathlib.Path("chervilrock/schema/settings.yaml")
GOOD = {
    "node": "node-1",
    "listen": "127.0.0.1:0",
    "region": "gujarat",
    "data_centre": "ahmedabad-1",
    "log_service": "10.0.0.1:9000",
}


@pytest.fixture
def schema():
    root = pathlib.Path(__file__).parents[2]
    text = (root / SCHEMA).read_text(encoding="utf-8")
    return yaml.safe_load(text)["$defs"]["NodeSettings"]["properties"]


def list_codes(flags, environment=None):
    result = read_settings(flags, environment or {})
    if isinstance(result, Success):
        return []
    return [(item.file, item.code) for item in result.failure()]


def test_defaults_are_those_of_the_schema(schema):
    settings = read_settings(GOOD, {}).unwrap()
    expected = dict[str, Any](GOOD)
    for key, value in schema.items():
        if "default" in value:
            expected[key] = value["default"]
    found = dict(settings._asdict())
    assert_that(found, Equals(expected))


def test_bounds_are_those_of_the_schema(schema):
    ranges: dict[str, Any] = {
        key: (value["minimum"], value["maximum"])
        for key, value in schema.items()
        if "minimum" in value
    }
    assert_that(bounds.RANGES, Equals(ranges))
    choices = {k: tuple(v["enum"]) for k, v in schema.items() if "enum" in v}
    assert_that(bounds.CHOICES, Equals(choices))
    for form, names in (
        ("address", bounds.ADDRESSES),
        ("addresses", bounds.ADDRESS_LISTS),
    ):
        found = [k for k, v in schema.items() if v.get("format") == form]
        assert_that(tuple(found), Equals(names))
    for key in bounds.NAMES:
        form = f"^{bounds.NAME.pattern}(?!\\n)$"
        assert_that(schema[key]["pattern"], Equals(form))
        assert_that(schema[key]["maxLength"], Equals(bounds.NAME_LENGTH))
    known = {*ranges, *choices, *bounds.NAMES, *bounds.ADDRESSES, "peers"}
    assert_that(known, Equals(set(NodeSettings._fields)))


def test_a_flag_overrides_a_variable():
    environment = {"CHERVILROCK_NODE": "other", "CHERVILROCK_SEED": "7"}
    settings = read_settings(GOOD, environment).unwrap()
    assert_that((settings.node, settings.seed), Equals(("node-1", 7)))


def test_an_omitted_flag_leaves_the_variable():
    flags = {**GOOD, "node": None}
    settings = read_settings(flags, {"CHERVILROCK_NODE": "other"}).unwrap()
    assert_that(settings.node, Equals("other"))


def test_all_findings_are_reported_together():
    flags = {"node": "a b", "listen": "localhost:80", "lease_ms": 5}
    environment = {
        "CHERVILROCK_LEASE_M": "1",
        "CHERVILROCK_LOG_LEVEL": "debug",
        "CHERVILROCK_DRIFT": "nan",
        "CHERVILROCK_PEERS": "10.0.0.1:80,10.0.0.2:0",
        "CHERVILROCK_SOMETHING": "of another program",
    }
    expected = [
        ("--data-centre", FindingCode.MISSING_SETTING),
        ("--lease-ms", FindingCode.OUT_OF_RANGE),
        ("--listen", FindingCode.BAD_ADDRESS),
        ("--log-service", FindingCode.MISSING_SETTING),
        ("--node", FindingCode.BAD_FORM),
        ("--region", FindingCode.MISSING_SETTING),
        ("CHERVILROCK_DRIFT", FindingCode.BAD_NUMBER),
        ("CHERVILROCK_LEASE_M", FindingCode.UNKNOWN_SETTING),
        ("CHERVILROCK_LOG_LEVEL", FindingCode.UNKNOWN_CHOICE),
        ("CHERVILROCK_PEERS", FindingCode.BAD_ADDRESS),
    ]
    assert_that(list_codes(flags, environment), Equals(expected))


@pytest.mark.parametrize(
    "text",
    [
        "",
        "127.0.0.1",
        "host:80",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:+80",
        "127.0.0.1:\u0661",
        "127.1:80",
        "::1:80",
        "[127.0.0.1]:80",
        "[fe80::1%eth0]:80",
        " 127.0.0.1:80",
        "127.0.0.1:80\n",
    ],
)
def test_only_ip_numbers_with_a_port_are_addresses(text):
    codes = list_codes({**GOOD, "log_service": text})
    expected = [("--log-service", FindingCode.BAD_ADDRESS)]
    assert_that(codes, Equals(expected))


def test_addresses_are_rendered_in_one_form():
    flags = {**GOOD, "log_service": "[::01]:0080", "peers": "10.0.0.1:1, ,"}
    settings = read_settings(flags, {}).unwrap()
    assert_that(settings.log_service, Equals("[::1]:80"))
    assert_that(settings.peers, Equals("10.0.0.1:1"))


@pytest.mark.parametrize(
    ("flags", "reported_flag"),
    [
        ({"listen": "0.0.0.0:80"}, "--listen"),
        ({"probe_interval_ms": 3000}, "--probe-interval-ms"),
        ({"presence_limit_ms": 500}, "--presence-limit-ms"),
    ],
)
def test_settings_that_contradict_each_other(flags, reported_flag):
    expected = [(reported_flag, FindingCode.CONFLICTING_SETTINGS)]
    assert_that(list_codes({**GOOD, **flags}), Equals(expected))


@given(
    st.dictionaries(
        st.sampled_from(NodeSettings._fields),
        st.one_of(st.text(max_size=30), st.floats(), st.integers(), st.none()),
    )
)
def test_no_value_raises(flags):
    result = read_settings({**GOOD, **flags}, {})
    assert_that(result, IsInstance(Success, Failure))


def test_a_serving_process_loads_no_yaml():
    graph = grimp.build_graph(
        "chervilrock", include_external_packages=True, cache_dir=None
    )
    needed = graph.find_upstream_modules("chervilrock.configuration.settings")
    heavy = needed & {"yaml", "jsonschema", "typer"}
    assert_that(heavy, Equals(set[str]()))
    assert_that("returns" in needed, Equals(True))

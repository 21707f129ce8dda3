"""Both examples are free of findings and fit their platforms."""

import pathlib

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, Not

from chervilrock.configuration.check import check
from chervilrock.configuration.digest import digest
from chervilrock.generated.configuration import Configuration, WeightCatalogue
from chervilrock.generated.interfaces import HostList

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.fixture(params=["aakashdeep", "descanso-justo"])
def name(request):
    return request.param


@pytest.fixture
def hosts(name):
    text = (EXAMPLES / f"{name}-hosts.json").read_bytes()
    return msgspec.json.decode(text, type=HostList)


@pytest.fixture
def weights(name):
    text = (EXAMPLES / f"{name}-weights.json").read_bytes()
    return msgspec.json.decode(text, type=WeightCatalogue)


@pytest.fixture
def checked(name, hosts, weights):
    text = (EXAMPLES / f"{name}.yaml").read_bytes()
    return check(text, name, hosts=hosts, weights=weights)


def test_example_is_clean(checked):
    configuration, findings = checked
    assert_that([item.render() for item in findings], Equals([]))
    assert_that(configuration, Not(Is(None)))


def test_example_round_trips_through_json(checked):
    configuration, _ = checked
    text = msgspec.json.encode(configuration)
    decoded = msgspec.json.decode(text, type=Configuration)
    assert_that(decoded, Equals(configuration))
    assert_that(digest(decoded), Equals(digest(configuration)))


def test_host_list_has_the_expected_size(hosts):
    assert_that(hosts["hosts"], HasLength(50))
    assert_that(hosts["services"], HasLength(3))
    data_centres = {host["data_centre"] for host in hosts["hosts"]}
    assert_that(data_centres, HasLength(3))
    domains = [host["domain"] for host in hosts["hosts"]]
    sizes = {domains.count(domain) for domain in domains}
    assert_that(sizes, Equals({8, 9}))
    fences = {host["checks_fence"] for host in hosts["hosts"]}
    assert_that(fences, Equals({True, False}))

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.clients.errors import PlatformErrorKind
from chervilrock.clients.http import HttpHostListSource, HttpWeightStore
from chervilrock.clients.httpclient import check_status, HttpAnswer
from chervilrock.generated.interfaces import HostEntry, HostList, ServiceEntry
from chervilrock.standin.faults import FaultKind


def make_host(name: str) -> HostEntry:
    return HostEntry(
        host=name,
        address="127.0.0.1:1",
        data_centre="dc-1",
        domain="d-1",
        region="north",
        accelerators=8,
        leaving=False,
        checks_fence=True,
    )


SERVICE = ServiceEntry(
    service="filings", address="127.0.0.1:2", data_centre="dc-1", leaving=False
)


@pytest.fixture
def hosts(http, platform) -> HttpHostListSource:
    return HttpHostListSource(http=http, address=platform.address)


def test_host_list_lags(runner, hosts, platform, clock):
    platform.set_hosts((make_host("host-1"),), (SERVICE,))
    clock.now = 4.9
    before_lag = runner.run(hosts.fetch()).unwrap()
    clock.now = 5.0
    after_lag = runner.run(hosts.fetch()).unwrap()
    assert_that(before_lag["hosts"], Equals(()))
    expected = HostList(
        hosts=(make_host("host-1"),), services=(SERVICE,), age_ms=5000
    )
    assert_that(after_lag, Equals(expected))


def test_posted_hosts_replace_those_of_the_same_name(
    runner, http, hosts, platform, clock
):
    platform.set_hosts((make_host("host-1"), make_host("host-2")))
    leaving = make_host("host-2")
    leaving["leaving"] = True
    body = HostList(hosts=(leaving,), services=(SERVICE,), age_ms=0)
    url = f"http://{platform.address}/hosts"
    encoded = msgspec.json.encode(body)
    runner.run(http.request("POST", url, timeout_s=5.0, body=encoded))
    clock.now = 5.0
    fetched = runner.run(hosts.fetch()).unwrap()
    assert_that(fetched["hosts"], Equals((make_host("host-1"), leaving)))
    assert_that(fetched["services"], Equals((SERVICE,)))


def test_catalogue_lists_versions_and_adapters(runner, http, platform):
    store = HttpWeightStore(http=http, address=platform.address)
    catalogue = runner.run(store.fetch_catalogue()).unwrap()
    expected = {"versions": ("1",), "adapters": ("a",), "bytes": 20}
    assert_that(catalogue, Equals({"models": {"m": expected}}))


def test_shards_are_rate_limited(runner, http, platform, clock):
    url = f"http://{platform.address}/weights/m/1/0?size=2"

    def fetch() -> HttpAnswer:
        result = runner.run(http.request("GET", url, timeout_s=5.0))
        answer: HttpAnswer = result.unwrap()
        return answer

    first, second = fetch(), fetch()
    clock.now = 1.0
    third = fetch()
    statuses = (first.status, second.status, third.status)
    assert_that(statuses, Equals((200, 429, 200)))
    assert_that(second.retry_after_s, Equals(1.0))


@pytest.mark.parametrize("path", ["other/1/0", "m/2/0", "m/1/2"])
def test_unknown_shard_is_not_found(runner, http, platform, path):
    url = f"http://{platform.address}/weights/{path}?size=2"
    answer = runner.run(http.request("GET", url, timeout_s=5.0)).unwrap()
    assert_that(answer.status, Equals(404))


def test_faults_are_set_over_http(runner, http, hosts, platform):
    fault_order = {
        "clear": True,
        "rules": [{"kind": "outage", "path": "/hosts", "count": 1}],
    }
    url = f"http://{platform.address}/faults"
    body = msgspec.json.encode(fault_order)
    answer = runner.run(http.request("POST", url, timeout_s=5.0, body=body))
    kinds = [rule["kind"] for rule in platform.faults.list_rules()]
    first = runner.run(hosts.fetch())
    second = runner.run(hosts.fetch())
    assert_that(answer.unwrap().status, Equals(200))
    assert_that(kinds, Equals([FaultKind.OUTAGE]))
    assert_that(first.failure().kind, Equals(PlatformErrorKind.OUTAGE))
    assert_that(second.unwrap()["hosts"], Equals(()))


@pytest.mark.parametrize(
    ("status", "not_run", "kind"),
    [
        (302, False, PlatformErrorKind.BAD_ANSWER),
        (400, False, PlatformErrorKind.REFUSED),
        (408, False, PlatformErrorKind.TIMEOUT),
        (429, False, PlatformErrorKind.REFUSED),
        (500, False, PlatformErrorKind.OUTAGE),
        (503, False, PlatformErrorKind.OUTAGE),
        (503, True, PlatformErrorKind.REFUSED),
        (504, False, PlatformErrorKind.OUTAGE),
    ],
)
def test_status_determines_the_kind_of_error(status, not_run, kind):
    answer = HttpAnswer(
        status=status, body=b"", retry_after_s=2.0, not_run=not_run
    )
    error = check_status(answer).failure()
    assert_that((error.kind, error.retry_after_s), Equals((kind, 2.0)))


@pytest.mark.parametrize("address", ["é:1", "127.0.0.1:99999", "[::1", " "])
def test_bad_address_is_refused(runner, http, address):
    source = HttpHostListSource(http=http, address=address)
    result = runner.run(source.fetch())
    assert_that(result.failure().kind, Equals(PlatformErrorKind.REFUSED))

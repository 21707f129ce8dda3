"""Tests of `status` and `dump`."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from chervilrock.generated.operators import (
    GroupStatus,
    QuarantinedHost,
    StrandedHost,
)
from chervilrock.ui.codes import ExitCode
from test.ui.conftest import FakeNode, make_node, Run, STATUS

TABLES = """\
configuration: revision 7 of asha
region:        r1
controller:    a
log service:   reachable from node a

NODE  ADDRESS      DATA CENTRE  PHASE    REVISION  LOAD
a     10.0.0.1:80  dc1          serving  7         25%
b     10.0.0.2:80  dc1          lost     6         0%
c     10.0.0.3:80  dc1          stopped  6         0%

GROUP  MODEL  VERSION  PHASE    HOSTS  MISSING
g1     m      1        serving  h1,h2  h2

STRANDED HOST  DATA CENTRE  ACCELERATORS  REASON
h3             dc1          8             spare
h4             dc1          4             quarantined
12 accelerators stranded

QUARANTINED HOST  FENCE  REASON
h4                12     no answer
"""
NODES = [
    make_node("c", 6, address="10.0.0.3:80", phase="leaving", alive=False),
    make_node("b", 6, address="10.0.0.2:80", alive=False),
    make_node("a", 7, address="10.0.0.1:80", load=0.25),
]
HOSTS = [
    StrandedHost(
        host=host,
        data_centre="dc1",
        domain="d1",
        accelerators=accelerators,
        reason=reason,
    )
    for host, accelerators, reason in (
        ("h4", 4, "quarantined"),
        ("h3", 8, "spare"),
    )
]
GROUP = GroupStatus(
    group="g1",
    model="m",
    version="1",
    phase="serving",
    fence=12,
    domain="d1",
    hosts=("h1", "h2"),
    missing=("h2",),
)


@pytest.fixture
def full_node(node: FakeNode) -> FakeNode:
    """A fake node whose status fills every table."""
    node.answer_status(
        nodes=NODES,
        groups=[GROUP],
        stranded=HOSTS,
        quarantined=[QuarantinedHost(host="h4", fence=12, reason="no answer")],
    )
    return node


def test_status_prints_tables(full_node: FakeNode, run: Run) -> None:
    result = run("status", "--node", full_node.address)
    assert_that(result.code, Equals(ExitCode.DONE))
    assert_that(result.out, Equals(TABLES))


def test_status_prints_json(full_node: FakeNode, run: Run) -> None:
    result = run("status", "--node", full_node.address, "--json")
    printed = json.loads(result.out)
    assert_that(printed["groups"][0]["missing"], Equals(["h2"]))


def test_status_of_a_new_installation(node: FakeNode, run: Run) -> None:
    node.answer_status(
        revision=0, operator="", controller="", log_reachable=False
    )
    result = run("status", "--node", node.address)
    printed = result.out
    assert_that(printed, Contains("configuration: none\n"))
    assert_that(printed, Contains("controller:    none\n"))
    assert_that(printed, Contains("NOT REACHABLE"))
    assert_that(printed, Not(Contains("GROUP")))


def test_status_of_a_node_that_does_not_know_its_region(
    node: FakeNode, run: Run
) -> None:
    node.answer_status(region_known=False)
    result = run("status", "--node", node.address)
    assert_that(result.out, Contains("region:        r1, NOT KNOWN"))


def test_dump_prints_the_state(node: FakeNode, run: Run) -> None:
    node.answer("/state", b'{"tasks":{"log":{"offset":4}}}')
    result = run("dump", node.address)
    printed = result.out
    assert_that(result.code, Equals(ExitCode.DONE))
    assert_that(printed, Contains('\n  "tasks": {\n'))
    assert_that(json.loads(printed), Equals({"tasks": {"log": {"offset": 4}}}))


@pytest.mark.parametrize(
    ("path", "arguments"),
    [("/admin/status", ["status", "--node"]), ("/state", ["dump"])],
)
@pytest.mark.parametrize(
    ("status", "body"), [(500, b""), (200, b"<html>"), (None, b"")]
)
def test_without_a_usable_answer_the_node_is_named(
    node: FakeNode,
    run: Run,
    path: str,
    arguments: list[str],
    status: int | None,
    body: bytes,
) -> None:
    node.answer(path, body, status=status)
    result = run(*arguments, node.address)
    printed = result
    assert_that(result.code, Equals(ExitCode.UNREACHABLE))
    assert_that(printed.out, Equals(""))
    assert_that(printed.err, Contains(node.address))


def test_a_status_with_a_missing_value_is_rejected(
    node: FakeNode, run: Run
) -> None:
    body = {key: STATUS[key] for key in STATUS if key != "revision"}
    node.answer("/admin/status", body)
    result = run("status", "--node", node.address)
    assert_that(result.code, Equals(ExitCode.UNREACHABLE))
    assert_that(result.err, Contains("`revision`"))

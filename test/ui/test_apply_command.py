"""Tests of `apply`: what is sent, what is printed, and every exit code."""

import getpass
import json
import pathlib
import socket
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsDict, Equals, HasLength

from chervilrock.generated.interfaces import ErrorBody, ErrorDetail, Outcome
from chervilrock.ui.codes import ExitCode
from test.ui.conftest import FakeNode, make_node, Run

APPLY = "/admin/apply"
ACCEPTED = {"accepted": True, "revision": 8, "findings": []}
DOCUMENT = """\
name: trial
data_centres: [dc1]
models:
  - {name: m, version: "1", groups: 1, hosts_per_group: 2}
"""


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    """A configuration file without findings."""
    path = tmp_path / "installation.yaml"
    path.write_text(DOCUMENT)
    return path


@pytest.fixture
def apply(node: FakeNode, file: pathlib.Path, run: Run) -> Run:
    """Applies the file through the fake node, with extra flags."""
    flags = ("--node", node.address)
    return lambda *more: run("apply", str(file), *flags, *more)


def make_error(outcome: Outcome) -> ErrorBody:
    """Returns the body of a failed apply."""
    detail = ErrorDetail(
        code="log_outage",
        message="the log service does not answer",
        outcome=outcome,
        retry_after_ms=1000,
        request_id="r",
        type="server_error",
    )
    return ErrorBody(error=detail)


def test_apply_replaces_the_revision_in_force(
    node: FakeNode, apply: Run
) -> None:
    node.answer_status()
    node.answer(APPLY, ACCEPTED)
    result = apply("--operator", "lucia")
    path, sent = node.received[-1]
    assert_that(result.code, Equals(ExitCode.DONE))
    assert_that(path, Equals(APPLY))
    assert_that(
        sent,
        ContainsDict({"base_revision": Equals(7), "operator": Equals("lucia")}),
    )
    assert_that(sent["document"]["models"][0]["name"], Equals("m"))
    assert_that(result.out, Equals("revision 8 accepted\n"))


def test_apply_with_a_base_does_not_query_the_status(
    node: FakeNode, apply: Run
) -> None:
    node.answer(APPLY, ACCEPTED)
    apply("--base", "0")
    assert_that(node.received, HasLength(1))
    assert_that(node.received[0][1]["base_revision"], Equals(0))


@pytest.mark.parametrize(
    ("winner", "text"),
    [
        ({"winner": {"revision": 9, "operator": "lucia"}}, "9 of lucia has"),
        ({}, "another configuration has replaced revision 7"),
    ],
)
def test_a_lost_apply_names_the_winner(
    node: FakeNode, apply: Run, winner: dict[str, Any], text: str
) -> None:
    answer = {"accepted": False, "revision": 9, "findings": [], **winner}
    node.answer_status()
    node.answer(APPLY, answer, status=409)
    result = apply()
    assert_that(result.code, Equals(ExitCode.LOST))
    assert_that(result.err, Contains(text))


def test_apply_prints_the_findings_of_the_node(
    node: FakeNode, apply: Run
) -> None:
    finding = {"code": "unknown-version", "message": "models[0]", "hint": "h"}
    answer = {"accepted": False, "revision": 7, "findings": [finding]}
    node.answer_status()
    node.answer(APPLY, answer, status=400)
    result = apply()
    assert_that(result.code, Equals(ExitCode.FINDINGS))
    assert_that(result.err, Equals("unknown-version: models[0] (h)\n"))


def test_apply_sends_nothing_when_the_file_has_findings(
    node: FakeNode, file: pathlib.Path, apply: Run
) -> None:
    file.write_text(DOCUMENT.replace("groups: 1", "groups: many"))
    result = apply()
    assert_that(result.code, Equals(ExitCode.FINDINGS))
    assert_that(node.received, HasLength(0))
    assert_that(result.err, Contains("installation.yaml:4:"))


def test_apply_without_a_node_applies_nothing(
    file: pathlib.Path, run: Run
) -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{bound.getsockname()[1]}"
        result = run("apply", str(file), "--node", address)
    assert_that(result.code, Equals(ExitCode.UNREACHABLE))
    assert_that(result.err, Contains("nothing was applied"))


@pytest.mark.parametrize(
    ("status", "body", "text"),
    [
        (503, make_error(Outcome.NOT_RUN), "nothing was applied"),
        (503, make_error(Outcome.UNKNOWN), "may be accepted all the same"),
        (502, b"<html>", "may be accepted all the same"),
        (200, b"<html>", "may be accepted all the same"),
        (None, b"", "may be accepted all the same"),
    ],
)
def test_apply_reports_whether_it_may_be_accepted(
    node: FakeNode, apply: Run, status: int | None, body: object, text: str
) -> None:
    node.answer_status()
    node.answer(APPLY, body, status=status)
    result = apply()
    assert_that(result.code, Equals(ExitCode.UNREACHABLE))
    assert_that(result.err, Contains(text))
    assert_that(node.count(APPLY), Equals(1))


def test_wait_ends_when_every_live_node_has_the_revision(
    node: FakeNode, apply: Run
) -> None:
    node.answer_status()
    node.answer(APPLY, ACCEPTED)
    node.answer_status(nodes=[make_node("a", 8), make_node("b", 7)])
    node.answer_status(nodes=[make_node("a", 8), make_node("b", 9)])
    result = apply("--wait")
    assert_that(result.code, Equals(ExitCode.DONE))
    assert_that(node.count("/admin/status"), Equals(3))
    assert_that(
        result.out,
        Contains("revision 8 in force on every live node"),
    )


def test_wait_names_the_nodes_without_the_revision(
    node: FakeNode, apply: Run
) -> None:
    nodes = [
        make_node("d", 7),
        make_node("a", 8),
        make_node("b", 7),
        make_node("c", 7, alive=False),
        make_node("e", 7, phase="stopped"),
        make_node("f", 7, phase="leaving", alive=False),
        make_node("g", 7, phase="stopped", alive=False),
    ]
    node.answer_status(nodes=nodes)
    node.answer(APPLY, ACCEPTED)
    result = apply("--wait", "--timeout", "0")
    assert_that(result.code, Equals(ExitCode.NOT_IN_FORCE))
    assert_that(
        result.err.splitlines(),
        Equals(
            [
                "not heard of lately, so not waited for: c",
                "revision 8 is not in force on: b, d",
            ]
        ),
    )


def test_wait_without_answers_exits_as_unreachable(
    node: FakeNode, apply: Run
) -> None:
    node.answer_status()
    node.answer("/admin/status", b"", status=500)
    node.answer(APPLY, ACCEPTED)
    result = apply("--wait", "--timeout", "0")
    assert_that(result.code, Equals(ExitCode.UNREACHABLE))
    assert_that(result.err, Contains("was accepted"))


@pytest.mark.parametrize("wait", [[], ["--wait", "--timeout", "0"]])
def test_json_is_one_document(
    node: FakeNode, apply: Run, wait: list[str]
) -> None:
    node.answer_status(nodes=[make_node("b", 7)])
    node.answer(APPLY, ACCEPTED)
    result = apply("--json", *wait)
    printed = json.loads(result.out)
    spread = {"lagging": ["b"], "lost": []} if wait else None
    assert_that(printed["revision"], Equals(8))
    assert_that(printed.get("spread"), Equals(spread))


def test_apply_needs_no_user_entry(
    node: FakeNode, monkeypatch: pytest.MonkeyPatch, apply: Run
) -> None:
    def raise_unknown_user() -> str:
        raise KeyError("uid not found")

    monkeypatch.setattr(getpass, "getuser", raise_unknown_user)
    node.answer(APPLY, ACCEPTED)
    apply("--base", "0")
    assert_that(node.received[0][1]["operator"], Equals("unknown"))

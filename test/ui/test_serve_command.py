"""Tests of `serve`: flags, variables, findings, and the run of a node."""

from collections.abc import Iterator
import json
import logging
import os
from typing import Any

from loguru import logger
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from chervilrock import events
from chervilrock.configuration.settings import name_flag, name_variable
from chervilrock.events import Level
from chervilrock.generated.settings import NodeSettings
import chervilrock.node
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.flags import parse_flags, UsageError
from test.ui.conftest import Run

REQUIRED: dict[str, Any] = {
    "node": "a",
    "listen": "127.0.0.1:0",
    "region": "r1",
    "data_centre": "dc1",
    "log_service": "127.0.0.1:7000",
}


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[NodeSettings]]:
    """Settings of the started nodes, which exit at once with code 0."""
    settings: list[NodeSettings] = []

    async def run_node(given: NodeSettings) -> int:
        settings.append(given)
        return 0

    for variable in os.environ:
        if variable.startswith("CHERVILROCK_"):
            monkeypatch.delenv(variable)
    monkeypatch.setattr(chervilrock.node, "run", run_node, raising=False)
    handlers = logging.root.handlers[:]
    yield settings
    logger.remove()
    logging.root.handlers[:] = handlers
    events._LogConfiguration.level = Level.DEBUG
    events._LogConfiguration.strict = True


def list_flags(**changes: str) -> list[str]:
    """Returns the flags of the required settings with changes."""
    given = {**REQUIRED, **changes}
    return [part for name in given for part in (name_flag(name), given[name])]


def test_flags_become_settings(started: list[NodeSettings], run: Run) -> None:
    result = run("serve", *list_flags(lease_ms="5000"), "--drift=0.05")
    assert_that(result.code, Equals(ExitCode.DONE))
    assert_that(
        started,
        Equals([NodeSettings(**REQUIRED, lease_ms=5000, drift=0.05)]),
    )


def test_variables_become_settings(
    started: list[NodeSettings], monkeypatch: pytest.MonkeyPatch, run: Run
) -> None:
    for name, value in {**REQUIRED, "seed": "9"}.items():
        monkeypatch.setenv(name_variable(name), value)
    run("serve")
    assert_that(started, Equals([NodeSettings(**REQUIRED, seed=9)]))


def test_a_flag_overrides_a_variable(
    started: list[NodeSettings], monkeypatch: pytest.MonkeyPatch, run: Run
) -> None:
    monkeypatch.setenv("CHERVILROCK_NODE", "from-variable")
    monkeypatch.setenv("CHERVILROCK_LEASE_MS", "4000")
    run("serve", *list_flags(node="from-flag"))
    assert_that(started[0].node, Equals("from-flag"))
    assert_that(started[0].lease_ms, Equals(4000))


@pytest.mark.parametrize("log_format", ["text", "json"])
def test_all_findings_are_logged_together(
    started: list[NodeSettings], run: Run, log_format: str
) -> None:
    flags = list_flags(lease_ms="soon", log_format=log_format)
    result = run("serve", *flags, "--no-such", "1", "--seed", "-1")
    lines = result.err.splitlines()
    assert_that(result.code, Equals(ExitCode.FINDINGS))
    assert_that(started, HasLength(0))
    assert_that(lines, HasLength(3))
    for flag, line in zip(
        ("--lease-ms", "--no-such", "--seed"), lines, strict=True
    ):
        assert_that(line, Contains(flag))
        assert_that(line.startswith("{"), Equals(log_format == "json"))


def test_the_log_has_the_configured_format(
    started: list[NodeSettings], run: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    run("serve", *list_flags(log_format="json", log_level="WARNING"))
    events.emit(events.Event.GROUP_DISSOLVED, group="g")
    events.emit(events.Event.PEER_LOST, node="b", address="127.0.0.1:1")
    printed = capsys.readouterr().err
    assert_that(json.loads(printed)["event"], Equals("peer-lost"))


def test_help_lists_every_setting(run: Run) -> None:
    result = run("serve", "--help")
    printed = result.out
    for name in NodeSettings._fields:
        assert_that(printed, Contains(f"\n  {name_flag(name)} "))
        assert_that(printed, Contains(f"[{name_variable(name)}"))


def test_flags_are_read_in_both_forms() -> None:
    flags = parse_flags(["--a-b", "1", "--c=", "--d=x=y", "--e", "-1"])
    assert_that(flags, Equals({"a_b": "1", "c": "", "d": "x=y", "e": "-1"}))


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["value"], "unexpected argument 'value'"),
        (["-n", "1"], "unexpected argument '-n'"),
        (["--"], "unexpected argument '--'"),
        (["--a"], "--a needs a value"),
        (["--a", "--b", "1"], "--a needs a value"),
        (["--a", "1", "--a=2"], "--a stands twice"),
    ],
)
def test_malformed_flags_are_rejected(arguments: list[str], text: str) -> None:
    with pytest.raises(UsageError, match=text):
        parse_flags(arguments)

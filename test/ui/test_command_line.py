"""Tests of the command line as a whole: help, version, usage errors."""

import asyncio
from collections.abc import Callable
import pathlib
import re
import signal

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, StartsWith

import chervilrock
from chervilrock.ui import runner
from chervilrock.ui.codes import ExitCode
from test.ui.conftest import Run

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMANDS = ("serve", "check", "apply", "status", "dump", "demo", "stand-in")
STAND_INS = ("platform", "engine", "service")
CODE_ROW = re.compile(r"^(?:\| | +)(\d)(?: \||  )", re.M)


def test_version(run: Run) -> None:
    result = run("--version")
    assert_that(result.code, Equals(ExitCode.DONE))
    assert_that(
        result.out,
        Equals(f"chervilrock {chervilrock.__version__}\n"),
    )


def test_help_names_every_command(run: Run) -> None:
    result = run("--help")
    printed = result.out
    assert_that(result.code, Equals(ExitCode.DONE))
    for name in COMMANDS:
        assert_that(printed, Contains(f"\n  {name} "))
    assert_that(printed, Contains("\n  Examples:\n    chervilrock check"))


@pytest.mark.parametrize(
    "path",
    [(name,) for name in COMMANDS] + [("stand-in", name) for name in STAND_INS],
)
def test_every_command_has_help(run: Run, path: tuple[str, ...]) -> None:
    result = run(*path, "--help")
    printed = result.out
    assert_that(result.code, Equals(ExitCode.DONE))
    assert_that(printed, StartsWith(f"Usage: chervilrock {' '.join(path)}"))
    assert_that(printed.count("\\b"), Equals(0))


@pytest.mark.parametrize("command", ["apply", "check"])
def test_examples_in_the_help_keep_their_lines(run: Run, command: str) -> None:
    result = run(command, "--help")
    assert_that(
        result.out,
        Contains(f"\n  Examples:\n    chervilrock {command} "),
    )


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("unknown",),
        ("apply",),
        ("apply", "/no/such/file"),
        ("apply", __file__, "--timeout", "-1"),
        ("apply", __file__, "--base", "x"),
        ("status", "--node", "example.org:80"),
        ("dump",),
        ("dump", "127.0.0.1"),
        ("stand-in",),
        ("stand-in", "engine", "--listen", "here"),
        ("stand-in", "platform", "--hosts", "/no/such/file"),
        ("stand-in", "platform", "--hosts", __file__),
        ("serve", "positional"),
    ],
)
def test_usage_errors_have_their_own_exit_code(
    run: Run, arguments: tuple[str, ...]
) -> None:
    result = run(*arguments)
    printed = result
    assert_that(result.code, Equals(ExitCode.USAGE))
    assert_that(bool(printed.err or printed.out), Equals(True))


def test_exit_codes_are_documented(run: Run) -> None:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    result = run("--help")
    helped = result.out.partition("Exit codes:")[2]
    defined = [str(code.value) for code in ExitCode]
    table = page.partition("## Exit codes")[2].partition("## ")[0]
    assert_that(CODE_ROW.findall(table), Equals(defined))
    assert_that(CODE_ROW.findall(helped), Equals(defined))


@pytest.mark.parametrize("kind", STAND_INS)
def test_a_stand_in_runs_until_sigterm(
    monkeypatch: pytest.MonkeyPatch, run: Run, kind: str
) -> None:
    def stop_at_once(address: str) -> None:
        printed.append(address)
        loop = asyncio.get_running_loop()
        loop.call_soon(signal.raise_signal, signal.SIGTERM)

    printed: list[str] = []
    report: Callable[[str], None] = stop_at_once
    monkeypatch.setattr(runner, "print_result", report)
    result = run("stand-in", kind, "--listen", "127.0.0.1:0")
    assert_that(result.code, Equals(ExitCode.DONE))
    assert_that(printed[0], StartsWith("listens on 127.0.0.1:"))

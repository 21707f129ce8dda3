"""Tests of the command line as a whole: help, version, wrong use."""

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
from test.ui.conftest import run

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMANDS = ("serve", "check", "apply", "status", "dump", "demo", "stand-in")
STAND_INS = ("platform", "engine", "service")
CODE_ROW = re.compile(r"^(?:\| | +)(\d)(?: \||  )", re.M)


def test_version(capsys: pytest.CaptureFixture[str]) -> None:
    code = run("--version")
    assert_that(code, Equals(ExitCode.DONE))
    assert_that(
        capsys.readouterr().out,
        Equals(f"chervilrock {chervilrock.__version__}\n"),
    )


def test_help_names_every_command(capsys: pytest.CaptureFixture[str]) -> None:
    code = run("--help")
    printed = capsys.readouterr().out
    assert_that(code, Equals(ExitCode.DONE))
    for name in COMMANDS:
        assert_that(printed, Contains(f"\n  {name} "))
    assert_that(printed, Contains("\n  Examples:\n    chervilrock check"))


@pytest.mark.parametrize(
    "path",
    [(name,) for name in COMMANDS] + [("stand-in", name) for name in STAND_INS],
)
def test_every_command_has_help(
    capsys: pytest.CaptureFixture[str], path: tuple[str, ...]
) -> None:
    code = run(*path, "--help")
    printed = capsys.readouterr().out
    assert_that(code, Equals(ExitCode.DONE))
    assert_that(printed, StartsWith(f"Usage: chervilrock {' '.join(path)}"))
    assert_that(printed.count("\\b"), Equals(0))


@pytest.mark.parametrize("command", ["apply", "check"])
def test_examples_in_the_help_keep_their_lines(
    capsys: pytest.CaptureFixture[str], command: str
) -> None:
    run(command, "--help")
    assert_that(
        capsys.readouterr().out,
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
def test_wrong_use_is_told_apart(
    capsys: pytest.CaptureFixture[str], arguments: tuple[str, ...]
) -> None:
    code = run(*arguments)
    printed = capsys.readouterr()
    assert_that(code, Equals(ExitCode.USAGE))
    assert_that(bool(printed.err or printed.out), Equals(True))


def test_exit_codes_are_documented(
    capsys: pytest.CaptureFixture[str],
) -> None:
    page = (ROOT / "docs" / "operations.md").read_text(encoding="utf-8")
    run("--help")
    helped = capsys.readouterr().out.partition("Exit codes:")[2]
    defined = [str(code.value) for code in ExitCode]
    table = page.partition("## Exit codes")[2].partition("## ")[0]
    assert_that(CODE_ROW.findall(table), Equals(defined))
    assert_that(CODE_ROW.findall(helped), Equals(defined))


@pytest.mark.parametrize("kind", STAND_INS)
def test_a_stand_in_runs_until_it_is_told_to_stop(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    kind: str,
) -> None:
    def stop_at_once(address: str) -> None:
        printed.append(address)
        loop = asyncio.get_running_loop()
        loop.call_soon(signal.raise_signal, signal.SIGTERM)

    printed: list[str] = []
    report: Callable[[str], None] = stop_at_once
    monkeypatch.setattr(runner, "print_result", report)
    code = run("stand-in", kind, "--listen", "127.0.0.1:0")
    assert_that(code, Equals(ExitCode.DONE))
    assert_that(printed[0], StartsWith("listens on 127.0.0.1:"))

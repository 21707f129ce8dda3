"""Pytest plugin: lets the tests listed in KNOWN-RED.txt fail.

Each line of the file reads `test-id: cause, issue`. A listed test that fails
is reported as an expected failure, and each listed test is printed when the
run ends. A file of more than three lines, or with a line of another form,
stops the run.
"""

import pathlib
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_LINES = 3


class KnownFailure(NamedTuple):
    """One line of the file."""

    test_id: str
    cause: str


_FAILURES = pytest.StashKey[list[KnownFailure]]()


def parse(text: str) -> list[KnownFailure]:
    """Returns the failures that the text of the file lists.

    Raises:
        pytest.UsageError: The text has too many lines or a malformed one.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise pytest.UsageError(
            f"{FILE_NAME}: {len(lines)} lines, at most {MAX_LINES} allowed"
        )
    return [_parse_line(line) for line in lines]


def _parse_line(line: str) -> KnownFailure:
    test_id, _, cause = line.partition(": ")
    if not cause.strip() or "," not in cause:
        raise pytest.UsageError(
            f"{FILE_NAME}: {line!r} is not of the form 'test-id: cause, issue'"
        )
    return KnownFailure(test_id.strip(), cause.strip())


def _read(root: pathlib.Path) -> list[KnownFailure]:
    path = root / FILE_NAME
    return parse(path.read_text()) if path.exists() else []


def pytest_configure(config: pytest.Config) -> None:
    config.stash[_FAILURES] = _read(config.rootpath)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    causes = {
        failure.test_id: failure.cause for failure in config.stash[_FAILURES]
    }
    for item in items:
        if item.nodeid in causes:
            item.add_marker(
                pytest.mark.xfail(reason=causes[item.nodeid], strict=False)
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    failures = config.stash[_FAILURES]
    if not failures:
        return
    terminalreporter.section(FILE_NAME)
    for failure in failures:
        outcome = _describe_outcome(terminalreporter, failure.test_id)
        terminalreporter.line(f"{failure.test_id}: {outcome}: {failure.cause}")


def _describe_outcome(reporter: pytest.TerminalReporter, test_id: str) -> str:
    for category, words in (
        ("xfailed", "fails as known"),
        ("xpassed", "passes now, take it off the list"),
    ):
        reports = reporter.stats.get(category, [])
        if any(report.nodeid == test_id for report in reports):
            return words
    return "was not run"

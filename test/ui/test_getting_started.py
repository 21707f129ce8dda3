"""Tests that the files shown on the getting-started page are valid."""

import pathlib
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from chervilrock.ui.codes import ExitCode
from chervilrock.ui.platform_files import load_platform
from test.ui.conftest import Run

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / "docs" / "getting-started.md"
FILE = re.compile(r"`trial/([\w.]+)`[^`]*?:\n\n```\w+\n(.*?)```", re.S)


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    """A folder with the files shown on the page."""
    for name, text in FILE.findall(PAGE.read_text(encoding="utf-8")):
        (tmp_path / name).write_text(text)
    return tmp_path


def test_the_configuration_has_no_findings(
    folder: pathlib.Path, run: Run
) -> None:
    result = run(
        "check",
        str(folder / "installation.yaml"),
        "--hosts",
        str(folder / "hosts.json"),
        "--weights",
        str(folder / "weights.json"),
    )
    assert_that(result.code, Equals(ExitCode.DONE))


def test_the_platform_accepts_the_files(folder: pathlib.Path) -> None:
    platform = load_platform(folder / "hosts.json", folder / "weights.json")
    hosts = [host["host"] for host in platform.list_hosts()["hosts"]]
    assert_that(hosts, Equals(["h1", "h2"]))
    assert_that(list(platform.models), Contains("letters"))

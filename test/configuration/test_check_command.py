"""The command `check`: output, exit codes and unreadable files."""

import json
import pathlib

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, StartsWith
import typer
from typer.testing import CliRunner

from chervilrock.configuration.source import MAX_BYTES
from chervilrock.ui.check import check

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
GOOD = "name: x\ndata_centres: [a]\nmodels: []\n"


@pytest.fixture
def run():
    app = typer.Typer()
    app.command()(check)
    runner = CliRunner()
    return lambda *arguments: runner.invoke(app, [str(a) for a in arguments])


@pytest.fixture
def write(tmp_path):
    def write_file(text, name="x.yaml"):
        path = tmp_path / name
        path.write_text(text, encoding="utf-8")
        return path

    return write_file


def test_a_clean_file_prints_nothing(run, write):
    result = run(write(GOOD))
    assert_that((result.exit_code, result.stdout), Equals((0, "")))


def test_the_examples_are_clean(run):
    for name in ("aakashdeep", "descanso-justo"):
        result = run(
            EXAMPLES / f"{name}.yaml",
            "--hosts",
            EXAMPLES / f"{name}-hosts.json",
            "--weights",
            EXAMPLES / f"{name}-weights.json",
        )
        assert_that((result.exit_code, result.stdout), Equals((0, "")))


def test_each_finding_has_its_own_line(run, write):
    file = write(GOOD + "nmae: 1\nlimits: 3\n")
    result = run(file)
    lines = result.stdout.splitlines()
    assert_that(result.exit_code, Equals(1))
    assert_that(lines[0], StartsWith(f"{file}:4:1: unknown-key: nmae"))
    assert_that(lines[1], StartsWith(f"{file}:5:9: wrong-type: limits"))


def test_findings_as_json(run, write):
    file = write(GOOD + "name: y\n")
    result = run(file, "--json")
    expected = {
        "file": str(file),
        "line": 4,
        "column": 1,
        "code": "duplicate-key",
        "message": "key 'name' stands in line 1 already",
        "hint": "remove one of them",
    }
    assert_that(result.exit_code, Equals(1))
    assert_that(json.loads(result.stdout), Equals([expected]))


def test_no_findings_as_json(run, write):
    assert_that(json.loads(run(write(GOOD), "--json").stdout), Equals([]))


@pytest.mark.parametrize("option", ["--hosts", "--weights"])
@pytest.mark.parametrize("text", ["{", "[]", '{"hosts": 1, "models": 1}'])
def test_a_broken_platform_file_is_a_usage_error(run, write, option, text):
    broken = write(text, "platform.json")
    result = run(write(GOOD), option, broken)
    assert_that((result.exit_code, result.stdout), Equals((2, "")))
    assert_that(result.stderr, Contains("platform.json"))


def test_a_missing_file_is_a_usage_error(run, tmp_path):
    for file in (tmp_path / "missing.yaml", tmp_path):
        result = run(file)
        assert_that((result.exit_code, result.stdout), Equals((2, "")))


def test_no_more_than_the_limit_is_read(run, write):
    result = run(write("#" * (MAX_BYTES + 1)))
    assert_that(result.exit_code, Equals(1))
    assert_that(result.stdout, Contains(":1:1: file-too-large: "))

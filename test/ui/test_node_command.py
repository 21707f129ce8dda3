"""Tests of the command `node`, run as a process."""

import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsDict, Equals

from chervilrock.platform.settings import VARIABLE
from chervilrock.ui.node import parse_arguments

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXIT_TIMEOUT_S = 60.0

SETTINGS = """
node_name = "n1"
zone = "a"
ip = "127.0.0.1"
region = "r"
internal_ports = [0, 0]
[zones]
a = "r"
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
directory = "127.0.0.1:0"
[provider]
address = "127.0.0.1:1"
"""


def start(path: str, *arguments: str) -> "subprocess.Popen[str]":
    """Start the command with a settings file."""
    return subprocess.Popen(
        [sys.executable, "-m", "chervilrock", "node", *arguments],
        cwd=ROOT,
        env=os.environ | {VARIABLE: path},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_sighup_during_the_start_does_not_end_a_node(
    tmp_path: pathlib.Path,
) -> None:
    # Failure: it ends the process until the node has a handler of its own.
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    process = start(str(path))
    # Opens when the process has begun to read its settings.
    with path.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write(SETTINGS)
    assert process.stdout is not None
    first = json.loads(process.stdout.readline())
    assert_that(first["event"], Equals("serving-started"))
    process.send_signal(signal.SIGTERM)
    assert_that(process.wait(EXIT_TIMEOUT_S), Equals(0))


def test_a_node_serves_until_sigterm(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    process = start(str(path))
    assert process.stdout is not None
    first = json.loads(process.stdout.readline())
    assert_that(first["event"], Equals("serving-started"))
    process.send_signal(signal.SIGHUP)
    line = json.loads(process.stdout.readline())
    while line["event"] != "settings-reloaded":
        line = json.loads(process.stdout.readline())
    process.send_signal(signal.SIGTERM)
    output, _ = process.communicate(timeout=EXIT_TIMEOUT_S)
    assert_that(process.returncode, Equals(0))
    # Matches the whole record, so that a failure shows the actual last event.
    last = json.loads(output.splitlines()[-1])
    assert_that(last, ContainsDict({"event": Equals("serving-stopped")}))


def test_all_invalid_settings_are_reported_before_exit(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace('"n1"', "7").replace(":1", ""))
    process = start(str(path))
    output, _ = process.communicate(timeout=EXIT_TIMEOUT_S)
    assert_that(process.returncode, Equals(1))
    found = [json.loads(line)["setting"] for line in output.splitlines()]
    assert_that(sorted(found), Equals(["node_name", "provider.address"]))


def test_an_unavailable_address_is_reported_in_one_line(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace('front = "127', 'front = "203.0.113'))
    process = start(str(path))
    output, errors = process.communicate(timeout=EXIT_TIMEOUT_S)
    assert_that(process.returncode, Equals(1))
    (line,) = output.splitlines()
    assert_that(json.loads(line)["event"], Equals("setting-refused"))
    assert_that(errors, Equals(""))


@pytest.mark.parametrize("arguments", [["x"], ["--metrics-port", "x"]])
def test_invalid_arguments_print_the_usage(
    tmp_path: pathlib.Path, arguments: list[str]
) -> None:
    process = start(str(tmp_path / "none"), *arguments)
    _, errors = process.communicate(timeout=EXIT_TIMEOUT_S)
    assert_that(process.returncode, Equals(2))
    assert_that(errors, Contains("Usage: chervilrock node"))


@pytest.mark.parametrize(
    ("arguments", "port"),
    [
        ([], 0),
        (["--metrics-port", "9"], 9),
        (["--metrics-port"], None),
        (["x"], None),
    ],
)
def test_arguments_are_parsed(arguments: list[str], port: int | None) -> None:
    assert_that(parse_arguments(arguments) == port, Equals(True))

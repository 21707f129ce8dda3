"""Tests of the request path across separate processes on loopback."""

from collections.abc import Iterator
import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

COMMAND = (
    sys.executable,
    "-c",
    "import sys; from chervilrock.ui import main; sys.exit(main())",
)
TIMEOUT_S = 60.0
CONFIGURATION = """
name: trial
data_centres: [east-1]
models:
  - {name: writer, version: "1", groups: 1, hosts_per_group: 2}
"""
REQUEST = {"model": "writer", "prompt": "a note", "max_tokens": 4}

Process = subprocess.Popen[str]


@contextlib.contextmanager
def start(*arguments: str) -> Iterator[Process]:
    """Run a command as a process and kill it on exit."""
    process = subprocess.Popen(
        [*COMMAND, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def read_address(process: Process, prefix: str) -> str:
    """Return the address that follows a prefix in the output of a process."""
    assert process.stdout is not None
    for line in process.stdout:
        if prefix in line:
            return line.rsplit(prefix, 1)[1].strip()
    raise AssertionError("the process ended")


def call(method: str, url: str, value: object) -> tuple[int, Any]:
    """Send JSON and return the status and the decoded answer."""
    request = urllib.request.Request(
        url,
        method=method,
        data=json.dumps(value).encode(),
        headers={"Content-Type": "application/json"},
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def make_entry(number: int, address: str) -> dict[str, object]:
    """Return an entry of the host list."""
    return {
        "host": f"host-{number}",
        "address": address,
        "data_centre": "east-1",
        "domain": "east-1-a",
        "region": "east",
        "accelerators": 8,
        "leaving": False,
        "checks_fence": True,
    }


def test_request_is_served_end_to_end(tmp_path: pathlib.Path) -> None:
    local = ("--listen", "127.0.0.1:0")
    with contextlib.ExitStack() as stack:
        platform = stack.enter_context(start("stand-in", "platform", *local))
        engines = [
            stack.enter_context(
                start("stand-in", "engine", *local, "--host", f"host-{number}")
            )
            for number in range(2)
        ]
        store = read_address(platform, "listens on ")
        hosts = [
            make_entry(number, read_address(engine, "listens on "))
            for number, engine in enumerate(engines)
        ]
        body = {"hosts": hosts, "services": [], "age_ms": 0}
        call("PUT", f"http://{store}/hosts", body)
        location = ("--region", "east", "--data-centre", "east-1")
        node = stack.enter_context(
            start(
                "serve",
                "--node",
                "a",
                *local,
                *location,
                "--log-service",
                store,
            )
        )
        address = read_address(node, "address=")
        file = tmp_path / "trial.yaml"
        file.write_text(CONFIGURATION)
        applied = subprocess.run(
            [*COMMAND, "apply", str(file), "--node", address, "--wait"],
            timeout=TIMEOUT_S,
            check=False,
        )
        assert_that(applied.returncode, Equals(0))
        assert_that(
            wait_until_answered(address)["object"], Equals("text_completion")
        )
        node.send_signal(signal.SIGTERM)
        output, _ = node.communicate(timeout=TIMEOUT_S)
        assert_that(node.returncode, Equals(0))
        assert_that(output, Contains("E1004 node-stopped"))


def wait_until_answered(address: str) -> Any:
    """Repeat a request until it is answered; rejections must be `not_run`."""
    url = f"http://{address}/v1/completions"
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        status, answer = call("POST", url, REQUEST)
        if status == 200:
            return answer
        assert_that(answer["error"]["outcome"], Equals("not_run"))
    raise AssertionError("no group answered")


def test_all_invalid_settings_are_reported_together() -> None:
    result = subprocess.run(
        [*COMMAND, "serve", "--lease-ms", "x", "--listen", "nowhere"],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert_that(result.returncode, Equals(1))
    for flag in ("--lease-ms", "--listen", "--node"):
        assert_that(result.stderr, Contains(flag))


@pytest.fixture(autouse=True)
def clear_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep settings in the environment from reaching the processes."""
    for name in ("NODE", "LISTEN", "REGION", "PEERS", "LOG_SERVICE"):
        monkeypatch.delenv(f"CHERVILROCK_{name}", raising=False)

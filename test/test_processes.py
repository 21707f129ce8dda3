"""The whole path in separate processes, over loopback."""

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

RUN = (
    sys.executable,
    "-c",
    "import sys; from chervilrock.ui import main; sys.exit(main())",
)
LIMIT_S = 60.0
FILE = """
name: trial
data_centres: [east-1]
models:
  - {name: writer, version: "1", groups: 1, hosts_per_group: 2}
"""
REQUEST = {"model": "writer", "prompt": "a note", "max_tokens": 4}

Process = subprocess.Popen[str]


@contextlib.contextmanager
def start(*arguments: str) -> Iterator[Process]:
    """Run a command as a process, which is killed at the end."""
    process = subprocess.Popen(
        [*RUN, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def read_address(process: Process, mark: str) -> str:
    """Return the address behind a mark in what a process prints."""
    assert process.stdout is not None
    for line in process.stdout:
        if mark in line:
            return line.rsplit(mark, 1)[1].strip()
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
        with urllib.request.urlopen(request, timeout=LIMIT_S) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def make_entry(number: int, address: str) -> dict[str, object]:
    """Return a host of the host list."""
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
        place = ("--region", "east", "--data-centre", "east-1")
        node = stack.enter_context(
            start(
                "serve", "--node", "a", *local, *place, "--log-service", store
            )
        )
        address = read_address(node, "address=")
        file = tmp_path / "trial.yaml"
        file.write_text(FILE)
        applied = subprocess.run(
            [*RUN, "apply", str(file), "--node", address, "--wait"],
            timeout=LIMIT_S,
            check=False,
        )
        assert_that(applied.returncode, Equals(0))
        assert_that(wait_answer(address)["object"], Equals("text_completion"))
        node.send_signal(signal.SIGTERM)
        output, _ = node.communicate(timeout=LIMIT_S)
        assert_that(node.returncode, Equals(0))
        assert_that(output, Contains("E1004 node-stopped"))


def wait_answer(address: str) -> Any:
    """Send a request until a group answers it; each refusal is `not_run`."""
    url = f"http://{address}/v1/completions"
    limit = time.monotonic() + LIMIT_S
    while time.monotonic() < limit:
        status, answer = call("POST", url, REQUEST)
        if status == 200:
            return answer
        assert_that(answer["error"]["outcome"], Equals("not_run"))
    raise AssertionError("no group answered")


def test_settings_are_refused_together() -> None:
    refused = subprocess.run(
        [*RUN, "serve", "--lease-ms", "x", "--listen", "nowhere"],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert_that(refused.returncode, Equals(1))
    for flag in ("--lease-ms", "--listen", "--node"):
        assert_that(refused.stderr, Contains(flag))


@pytest.fixture(autouse=True)
def no_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the settings of this machine out of the processes."""
    for name in ("NODE", "LISTEN", "REGION", "PEERS", "LOG_SERVICE"):
        monkeypatch.delenv(f"CHERVILROCK_{name}", raising=False)

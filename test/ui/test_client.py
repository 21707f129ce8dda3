"""Commands whose node ends the connection within its answer.

Failure: a cut answer would look like success, or like a refusal.
"""

from collections.abc import Iterator
import pathlib
import socketserver
import threading
from typing import Any

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from chervilrock.ui.codes import ExitCode
from test.ui.conftest import Run, STATUS
from test.ui.test_apply_command import ACCEPTED, DOCUMENT

LIMIT_S = 10.0
LINES = b"Content-Type: application/json\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CLOSED = b"Connection: close\r\n"
BODY_STEP = 9
"""Bytes between two places where a body is cut."""

STATUS_PATH = b"/admin/status"


class CuttingNode(socketserver.ThreadingTCPServer):
    """Writes scripted bytes to each request and closes.

    Attributes:
      answers: answer of each path; of all others that of an empty one.
      paths: paths that were requested.
      address: IP:port.
    """

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _CuttingHandler)
        self.answers: dict[bytes, bytes] = {}
        self.paths: list[bytes] = []
        self.address = f"127.0.0.1:{self.server_address[1]}"


class _CuttingHandler(socketserver.StreamRequestHandler):
    timeout = LIMIT_S
    server: CuttingNode

    def handle(self) -> None:
        path = self.rfile.readline().split(b" ")[1]
        length = 0
        while (line := self.rfile.readline().strip().lower()) != b"":
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        self.rfile.read(length)
        self.server.paths.append(path)
        answers = self.server.answers
        self.wfile.write(answers.get(path, answers.get(b"", b"")))


@pytest.fixture
def node() -> Iterator[CuttingNode]:
    server = CuttingNode()
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    """A configuration file without findings."""
    path = tmp_path / "installation.yaml"
    path.write_text(DOCUMENT)
    return path


def cut_answers(status: bytes, body: Any) -> list[bytes]:
    """Return beginnings of an answer, in each framing."""
    encoded = msgspec.json.encode(body)
    length = b"Content-Length: %d\r\n" % len(encoded)
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(encoded), encoded)
    answers = []
    for framing, framed in (
        (length, encoded),
        (CHUNKED, chunks),
        (CLOSED, encoded),
    ):
        head = b"HTTP/1.1 " + status + b"\r\n" + LINES + framing + b"\r\n"
        whole = head + framed
        sizes = (*range(len(head)), *range(len(head), len(whole), BODY_STEP))
        answers += [whole[:size] for size in sizes]
    return answers


@pytest.mark.parametrize("command", [("status", "--node"), ("dump",)])
def test_a_status_that_is_cut_is_an_error(
    node: CuttingNode, run: Run, command: tuple[str, ...]
) -> None:
    wrong = []
    for answer in cut_answers(b"200 OK", STATUS):
        node.answers = {b"": answer}
        result = run(*command, node.address)
        if result.code != ExitCode.UNREACHABLE or result.out or not result.err:
            wrong.append((answer, result))
    assert_that(wrong, HasLength(0))


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (b"200 OK", ACCEPTED),
        (b"409 No", {**ACCEPTED, "accepted": False}),
        (b"503 No", {}),
    ],
)
def test_an_apply_whose_answer_is_cut_may_have_been_accepted(
    node: CuttingNode, run: Run, file: pathlib.Path, status: bytes, body: Any
) -> None:
    wrong = []
    for answer in cut_answers(status, body):
        node.answers = {b"": answer}
        result = run("apply", str(file), "--node", node.address, "--base", "7")
        is_told = "may be accepted" in result.err
        if result.code != ExitCode.UNREACHABLE or result.out or not is_told:
            wrong.append((answer, result))
    assert_that(wrong, HasLength(0))
    assert_that(set(node.paths), Equals({b"/admin/apply"}))


def test_an_apply_whose_status_is_cut_applies_nothing(
    node: CuttingNode, run: Run, file: pathlib.Path
) -> None:
    # It warned that the configuration may have been accepted.
    for answer in cut_answers(b"200 OK", STATUS)[::7]:
        node.answers = {b"": answer}
        result = run("apply", str(file), "--node", node.address)
        assert_that(result.code, Equals(ExitCode.UNREACHABLE))
        assert_that(result.err, Contains("nothing was applied"))
        assert_that(result.err, Not(Contains("may be accepted")))
    assert_that(set(node.paths), Equals({STATUS_PATH}))


def test_an_accepted_configuration_with_cut_statuses_is_not_in_force(
    node: CuttingNode, run: Run, file: pathlib.Path
) -> None:
    body = msgspec.json.encode(ACCEPTED)
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    accepted = b"HTTP/1.1 200 OK\r\n" + LINES + length + body
    for answer in cut_answers(b"200 OK", STATUS)[::7]:
        node.answers = {b"/admin/apply": accepted, STATUS_PATH: answer}
        result = run(
            "apply",
            str(file),
            "--node",
            node.address,
            "--base",
            "7",
            "--wait",
            "--timeout",
            "0.001",
        )
        assert_that(result.code, Equals(ExitCode.UNREACHABLE))

"""A fake node for the tests of the command line."""

import asyncio
from collections.abc import Callable, Iterator
import threading
from typing import Any, NamedTuple

import msgspec
import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from chervilrock.ui import main
from chervilrock.ui.codes import ExitCode

STATUS = {
    "node": "a",
    "region": "r1",
    "revision": 7,
    "operator": "asha",
    "controller": "a",
    "log_reachable": True,
    "nodes": [],
    "groups": [],
    "stranded": [],
    "quarantined": [],
}


class Reply(NamedTuple):
    """A scripted reply; a status of None closes the connection."""

    status: int | None
    body: Any


def make_node(name: str, revision: int, **changes: Any) -> dict[str, Any]:
    """Returns the entry of a live node in a status."""
    location = {"address": f"10.0.0.1:{revision}", "region": "r1"}
    state = {"phase": "serving", "alive": True, "load": 0.0}
    identity = {"node": name, "revision": revision, "data_centre": "dc1"}
    return {**identity, **location, **state, **changes}


class CommandResult(NamedTuple):
    """The exit code of a command and its output."""

    code: ExitCode
    out: str
    err: str


Run = Callable[..., CommandResult]


class FakeNode:
    """Sends scripted replies; the last reply of a path repeats."""

    def __init__(self) -> None:
        self.script: dict[str, list[Reply]] = {}
        self.received: list[tuple[str, Any]] = []
        self.address = ""
        self._started = threading.Event()
        self._stop: asyncio.Event | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread = threading.Thread(target=self._run)

    def answer(self, path: str, *bodies: Any, status: int | None = 200) -> None:
        replies = [Reply(status, body) for body in bodies]
        self.script.setdefault(path, []).extend(replies)

    def answer_status(self, **changes: Any) -> None:
        self.answer("/admin/status", {**STATUS, **changes})

    def next_reply(self, path: str) -> Reply:
        replies = self.script.get(path, [Reply(404, {})])
        return replies.pop(0) if len(replies) > 1 else replies[0]

    def count(self, path: str) -> int:
        return sum(1 for received, _ in self.received if received == path)

    def start(self) -> None:
        self._thread.start()
        self._started.wait()

    def stop(self) -> None:
        assert self._loop is not None and self._stop is not None
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    def _run(self) -> None:
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(
            Application(
                [(r"/.*", _Handler, {"fake": self})],
                log_function=lambda _handler: None,
            )
        )
        server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self._started.set()
        await self._stop.wait()
        server.stop()
        await server.close_all_connections()


class _Handler(RequestHandler):
    def initialize(self, fake: FakeNode) -> None:
        self.fake = fake

    def _reply(self) -> None:
        body = self.request.body
        sent = msgspec.json.decode(body) if body else None
        self.fake.received.append((self.request.path, sent))
        reply = self.fake.next_reply(self.request.path)
        if reply.status is None:
            self.request.connection.detach().close()  # type: ignore[union-attr]
            self._finished = True
            return
        self.set_status(reply.status)
        text = reply.body
        encoded = text if isinstance(text, bytes) else msgspec.json.encode(text)
        self.finish(encoded)

    get = _reply
    post = _reply


@pytest.fixture
def run(capsys: pytest.CaptureFixture[str]) -> Run:
    """Runs a command in this process and returns its result."""
    return lambda *given: CommandResult(
        ExitCode(main(given)), *capsys.readouterr()
    )


@pytest.fixture
def node() -> Iterator[FakeNode]:
    """A fake node that answers until the test ends."""
    fake = FakeNode()
    fake.start()
    yield fake
    fake.stop()

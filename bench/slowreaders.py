"""Callers that read their streams slowly, and checks of what nodes hold."""

import asyncio
import contextlib
import random
import socket
from typing import Any, NamedTuple

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPClientError

from chervilrock.clients.curlpool import QuietCurlClient
from chervilrock.decisions.serving.admission.callerbuffers import find_budget
from chervilrock.standin.site.floods import remove_comments
from chervilrock.standin.site.servers import PADDED
from chervilrock.standin.site.site import HOST, KEY, LARGE, SMALL

MEMORY_MB = 4.0
"""Memory limit of the nodes of a run, so low that few readers use it up."""

READERS = 10
EVENTS = 60
PADDING = 16_000
"""Bytes of an event. A stream has 1 MB, far more than sockets buffer."""

RECEIVE_BUFFER_BYTES = 4096

READ_TIMEOUT_S = 8.0
"""Longest time for the rest of a stream, above the time limit of its route."""

SAMPLE_INTERVAL_S = 0.1

_END = b"0\r\n\r\n"


class Address(NamedTuple):
    """Addresses of a node.

    Attributes:
      callers: IP:port for callers.
      peers: IP:port at which the node answers with its state.
    """

    callers: str
    peers: str


class SlowReaders:
    """Reads streams slowly and samples what the nodes hold for callers.

    Attributes:
      violations: broken guarantees.
      most_held: most bytes that a node was seen to hold.
      ends: number of streams by how they ended.
    """

    def __init__(self, *, nodes: list[Address], seed: int) -> None:
        """Create the readers of a run.

        Args:
          nodes: addresses of the nodes.
          seed: seed of a generator of their own.
        """
        self._nodes = nodes
        self._seed = seed
        self._generator = random.Random(f"slow readers of {seed}")
        self._number = 0
        self._client = QuietCurlClient(force_instance=True)
        self.violations: list[str] = []
        self.most_held = 0
        self.ends = {"whole": 0, "cut": 0, "rejected": 0}

    async def run(self) -> None:
        """Read streams and sample the nodes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._sample())
            for _ in range(READERS):
                group.create_task(self._read_streams())

    def close(self) -> None:
        """Close the connections to the nodes."""
        self._client.close()

    async def _read_streams(self) -> None:
        while True:
            address = self._generator.choice(self._nodes).callers
            self._number += 1
            request_id = f"{self._seed:08x}e{self._number:07x}"
            data = b""
            with contextlib.suppress(OSError):
                async with asyncio.timeout(READ_TIMEOUT_S):
                    data = await self._read(address, request_id)
            self._check(request_id, data)
            await asyncio.sleep(self._generator.uniform(0.0, 0.2))

    async def _read(self, address: str, request_id: str) -> bytes:
        """Return what arrives of a stream that is not read at first."""
        host, port = address.split(":")
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(connection, (host, int(port)))
            await loop.sock_sendall(connection, self._make_request(request_id))
            await asyncio.sleep(self._generator.uniform(0.0, 3.0))
            data = b""
            while not data.endswith(_END):
                part = await loop.sock_recv(connection, 65536)
                if not part:
                    break
                data += part
            return data
        finally:
            connection.close()

    def _make_request(self, request_id: str) -> bytes:
        body = PADDED + str(PADDING).encode()
        lines = (
            "POST /draft/x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            "X-Deadline-Ms: 4000",
            f"Api-Key: {KEY}",
            f"X-Model: {self._generator.choice((LARGE, SMALL))}",
            f"X-Token-Count: 10,{EVENTS}",
            f"Content-Length: {len(body)}",
        )
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _check(self, request_id: str, data: bytes) -> None:
        """Check that a stream is whole, or looks incomplete."""
        head, _, rest = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            self.ends["rejected"] += 1
            return
        events = "".join(
            f"id: {number}\ndata: {request_id}-{number}{'.' * PADDING}\n\n"
            for number in range(1, EVENTS + 1)
        ).encode()
        body, is_whole = _remove_chunking(rest)
        body = remove_comments(body)
        self.ends["whole" if is_whole else "cut"] += 1
        if not events.startswith(body) or (is_whole and body != events):
            self.violations.append(
                f"{request_id} got {len(body)} wrong bytes, whole: {is_whole}"
            )

    async def _sample(self) -> None:
        """Check what each node holds against its budget."""
        budget = find_budget(MEMORY_MB)
        while True:
            for node in self._nodes:
                url = f"http://{node.peers}/state"
                try:
                    answer = await self._client.fetch(url, request_timeout=0.5)
                except (CurlError, HTTPClientError):
                    # The node is down or paused.
                    continue
                state = msgspec.json.decode(answer.body)
                self._check_state(node, state, budget)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _check_state(
        self, node: Address, state: dict[str, Any], budget: float
    ) -> None:
        _, bodies, unread, collected, _ = state["caller_buffers"]
        held = bodies + unread + collected
        self.most_held = max(self.most_held, held)
        if held > budget:
            self.violations.append(f"{node.callers} holds {held} bytes")


def _remove_chunking(rest: bytes) -> tuple[bytes, bool]:
    """Return a body, without the parts of a chunk that is not complete.

    Returns:
      The body, and whether its last chunk was received.
    """
    body = b""
    start = 0
    while (end := rest.find(b"\r\n", start)) >= 0:
        size = int(rest[start:end], 16)
        if not size:
            return body, True
        part = rest[end + 2 : end + 2 + size]
        body += part
        start = end + 2 + size + 2
    return body, False

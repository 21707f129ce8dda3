"""A machine gets SIGTERM while a caller still reads a whole answer.

The caller reads without a pause, at 6.4 Mbit/s. The answer of the server is
complete at the node before the signal.
"""

import asyncio
import signal
import socket
import time

from chervilrock.standin.site.site import (
    HOST,
    KEY,
    make_configuration,
)
from common import Installation

ANSWER_BYTES = 4_000_000
READ_BYTES_PER_S = 800_000
LIMIT_MS = 8_000
WINDOW_BYTES = 65_536
"""Receive buffer of the caller. A loopback connection has no delay and needs no
more; by default the system would take the whole answer on the caller's side."""

SIGTERM_AT_S = 0.5
REQUEST_ID = "00000000000000a1"


async def read_slowly(installation: Installation, is_disturbed: bool) -> bool:
    """Return whether the caller got the whole answer."""
    record = installation.record
    site = installation.site
    site.start(model_servers=4, plain_servers=2)
    document = make_configuration(2)
    for route in document["routes"]:
        route["timeout_ms"] = LIMIT_MS
    site.store.write_configuration(document)
    node = installation.add_node()
    await installation.wait(node.is_ready, "node ready")
    await asyncio.sleep(3.0)

    host, port = node.callers_address
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, port))
    reader, writer = await asyncio.open_connection(
        sock=connection, limit=16_384
    )
    body = b"pad-%d" % ANSWER_BYTES
    writer.write(
        f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        f"X-Request-Id: {REQUEST_ID}\r\nX-Deadline-Ms: {LIMIT_MS}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    sent = time.monotonic()
    record.write(f"sent {REQUEST_ID} POST /book/x (non_idempotent)")
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    record.write(f"head after {time.monotonic() - sent:.3f} s: {head!r}")
    begun = time.monotonic()
    received = 0
    is_signalled = False
    while received < ANSWER_BYTES:
        elapsed = time.monotonic() - begun
        if is_disturbed and not is_signalled and elapsed >= SIGTERM_AT_S:
            is_signalled = True
            node.signal(signal.SIGTERM)
            record.write(f"SIGTERM after {received} bytes of the body")
        try:
            data = await reader.read(16_384)
        except ConnectionError as error:
            record.write(f"the connection broke: {error!r}")
            break
        if not data:
            record.write("the connection ended")
            break
        received += len(data)
        ahead_s = received / READ_BYTES_PER_S - (time.monotonic() - begun)
        if ahead_s > 0:
            await asyncio.sleep(ahead_s)
    writer.close()
    total_s = time.monotonic() - sent
    runs = [run for s in site.servers for run in s.runs]
    record.write(f"runs at servers: {[run.request_id for run in runs]}")
    stamped = len(b"answer to ") + len(REQUEST_ID) + ANSWER_BYTES
    record.write(
        f"{received} of {stamped} bytes after {total_s:.3f} s of {LIMIT_MS} ms;"
        f" exit code of the node: {node.exit_code}"
    )
    return received >= ANSWER_BYTES

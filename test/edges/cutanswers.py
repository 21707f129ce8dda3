"""Transfers from a server that ends the connection within its answers."""

import asyncio
from collections.abc import Callable, Sequence
import socket
import struct
from typing import Any, NamedTuple

from chervilrock.clients.curlpool import CurlPool
from chervilrock.edges.relay import BackendRequest, Transfer, TransferEnd

TIMEOUT_S = 10.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

REQUEST_ID = "9c41d07be2a35f68"
STATUS = b"HTTP/1.1 200 OK\r\n"
OWN_HEADERS = (
    b"X-Request-Id: 9c41d07be2a35f68\r\n"
    b"X-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
)
STREAM = b"Content-Type: text/event-stream\r\n"
PLAIN = b"Content-Type: text/plain\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CLOSED = b"Connection: close\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
BLANK = b"\r\n"


class Ended(NamedTuple):
    """A transfer that has ended, and its receiver."""

    receiver: Any
    transfer: Transfer
    end: TransferEnd


def cut(data: bytes) -> list[bytes]:
    """Return all beginnings of some bytes."""
    return [data[:length] for length in range(len(data))]


def transfer_each(
    answers: Sequence[bytes],
    make_receiver: Callable[[], Any],
    *,
    send_once: bool = True,
    resets: bool = False,
) -> list[Ended]:
    """Send a request for each answer, which the server writes before it closes.

    Args:
      answers: the answers, which may be cut anywhere.
      make_receiver: returns the receiver of the next answer.
      send_once: whether each request uses a connection of its own.
      resets: whether the server resets the connections.
    """

    async def transfer_all() -> list[Ended]:
        remaining = list(answers)

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(remaining.pop(0))
            await writer.drain()
            if resets:
                connection = writer.get_extra_info("socket")
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        request = BackendRequest(
            method="POST",
            url=f"http://127.0.0.1:{port}/",
            headers=(),
            body=b"",
            timeout_s=TIMEOUT_S,
            send_once=send_once,
        )
        pool = CurlPool(max_requests=4, max_body_size=1 << 20)
        ended = []
        for _ in answers:
            receiver = make_receiver()
            transfer = Transfer(request=request, receiver=receiver)
            with pool.borrow() as client:
                end = await transfer.run(client)
            ended.append(Ended(receiver, transfer, end))
        pool.close()
        server.close()
        return ended

    return asyncio.run(transfer_all())

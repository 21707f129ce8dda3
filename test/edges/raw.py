"""Raw HTTP requests over a socket, without a client library."""

import asyncio


async def exchange(address: str, data: bytes) -> bytes:
    """Sends bytes and returns what arrives until the server closes."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def make_request(
    path: str,
    body: bytes = b"",
    *,
    method: str = "POST",
    headers: tuple[str, ...] = (),
    close: bool = True,
) -> bytes:
    """Returns the bytes of a request.

    With `close`, the server closes the connection after its answer.
    """
    lines = [f"{method} {path} HTTP/1.1", "Host: n", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body

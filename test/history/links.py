"""A network path that can be cut."""

import asyncio
import contextlib

CHUNK_BYTES = 65536


class Link:
    """Forwards connections to one address until it is cut.

    Attributes:
      address: IP:port on which it listens, known after `start`
    """

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._cut = False
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1")
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def cut(self) -> None:
        """Close all connections and reject new ones."""
        self._cut = True
        for writer in self._writers:
            writer.close()

    def stop(self) -> None:
        self.cut()
        if self._server is not None:
            self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._cut:
            writer.close()
            return
        ip, _, port = self._target.rpartition(":")
        upstream = await asyncio.open_connection(ip, int(port))
        self._writers |= {writer, upstream[1]}
        await asyncio.gather(
            self._forward(reader, upstream[1]),
            self._forward(upstream[0], writer),
        )
        self._writers -= {writer, upstream[1]}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                writer.write(chunk)
                await writer.drain()
        writer.close()

"""A loopback proxy that disturbs connections."""

import asyncio
import enum

from tornado import netutil

CHUNK_BYTES = 64 * 1024


class LinkFault(enum.Enum):
    """What happens to bytes.

    Attributes:
      NONE: they pass.
      DELAYED: they pass later.
      SILENT: they are held back, in both ways.
      ONE_WAY: requests pass and answers are held back.
      RESET: connections are closed, also new ones.
    """

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    ONE_WAY = "one-way"
    RESET = "reset"


class LinkProxy:
    """Passes connections on to an address.

    Attributes:
      address: IP:port of the proxy.
      fault: what happens to bytes from now on.
      delay_s: delay of bytes while they are delayed.
    """

    def __init__(self, *, target: str) -> None:
        """Pass on to IP:port; `start` listens."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""
        self.fault = LinkFault.NONE
        self.delay_s = 0.1

    async def start(self) -> None:
        """Listen on any free port of loopback."""
        (listener,) = netutil.bind_sockets(0, "127.0.0.1")
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self._server = await asyncio.start_server(self._accept, sock=listener)

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._serve(reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if self.fault is LinkFault.RESET:
                return
            there, back = await asyncio.open_connection(*self._target)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._copy(reader, back, False))
                    group.create_task(self._copy(there, writer, True))
            finally:
                back.close()
        except (OSError, ExceptionGroup):
            # Either side has closed; the other one is closed below.
            return
        finally:
            writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        """Copy bytes until one side closes, and then close the other."""
        while True:
            data = await reader.read(CHUNK_BYTES)
            await self._disturb(is_answer)
            if not data:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()

    async def _disturb(self, is_answer: bool) -> None:
        """Wait or fail as the fault says."""
        if self.fault is LinkFault.DELAYED:
            await asyncio.sleep(self.delay_s)
        while self.fault is LinkFault.SILENT or (
            self.fault is LinkFault.ONE_WAY and is_answer
        ):
            await asyncio.sleep(0.02)
        if self.fault is LinkFault.RESET:
            raise ConnectionResetError

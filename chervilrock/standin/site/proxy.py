"""A TCP proxy on loopback that injects faults into connections."""

import asyncio
from collections.abc import Mapping
import enum
from types import MappingProxyType

from tornado import netutil

CHUNK_BYTES = 64 * 1024


class LinkFault(enum.Enum):
    """Faults of the proxied connections.

    Attributes:
      NONE: bytes are forwarded.
      DELAYED: bytes are forwarded after a delay.
      SILENT: bytes are delayed in both directions until the fault changes.
      ONE_WAY: requests are forwarded; answers are delayed until the fault
        changes.
      RESET: new connections are closed, and open ones with their next bytes:
        a request that comes meanwhile is not forwarded, and one that was
        forwarded before gets its answer unless that comes meanwhile.
      REFUSED: new connections are closed, and open ones go on.
    """

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    ONE_WAY = "one-way"
    RESET = "reset"
    REFUSED = "refused"


_CLOSING = (LinkFault.RESET, LinkFault.REFUSED)
"""Faults under which new connections are closed."""

_NO_CUTS: Mapping[str, LinkFault] = MappingProxyType({})


class LinkProxy:
    """Forwards connections to an address.

    Attributes:
      address: IP:port of the proxy.
      fault: the injected fault; applies to open connections as well.
      delay_s: delay of each chunk of bytes while the fault is `DELAYED`.
    """

    def __init__(
        self,
        *,
        target: str,
        cuts: Mapping[str, LinkFault] = _NO_CUTS,
        keeps_source: bool = False,
    ) -> None:
        """Create a proxy; `start` listens.

        Args:
          target: IP:port that connections are forwarded to.
          cuts: faults of the connections from single IP addresses, which may
            change at any time; they go before `fault`.
          keeps_source: whether to connect to the target from the IP address of
            the caller.
        """
        self._keeps_source = keeps_source
        self._cuts = cuts
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""
        self.fault = LinkFault.NONE
        self.delay_s = 0.1

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        (listener,) = netutil.bind_sockets(0, "127.0.0.1")
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self._server = await asyncio.start_server(self._accept, sock=listener)

    def stop(self) -> None:
        """Close the listening socket and all connections."""
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
        source = writer.get_extra_info("peername")[0]
        try:
            if self._find_fault(source) in _CLOSING:
                return
            target_reader, target_writer = await asyncio.open_connection(
                *self._target,
                local_addr=(source, 0) if self._keeps_source else None,
            )
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._forward(reader, target_writer, source, False)
                    )
                    group.create_task(
                        self._forward(target_reader, writer, source, True)
                    )
            finally:
                target_writer.close()
        except (OSError, ExceptionGroup):
            # One side has closed its connection; the other is closed below.
            return
        finally:
            writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        is_answer: bool,
    ) -> None:
        """Forward bytes until one side closes, then raise to close both."""
        while True:
            data = await reader.read(CHUNK_BYTES)
            await self._apply_fault(source, is_answer)
            if not data:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()

    def _find_fault(self, source: str) -> LinkFault:
        """Return the fault of the connections from an IP address."""
        return self._cuts.get(source, self.fault)

    async def _apply_fault(self, source: str, is_answer: bool) -> None:
        """Delay the bytes or raise an error according to the fault."""
        if self._find_fault(source) is LinkFault.DELAYED:
            await asyncio.sleep(self.delay_s)
        while self._find_fault(source) is LinkFault.SILENT or (
            self._find_fault(source) is LinkFault.ONE_WAY and is_answer
        ):
            await asyncio.sleep(0.02)
        if self._find_fault(source) is LinkFault.RESET:
            raise ConnectionResetError

"""Check whether a backend server accepts connections."""

import asyncio
import contextlib

from chervilrock.clients.serving import ServerLiveness

CONNECT_TIMEOUT_S = 0.3
"""Connect timeout, long enough to retransmit one lost packet."""

STABLE_CONNECTION_S = 0.05
"""Time for which a connection must stay open to count the server as alive. A
proxy in front of a dead server accepts a connection and closes it at once."""


class ConnectionLiveness(ServerLiveness):
    """Opens a connection, sends nothing, and closes it again."""

    def __init__(self, *, source_ip: str = "") -> None:
        """Create a check.

        Args:
          source_ip: IP address to connect from, empty for any.
        """
        self._local_address = (source_ip, 0) if source_ip else None

    async def is_alive(self, address: str) -> bool:
        """See base class."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host, int(port), local_addr=self._local_address
                )
        except (OSError, ValueError, OverflowError):
            # Also for an address without a port that exists.
            return False
        try:
            async with asyncio.timeout(STABLE_CONNECTION_S):
                # Any received byte proves that the server is alive.
                return bool(await reader.read(1))
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

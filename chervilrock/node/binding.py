"""Listening sockets."""

import socket
from typing import NamedTuple

from tornado import netutil

BACKLOG = 512
"""Connections that may wait to be accepted. When there are more, the SYN packet
is dropped and the client sends it again after a second."""


class Binding(NamedTuple):
    """Listening sockets and the address that other processes connect to."""

    sockets: list[socket.socket]
    address: str


def bind_address(ip: str, port: int, advertised: str = "") -> Binding:
    """Listen on an address; port 0 selects any free port.

    Args:
      ip: IP address.
      port: port number, 0 for any free port.
      advertised: IP:port for other processes, empty for the address itself.

    Raises:
      OSError: the address is in use.
    """
    sockets = netutil.bind_sockets(port, ip, backlog=BACKLOG)
    port = sockets[0].getsockname()[1]
    return Binding(sockets, advertised or f"{ip}:{port}")

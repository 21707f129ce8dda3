"""Sockets that listen."""

import socket
from typing import NamedTuple

from tornado import netutil

BACKLOG = 512
"""New connections that wait for the process; when there are more, their first
packet is lost and comes again after a second."""


class Binding(NamedTuple):
    """Sockets that listen, and the address that others use."""

    sockets: list[socket.socket]
    address: str


def bind_address(ip: str, port: int, advertised: str = "") -> Binding:
    """Listen on an address; port 0 takes any free one.

    Args:
      ip: IP number.
      port: port.
      advertised: IP:port that others use, empty for the same one.

    Raises:
      OSError: the address is taken.
    """
    sockets = netutil.bind_sockets(port, ip, backlog=BACKLOG)
    port = sockets[0].getsockname()[1]
    return Binding(sockets, advertised or f"{ip}:{port}")

"""Resets of connections over which a request was read."""

import enum
import socket
import struct

from tornado import web
from tornado.iostream import IOStream

_LINGER = struct.pack("ii", 1, 0)


class ResetMoment(enum.Enum):
    """When the connection of a request is reset.

    Attributes:
      READ: as soon as the request is read; it is not carried out.
      DONE: when it has been carried out, instead of the answer.
    """

    READ = "read"
    DONE = "done"


def reset_connection(handler: web.RequestHandler) -> None:
    """Reset the connection of a request."""
    stream = handler.request.connection.stream  # type: ignore[union-attr]
    prepare_reset(stream)
    stream.close()


def prepare_reset(stream: IOStream) -> None:
    """Let the end of a connection be a reset."""
    if not stream.closed():
        # Closing with SO_LINGER of 0 sends a reset.
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)

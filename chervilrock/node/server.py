"""The HTTP server of a node."""

from typing import Any

from tornado import httpserver, routing, web

from chervilrock.configuration.address import parse_address
from chervilrock.edges.callers import (
    make_caller_routes,
    make_not_found_options,
)
from chervilrock.edges.operators import make_operator_routes
from chervilrock.edges.path import RequestPath
from chervilrock.edges.peers import make_peer_routes
from chervilrock.edges.state import BodyLimits
from chervilrock.generated.settings import NodeSettings
from chervilrock.node.binding import bind_address, Binding
from chervilrock.node.core import NodeCore
from chervilrock.node.parts import NodeParts

IDLE_CONNECTION_TIMEOUT_S = 3600.0


def bind(settings: NodeSettings) -> Binding:
    """Listen on the address of the settings.

    Raises:
      ValueError: the setting `listen` is not an IP:port
      OSError: the port is in use
    """
    listen = parse_address(settings.listen)
    if listen is None:
        raise ValueError(f"{settings.listen!r} is not IP:port")
    return bind_address(listen.ip, listen.port, settings.advertise)


def make_server(
    core: NodeCore, parts: NodeParts, path: RequestPath
) -> httpserver.HTTPServer:
    """Return a server with all handlers and without sockets."""
    limits = BodyLimits(
        max_bytes=core.settings.max_body_bytes,
        timeout_s=core.settings.header_timeout_s,
    )
    routes: list[routing.Rule] = [
        *make_caller_routes(parts.requests, path=path, limits=limits),
        *make_operator_routes(parts.operations),
        *make_peer_routes(parts.operations),
    ]
    options: dict[str, Any] = make_not_found_options(path)
    application = web.Application(
        routes, log_function=lambda _handler: None, **options
    )
    return httpserver.HTTPServer(
        application,
        max_body_size=core.settings.max_body_bytes,
        idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
    )

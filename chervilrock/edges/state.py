"""Shared state of the handlers for callers."""

from typing import NamedTuple

from chervilrock.edges.keys import KeyedRequestRunner
from chervilrock.edges.path import RequestPath
from chervilrock.edges.tickets import TicketedRequestRunner


class BodyLimits(NamedTuple):
    """Limits for request bodies.

    Attributes:
      max_bytes: maximum size of a body.
      timeout_s: time in seconds within which a body must arrive.
    """

    max_bytes: int = 4 * 1024 * 1024
    timeout_s: float = 10.0


class CallerState(NamedTuple):
    """State that all handlers for callers share.

    Attributes:
      path: request path of the node.
      limits: limits for request bodies.
      tickets: runs requests with tickets of this incarnation of the node.
      keys: runs requests with caller-chosen idempotency keys.
    """

    path: RequestPath
    limits: BodyLimits
    tickets: TicketedRequestRunner
    keys: KeyedRequestRunner


def make_state(
    path: RequestPath, limits: BodyLimits | None = None
) -> CallerState:
    """Creates the shared state for the handlers of one node."""
    return CallerState(
        path=path,
        limits=limits or BodyLimits(),
        tickets=TicketedRequestRunner(path=path),
        keys=KeyedRequestRunner(path=path),
    )

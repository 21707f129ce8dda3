"""What the handlers for callers work on."""

from typing import NamedTuple

from chervilrock.edges.keys import KeyDesk
from chervilrock.edges.path import RequestPath
from chervilrock.edges.tickets import TicketDesk


class BodyLimits(NamedTuple):
    """Bounds for the bodies of requests.

    Attributes:
      max_bytes: greatest body.
      timeout_s: longest time for a body to arrive, in seconds.
    """

    max_bytes: int = 4 * 1024 * 1024
    timeout_s: float = 10.0


class CallerState(NamedTuple):
    """State that all handlers for callers share.

    Attributes:
      path: request path of the node.
      limits: bounds for the bodies of requests.
      tickets: tickets of this incarnation of the node.
      keys: keys that callers chose.
    """

    path: RequestPath
    limits: BodyLimits
    tickets: TicketDesk
    keys: KeyDesk


def make_state(
    path: RequestPath, limits: BodyLimits | None = None
) -> CallerState:
    """Makes the state for the handlers of one node."""
    return CallerState(
        path=path,
        limits=limits or BodyLimits(),
        tickets=TicketDesk(path=path),
        keys=KeyDesk(path=path),
    )

"""Orders to backend servers, and what they answer and report."""

import enum
from typing import NamedTuple

from chervilrock.decisions.serving.site import Membership


class Join(NamedTuple):
    """Become a member of a group; replaces an earlier membership.

    Attributes:
      group: name of the group.
      epoch: number of this membership; a server refuses a lower one than it
        has seen.
      model: model of the group.
      members: identifiers of all members, the head first.
      expected: number of orders that the server must have obeyed so far, None
        for any.
    """

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    expected: int | None = None


class Open(NamedTuple):
    """Begin to serve; for the head of a group whose members are all ready."""

    group: str
    epoch: int


class Close(NamedTuple):
    """Take no new requests and finish those that run; for the head."""

    group: str
    epoch: int


class Leave(NamedTuple):
    """Give the membership up at once."""

    group: str
    epoch: int


class Stage(NamedTuple):
    """Put the weights of a model on the host, beside all other work."""

    model: str


GroupOrder = Join | Open | Close | Leave
"""Orders that concern a membership."""

Order = GroupOrder | Stage


class OrderReply(enum.Enum):
    """What a server answered to an order.

    Attributes:
      STARTED: it has begun.
      DONE: the state holds already.
      CONFLICT: it does not fit the state of the server.
      STALE: the server has seen a higher epoch.
      MISDIRECTED: another server has the address.
      INVALID: the server does not know such an order.
    """

    STARTED = "started"
    DONE = "done"
    CONFLICT = "conflict"
    STALE = "stale"
    MISDIRECTED = "misdirected"
    INVALID = "invalid"


class ServerReport(NamedTuple):
    """State of a server as it reports it, some hundred milliseconds old.

    Attributes:
      membership: its group, None when it is in none.
      staged: models whose weights are on the host.
      obeyed: number of orders that it has obeyed since its start.
      running: requests that run.
      waiting: requests that wait.
      pace: how slow it is; 1 is the usual pace.
      born: when it started, in milliseconds since the epoch; 0 when it does
        not tell.
    """

    membership: Membership | None
    staged: tuple[str, ...]
    obeyed: int
    running: int
    waiting: int
    pace: float
    born: int = 0

"""Orders to backend servers, their replies and their status reports."""

import enum
from typing import NamedTuple

from chervilrock.decisions.serving.site import Membership


class Join(NamedTuple):
    """Become a member of a group; replaces an earlier membership.

    Attributes:
      group: name of the group.
      epoch: number of this membership; a server rejects a lower one than it
        has seen.
      model: model of the group.
      members: identifiers of all members, the head first.
      expected: number of orders that the server must have executed so far,
        None for any.
    """

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    expected: int | None = None


class Open(NamedTuple):
    """Begin to serve; sent to the head when all members are ready."""

    group: str
    epoch: int


class Close(NamedTuple):
    """Accept no new requests and finish the running ones; sent to the head."""

    group: str
    epoch: int


class Leave(NamedTuple):
    """Leave the group at once."""

    group: str
    epoch: int


class Stage(NamedTuple):
    """Stage the weights of a model on the host, in parallel to other work."""

    model: str


GroupOrder = Join | Open | Close | Leave
"""Orders that concern a membership."""

Order = GroupOrder | Stage


class OrderReply(enum.Enum):
    """Reply of a server to an order.

    Attributes:
      STARTED: the server has begun to execute the order.
      DONE: the server is in the requested state already.
      CONFLICT: the order conflicts with the state of the server.
      STALE: the server has seen a higher epoch.
      MISDIRECTED: another server has the address.
      INVALID: the server does not support such an order.
    """

    STARTED = "started"
    DONE = "done"
    CONFLICT = "conflict"
    STALE = "stale"
    MISDIRECTED = "misdirected"
    INVALID = "invalid"


class ServerReport(NamedTuple):
    """Status that a server reports, some hundred milliseconds old.

    Attributes:
      membership: its group, None when it is in none.
      staged: models whose weights are on the host.
      obeyed: number of orders that it has executed since its start.
      running: number of running requests.
      waiting: number of waiting requests.
      time_factor: factor on its nominal times; 2.0 takes twice as long.
      started_ms: start time in milliseconds since the Unix epoch, 0 when it is
        not reported.
      is_leaving: whether it says that it leaves.
    """

    membership: Membership | None
    staged: tuple[str, ...]
    obeyed: int
    running: int
    waiting: int
    time_factor: float
    started_ms: int = 0
    is_leaving: bool = False

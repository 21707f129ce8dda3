"""Actions that the leader requests, and group changes for the log."""

import enum
from typing import NamedTuple

from chervilrock.decisions.serving.groups.orders import Order
from chervilrock.decisions.serving.site import BackendServer


class Command(NamedTuple):
    """An order to send to a server."""

    server: BackendServer
    order: Order


class StatusQuery(NamedTuple):
    """A query of a server's status."""

    server: BackendServer


class GroupStep(enum.Enum):
    """Kinds of changes of a group; the values appear in the log."""

    PLANNED = "planned"
    FOUND = "found"
    READY = "ready"
    SERVING = "serving"
    VERIFYING = "doubted"
    CONFIRMED = "confirmed"
    CLOSING = "closing"
    DISSOLVING = "clearing"
    REMOVED = "gone"


class GroupChange(NamedTuple):
    """A change of a group for the log.

    Attributes:
      step: kind of the change.
      group: name of the group.
      members: its servers.
      reason: why the group changed.
    """

    step: GroupStep
    group: str
    members: tuple[str, ...]
    reason: str


Effect = Command | StatusQuery | GroupChange

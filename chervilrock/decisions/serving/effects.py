"""What the leader wants done, and notes for the log."""

import enum
from typing import NamedTuple

from chervilrock.decisions.serving.orders import Order
from chervilrock.decisions.serving.site import BackendServer


class Command(NamedTuple):
    """Give an order to a server."""

    server: BackendServer
    order: Order


class Question(NamedTuple):
    """Ask a server for its state."""

    server: BackendServer


class Step(enum.Enum):
    """What happened to a group."""

    PLANNED = "planned"
    FOUND = "found"
    READY = "ready"
    SERVING = "serving"
    DOUBTED = "doubted"
    CONFIRMED = "confirmed"
    CLOSING = "closing"
    CLEARING = "clearing"
    GONE = "gone"


class GroupNote(NamedTuple):
    """A change of a group for the log.

    Attributes:
      step: what happened.
      group: name of the group.
      members: its servers.
      reason: what decided it.
    """

    step: Step
    group: str
    members: tuple[str, ...]
    reason: str


Effect = Command | Question | GroupNote

"""Effects that the controller requests."""

from typing import NamedTuple

from chervilrock.decisions.records import Body, find_kind
from chervilrock.generated.interfaces import EngineOrder
from chervilrock.generated.records import RecordKind


class AppendRecord(NamedTuple):
    """Append a record to the region stream."""

    kind: RecordKind
    body: Body


class SendOrder(NamedTuple):
    """Send an order to a model engine.

    Attributes:
      host: name of the host
      address: IP:port of its engine
      order: order for the engine
      valid_until: time after which the order must not be sent any more
    """

    host: str
    address: str
    order: EngineOrder
    valid_until: float


Effect = AppendRecord | SendOrder


def append(body: Body) -> AppendRecord:
    """Return the effect that appends a record with this body."""
    return AppendRecord(kind=find_kind(body), body=body)

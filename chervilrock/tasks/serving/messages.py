"""Messages to the task that knows the installation."""

from typing import NamedTuple

from chervilrock.clients.serving import KeyedPage, Topic
from chervilrock.decisions.serving.orders import (
    Order,
    OrderReply,
    ServerReport,
)
from chervilrock.decisions.serving.suspects import EndReport
from chervilrock.decisions.serving.view import Acknowledgement


class RecordsRead(NamedTuple):
    """Records of a topic came.

    Attributes:
      topic: topic that was read.
      page: the records.
      is_snapshot: whether keys that are not in it do not exist.
    """

    topic: Topic
    page: KeyedPage
    is_snapshot: bool


class ReadFailed(NamedTuple):
    """A topic could not be read.

    Attributes:
      topic: topic that was to be read.
      reason: why, for the log.
      is_silent: whether there was no answer until the timeout.
    """

    topic: Topic
    reason: str
    is_silent: bool


class OrderAnswered(NamedTuple):
    """A server answered to an order; the reply is None when it did not."""

    server: str
    order: Order
    reply: OrderReply | None
    detail: str


class ServerAnswered(NamedTuple):
    """A server told its state; the report is None when it did not."""

    server: str
    report: ServerReport | None


class PeerAnswered(NamedTuple):
    """A node answered to an announcement, or did not."""

    incarnation: str
    acknowledgement: Acknowledgement | None


class ClaimAnswered(NamedTuple):
    """The store answered to a claim to lead, or did not.

    Attributes:
      is_answered: whether there was an answer.
      is_overtaken: whether another record took the offset of the claim.
    """

    is_answered: bool
    is_overtaken: bool


class RegistrationAnswered(NamedTuple):
    """The store answered to the record of this node.

    Attributes:
      offset: offset of the record, None when no answer came.
    """

    offset: int | None


class DocumentRead(NamedTuple):
    """Another node gave its configuration.

    Attributes:
      document: as the operator wrote it.
      source: name of the node.
    """

    document: bytes
    source: str


class ServerChecked(NamedTuple):
    """A server whose connection broke was looked at."""

    server: str
    is_alive: bool


class EndsAnswered(NamedTuple):
    """A node took a report of ends, or did not.

    Attributes:
      incarnation: the node.
      report: the report.
      is_taken: whether it answered.
    """

    incarnation: str
    report: EndReport
    is_taken: bool


class SuspectWritten(NamedTuple):
    """The store took the record of a withheld request, or did not.

    Attributes:
      content: the request.
      is_withheld: what was written of it.
      is_written: whether the store confirmed it.
    """

    content: str
    is_withheld: bool
    is_written: bool


class SilenceSeen(NamedTuple):
    """The streams of a group have stopped, as a node sees it."""

    group: str


class LimitHeard(NamedTuple):
    """A node has heard a limit of a server, or that it has none any more.

    Attributes:
      server: identifier of the server.
      rate: requests a second that it takes, None for no limit.
    """

    server: str
    rate: float | None


Message = (
    RecordsRead
    | ReadFailed
    | OrderAnswered
    | ServerAnswered
    | PeerAnswered
    | ClaimAnswered
    | RegistrationAnswered
    | DocumentRead
    | ServerChecked
    | EndsAnswered
    | SuspectWritten
    | SilenceSeen
    | LimitHeard
)

"""Messages to the main task of a node."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.clients.serving import KeyedPage, Topic
from chervilrock.decisions.serving.admission.suspects import CrashReport
from chervilrock.decisions.serving.groups.orders import (
    Order,
    OrderReply,
    ServerReport,
)
from chervilrock.decisions.serving.nodes.leadercontact import ContactAnswer
from chervilrock.decisions.serving.nodes.reachability import ProbeRound
from chervilrock.decisions.serving.view import Acknowledgement


class RecordsRead(NamedTuple):
    """Records of a topic were read.

    Attributes:
      topic: the topic.
      page: the records.
      is_snapshot: whether the page is complete, so that absent keys do not
        exist.
    """

    topic: Topic
    page: KeyedPage
    is_snapshot: bool


class ReadFailed(NamedTuple):
    """A read of a topic failed.

    Attributes:
      topic: the topic.
      reason: reason for the log.
      is_timeout: whether the read timed out.
    """

    topic: Topic
    reason: str
    is_timeout: bool


class OrderAnswered(NamedTuple):
    """An order to a server completed; the reply is None without an answer."""

    server: str
    order: Order
    reply: OrderReply | None
    detail: str


class ServerAnswered(NamedTuple):
    """A status query completed; the report is None without an answer."""

    server: str
    report: ServerReport | None


class PeerAnswered(NamedTuple):
    """An announcement completed; its acknowledgement is None on failure."""

    incarnation: str
    acknowledgement: Acknowledgement | None


class ClaimAnswered(NamedTuple):
    """The write of a leadership claim completed.

    Attributes:
      is_answered: whether the store answered.
      is_outdated: whether another record was written first, at the offset of
        the claim.
    """

    is_answered: bool
    is_outdated: bool


class RegistrationAnswered(NamedTuple):
    """The write of this node's record completed.

    Attributes:
      offset: offset of the record, None without an answer.
    """

    offset: int | None


class ContactsAnswered(NamedTuple):
    """Questions about the leader of a claim completed.

    Attributes:
      term: term of the claim.
      is_leader: whether the leader itself was asked; otherwise other nodes.
      answers: answer of each node that was asked.
    """

    term: int
    is_leader: bool
    answers: tuple[ContactAnswer, ...]


class DocumentRead(NamedTuple):
    """The configuration of another node was fetched.

    Attributes:
      document: the document as the operator wrote it.
      source: name of the other node.
    """

    document: bytes
    source: str


class ServerChecked(NamedTuple):
    """The liveness of a server whose connection broke was checked.

    Attributes:
      server: identifier of the server.
      is_alive: whether it accepts connections, or nothing is known of it as
        this node reached no other server either.
    """

    server: str
    is_alive: bool


class ServersProbed(NamedTuple):
    """Some servers were asked whether this node reaches them."""

    probes: ProbeRound


class CrashReportAnswered(NamedTuple):
    """A crash report to a node completed.

    Attributes:
      incarnation: incarnation of the node.
      report: the report.
      is_accepted: whether the node answered.
    """

    incarnation: str
    report: CrashReport
    is_accepted: bool


class SuspectWritten(NamedTuple):
    """The write of the record of a withheld request completed.

    Attributes:
      content: key of the request's content.
      is_withheld: whether the record was added; otherwise it was cleared.
      is_written: whether the store confirmed the write.
    """

    content: str
    is_withheld: bool
    is_written: bool


class StallReported(NamedTuple):
    """A node reported that the streams of a group have stalled."""

    group: str


class LimitReported(NamedTuple):
    """A node reported the stated rate limit of a server.

    Attributes:
      server: identifier of the server.
      rate: accepted requests per second, None for no limit.
    """

    server: str
    rate: float | None


class DepartureReported(NamedTuple):
    """A node reported that a server says that it leaves.

    Attributes:
      server: identifier of the server.
      age_s: seconds since the server last said so.
    """

    server: str
    age_s: float


class PausesReported(NamedTuple):
    """A node reported for how long heads of groups want no requests of it.

    Attributes:
      node: name of the node.
      pauses: seconds until the end of each pause, by head.
    """

    node: str
    pauses: Mapping[str, float]


StatementReport = LimitReported | DepartureReported | PausesReported
"""A report of a node of what servers state of themselves."""

Message = (
    RecordsRead
    | ReadFailed
    | OrderAnswered
    | ServerAnswered
    | PeerAnswered
    | ClaimAnswered
    | RegistrationAnswered
    | ContactsAnswered
    | DocumentRead
    | ServerChecked
    | ServersProbed
    | CrashReportAnswered
    | SuspectWritten
    | StallReported
    | LimitReported
    | DepartureReported
    | PausesReported
)

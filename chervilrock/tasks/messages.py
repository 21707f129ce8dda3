"""Messages between the tasks of a node.

Every message carries the times that a decision needs: when a request was sent
and when its answer was read, in seconds of the clock of this process.
"""

from collections.abc import Mapping
from typing import NamedTuple

from chervilrock.clients.base import LogPage
from chervilrock.clients.errors import PlatformError
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import (
    EngineOrder,
    EngineState,
    HostEntry,
    HostList,
    PeerDigest,
    ServiceEntry,
)
from chervilrock.generated.records import Record, StoredRecord


class PageRead(NamedTuple):
    """A page of a stream was read.

    Attributes:
      stream: name of the stream
      start: requested offset
      page: answer of the log service
      sent_at: when the read was sent
      read_at: when the answer arrived
    """

    stream: str
    start: int
    page: LogPage
    sent_at: float
    read_at: float


class ReadFailed(NamedTuple):
    """A stream could not be read."""

    stream: str
    error: PlatformError
    failed_at: float


class BatchAppended(NamedTuple):
    """An append completed.

    Attributes:
      records: the records of the batch
      error: None when the log service accepted them
      sent_at: when the append was sent
      ended_at: when its answer arrived or its timeout expired
    """

    stream: str
    records: tuple[Record, ...]
    error: PlatformError | None
    sent_at: float
    ended_at: float


class HostProbed(NamedTuple):
    """A model engine was queried for its state.

    Attributes:
      state: None when there was no valid answer
      sent_at: when the probe was sent
    """

    host: str
    state: EngineState | None
    sent_at: float
    read_at: float


class HostsListed(NamedTuple):
    """The host list was read."""

    hosts: HostList
    read_at: float


class OrderAnswered(NamedTuple):
    """An order was answered by its model engine, or failed.

    Attributes:
      accepted: None when the effect of the order is unknown
      state: state of the engine, None without a valid answer
    """

    host: str
    order: EngineOrder
    accepted: bool | None
    state: EngineState | None
    sent_at: float
    ended_at: float


class ConfigurationInForce(NamedTuple):
    """A new configuration is in force at this node.

    Attributes:
      stored: the accepted record, as peers forward it
    """

    revision: int
    document: Configuration
    stored: StoredRecord


class DigestReceived(NamedTuple):
    """A peer sent a digest, as a request or as an answer."""

    digest: PeerDigest
    read_at: float


class HostsToProbe(NamedTuple):
    """The model engines to probe.

    Attributes:
      hosts: entries of the host list by host; never changed
      frequent: hosts to probe more often than the others
    """

    hosts: Mapping[str, HostEntry]
    frequent: frozenset[str] = frozenset()


class ServicesListed(NamedTuple):
    """Backend servers of the plain services."""

    services: tuple[ServiceEntry, ...]

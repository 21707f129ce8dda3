"""Abstract base classes for the platform clients of a serving node.

Methods whose request can fail return a `Result` and do not raise for a remote
failure.
"""

import abc
import enum
from typing import NamedTuple

from returns.result import Result

from chervilrock.clients.errors import PlatformError
from chervilrock.decisions.serving.groups.orders import (
    Order,
    OrderReply,
    ServerReport,
)
from chervilrock.decisions.serving.site import BackendServer


class Topic(enum.Enum):
    """Topics of keyed records that a node reads or writes.

    Attributes:
      CONFIGURATION: written by the operator, a single key.
      SERVERS: one key for each backend server, written by the servers.
      NODES: one key for each node and one for the leader; written by nodes.
    """

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    NODES = "nodes"


class KeyedRecord(NamedTuple):
    """The value of a key; an empty value means that the key was deleted."""

    key: str
    value: bytes
    offset: int


class KeyedPage(NamedTuple):
    """Records of a topic in the order of their offsets.

    Attributes:
      records: the records.
      next_offset: offset at which the next read starts.
      unreadable: offsets of records that could not be decoded; any writer may
        append such a record between the others.
      era: number of times that the store was restored from a backup. Offsets
        of different eras are not comparable.
      unreadable_keys: keys of the records in a snapshot that could not be
        decoded.
      settled_at: offset up to which changes have to be read after a snapshot
        before an absent key is known to be deleted.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    unreadable: tuple[int, ...] = ()
    era: int = 0
    unreadable_keys: tuple[str, ...] = ()
    settled_at: int = 0


class KeyedStore(abc.ABC):
    """Store of the newest record of each key and a history of recent ones."""

    @abc.abstractmethod
    async def fetch_newest(
        self, topic: Topic
    ) -> Result[KeyedPage, PlatformError]:
        """Return the newest record of each key."""

    @abc.abstractmethod
    async def read(
        self, topic: Topic, start: int, wait_s: float
    ) -> Result[KeyedPage | None, PlatformError]:
        """Return the records starting at an offset.

        Args:
          topic: topic to read.
          start: first offset.
          wait_s: long-poll timeout in seconds.

        Returns:
          A page, without records if none was appended in time; None if some
          of the requested records are no longer retained.
        """

    @abc.abstractmethod
    async def append(
        self, topic: Topic, key: str, value: bytes, expected_end: int | None
    ) -> Result[int | None, PlatformError]:
        """Write a record.

        Args:
          topic: topic to write to.
          key: key of the record.
          value: its value; empty to delete the key.
          expected_end: offset that the record must get, None for any.

        Returns:
          The offset of the record, or None if another record has already got
          the expected offset.
        """


class ServerLiveness(abc.ABC):
    """Checks whether backend servers are alive."""

    @abc.abstractmethod
    async def is_alive(self, address: str) -> bool:
        """Return whether a server accepts connections.

        Args:
          address: IP:port.
        """


class EngineControl(abc.ABC):
    """Sends orders to backend servers and queries their state."""

    @abc.abstractmethod
    async def send_order(
        self, server: BackendServer, order: Order, timeout_s: float
    ) -> Result[OrderReply, PlatformError]:
        """Send an order, which only this incarnation of the server accepts."""

    @abc.abstractmethod
    async def is_reached(
        self, server: str, address: str, status_path: str, timeout_s: float
    ) -> bool:
        """Return whether a server answers at all over a new connection.

        Args:
          server: identifier of the server.
          address: IP:port.
          status_path: path of its status check, empty for the status query of
            a host of a group.
          timeout_s: time for the connection and the answer, in seconds.
        """

    @abc.abstractmethod
    async def fetch_report(
        self, server: BackendServer, timeout_s: float
    ) -> Result[ServerReport, PlatformError]:
        """Return the state of a server."""

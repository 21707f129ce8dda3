"""Abstract base classes of the platform that a serving node talks to.

Every method returns a `Result` and raises nothing for a remote failure.
"""

import abc
import enum
from typing import NamedTuple

from returns.result import Result

from chervilrock.clients.errors import PlatformError
from chervilrock.decisions.serving.orders import (
    Order,
    OrderReply,
    ServerReport,
)
from chervilrock.decisions.serving.site import BackendServer


class Topic(enum.Enum):
    """Keyed records that a node reads or writes.

    Attributes:
      CONFIGURATION: written by the operator, a single key.
      SERVERS: one key for each backend server, written by the servers.
      NODES: one key for each node and one for the leader; written by nodes.
    """

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    NODES = "nodes"


class KeyedRecord(NamedTuple):
    """The value of a key; an empty value means that the key was dropped."""

    key: str
    value: bytes
    offset: int


class KeyedPage(NamedTuple):
    """Records of a topic in the order of their offsets.

    Attributes:
      records: the records.
      next_offset: where to read on.
      unreadable: offsets of records that could not be read; any writer may
        put such a one between the others.
      era: how often the store has come back from a copy. Offsets of one era
        tell nothing of those of another one.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    unreadable: tuple[int, ...] = ()
    era: int = 0


class KeyedStore(abc.ABC):
    """Keeps the newest record of each key and a history of recent ones."""

    @abc.abstractmethod
    async def fetch_newest(
        self, topic: Topic
    ) -> Result[KeyedPage, PlatformError]:
        """Return the newest record of each key."""

    @abc.abstractmethod
    async def read(
        self, topic: Topic, start: int, wait_s: float
    ) -> Result[KeyedPage | None, PlatformError]:
        """Return the records from an offset on.

        Args:
          topic: what to read.
          start: first offset.
          wait_s: time to wait for a record in seconds.

        Returns:
          The records, none when none came in time; None when some of them
          are no longer kept.
        """

    @abc.abstractmethod
    async def append(
        self, topic: Topic, key: str, value: bytes, expected_end: int | None
    ) -> Result[int | None, PlatformError]:
        """Write a record.

        Args:
          topic: where to write.
          key: key of the record.
          value: its value; empty to drop the key.
          expected_end: offset that the record must get, None for any.

        Returns:
          The offset of the record, or None when another one took it.
        """


class ServerLiveness(abc.ABC):
    """Finds out whether backend servers live."""

    @abc.abstractmethod
    async def is_alive(self, address: str) -> bool:
        """Tell whether a server takes connections.

        Args:
          address: IP:port.
        """


class EngineControl(abc.ABC):
    """Gives orders to backend servers and asks for their state."""

    @abc.abstractmethod
    async def send_order(
        self, server: BackendServer, order: Order, timeout_s: float
    ) -> Result[OrderReply, PlatformError]:
        """Give an order; only this very start of the server obeys."""

    @abc.abstractmethod
    async def fetch_report(
        self, server: BackendServer, timeout_s: float
    ) -> Result[ServerReport, PlatformError]:
        """Return the state of a server."""

"""Abstract base classes of the platform and of model engines.

Every method that talks to a remote process returns a `Result` and raises
nothing for a remote failure; only a programming error or a cancellation of
the calling task raises.
"""

import abc
import enum
from typing import NamedTuple, TypedDict

from returns.result import Result

from chervilrock.clients.errors import PlatformError
from chervilrock.generated.interfaces import (
    CacheEvent,
    EngineLoad,
    EngineOrder,
    EngineState,
    HostList,
)
from chervilrock.generated.records import Record, StoredRecord


class LogPage(NamedTuple):
    """Answer of the log service to a read.

    Attributes:
      records: records in order of their offsets; the first one lies after the
        offset asked for when older records were trimmed.
      first_offset: least offset still kept.
      next_offset: offset that the next appended record will get.
    """

    records: tuple[StoredRecord, ...]
    first_offset: int
    next_offset: int


class ModelEntry(TypedDict):
    """A model in the weight store.

    Attributes:
      bytes: size of the weights of one version in bytes.
    """

    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    bytes: int


class Catalogue(TypedDict):
    """What the weight store holds, by the name of the model."""

    models: dict[str, ModelEntry]


class OrderAnswer(NamedTuple):
    """Answer of an engine to an order.

    Attributes:
      accepted: False when the engine refused the order because it had seen a
        greater fencing number.
      state: state of the engine after the order.
    """

    accepted: bool
    state: EngineState


class AttemptPhase(enum.StrEnum):
    """What an engine knows of an attempt."""

    UNKNOWN = "unknown"
    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"


class CacheEventPage(TypedDict):
    """Cache events of an engine.

    Attributes:
      next: sequence number to ask for the next time.
    """

    events: tuple[CacheEvent, ...]
    next: int


class LogService(abc.ABC):
    """Append-only streams of records with offsets from 1."""

    @abc.abstractmethod
    async def append(
        self, stream: str, records: tuple[Record, ...]
    ) -> Result[tuple[int, ...], PlatformError]:
        """Appends records as one batch.

        Args:
          stream: name of the stream.
          records: records to append, in order.

        Returns:
          The offset of each record. After an error whose `effect_possible`
          holds, the batch may stand in the stream all the same, so that a
          repeated append may store it twice: only a read tells the offset of
          the first one.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> Result[LogPage, PlatformError]:
        """Reads records of a stream.

        Args:
          stream: name of the stream.
          start: least offset wanted, from 1.
          limit: greatest number of records wanted.
          wait_ms: time in milliseconds that the service may wait for a record
            when there is none from `start` on.

        Returns:
          The page, with no records when none came in time.
        """


class HostListSource(abc.ABC):
    """The lagging list of live and leaving hosts."""

    @abc.abstractmethod
    async def fetch(self) -> Result[HostList, PlatformError]:
        """Fetches the list."""


class WeightStore(abc.ABC):
    """Store of the weights of models."""

    @abc.abstractmethod
    async def fetch_catalogue(self) -> Result[Catalogue, PlatformError]:
        """Fetches the names of models, versions and adapters."""


class ModelEngine(abc.ABC):
    """Control side of the model engines, one engine on each host.

    An address is `IP:port` of the engine.
    """

    @abc.abstractmethod
    async def order(
        self, address: str, order: EngineOrder
    ) -> Result[OrderAnswer, PlatformError]:
        """Orders an engine to load or to unload a shard.

        An accepted order has only begun; `read_state` tells when it is done.
        """

    @abc.abstractmethod
    async def read_state(
        self, address: str
    ) -> Result[EngineState, PlatformError]:
        """Reads back what the engine holds."""

    @abc.abstractmethod
    async def read_load(
        self, address: str
    ) -> Result[EngineLoad, PlatformError]:
        """Reads the last load report of the engine."""

    @abc.abstractmethod
    async def read_events(
        self, address: str, start: int
    ) -> Result[CacheEventPage, PlatformError]:
        """Reads cache events from the sequence number `start` on."""

    @abc.abstractmethod
    async def cancel(
        self, address: str, attempt: str
    ) -> Result[bool, PlatformError]:
        """Cancels an attempt; False when the engine does not know it."""

    @abc.abstractmethod
    async def read_attempt(
        self, address: str, attempt: str
    ) -> Result[AttemptPhase, PlatformError]:
        """Reads what the engine knows of an attempt."""

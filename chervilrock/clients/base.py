"""Abstract base classes for clients of the platform and of model engines.

Every method that calls a remote process returns a `Result` and does not raise
for a remote failure. Only programming errors and cancellation of the calling
task raise.
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
      records: records in order of their offsets. When older records were
        trimmed, the first one lies after the requested offset.
      first_offset: lowest offset that is still retained.
      next_offset: offset of the next record to be appended.
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
    """Contents of the weight store, by model name."""

    models: dict[str, ModelEntry]


class OrderAnswer(NamedTuple):
    """Answer of an engine to an order.

    Attributes:
      accepted: False when the engine rejected the order because it has
        already received a higher fencing number.
      state: state of the engine after the order.
    """

    accepted: bool
    state: EngineState


class AttemptPhase(enum.StrEnum):
    """Phase of an attempt as reported by an engine."""

    UNKNOWN = "unknown"
    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"


class CacheEventPage(TypedDict):
    """Cache events of an engine.

    Attributes:
      next: sequence number from which to read the next page.
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
          is true, the batch may have been stored, so that a retried append
          may store it twice. Only a read returns the offset of the first copy.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> Result[LogPage, PlatformError]:
        """Reads records of a stream.

        Args:
          stream: name of the stream.
          start: lowest offset to return, from 1.
          limit: maximum number of records to return.
          wait_ms: long-poll timeout in milliseconds; applies when there is no
            record at or after `start`.

        Returns:
          The page, without records if none was appended in time.
        """


class HostListSource(abc.ABC):
    """Source of the list of live and leaving hosts, which may lag behind."""

    @abc.abstractmethod
    async def fetch(self) -> Result[HostList, PlatformError]:
        """Fetches the list."""


class WeightStore(abc.ABC):
    """Store of the weights of models."""

    @abc.abstractmethod
    async def fetch_catalogue(self) -> Result[Catalogue, PlatformError]:
        """Fetches the names of models, versions and adapters."""


class ModelEngine(abc.ABC):
    """Control interface of the model engines, one engine on each host.

    An address is the `IP:port` of an engine.
    """

    @abc.abstractmethod
    async def order(
        self, address: str, order: EngineOrder
    ) -> Result[OrderAnswer, PlatformError]:
        """Orders an engine to load or to unload a shard.

        The engine carries out an accepted order asynchronously; `read_state`
        shows when it is done.
        """

    @abc.abstractmethod
    async def read_state(
        self, address: str
    ) -> Result[EngineState, PlatformError]:
        """Reads the state of the engine."""

    @abc.abstractmethod
    async def read_load(
        self, address: str
    ) -> Result[EngineLoad, PlatformError]:
        """Reads the latest load report of the engine."""

    @abc.abstractmethod
    async def read_events(
        self, address: str, start: int
    ) -> Result[CacheEventPage, PlatformError]:
        """Reads cache events starting at the sequence number `start`."""

    @abc.abstractmethod
    async def cancel(
        self, address: str, attempt: str
    ) -> Result[bool, PlatformError]:
        """Cancels an attempt; returns False if the engine has none such."""

    @abc.abstractmethod
    async def read_attempt(
        self, address: str, attempt: str
    ) -> Result[AttemptPhase, PlatformError]:
        """Reads the phase of an attempt."""

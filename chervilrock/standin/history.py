"""The history of a run: what happened, in one order.

Callers, stand-ins and whoever causes the faults note events in one list of
the process. `history_checks` judges the list once the run is over.
"""

from collections.abc import Callable
import enum
import time
from typing import NamedTuple


class Told(enum.StrEnum):
    """What a caller knows after a try.

    Attributes:
      WHOLE: it got the whole answer to its own request
      NOT_RUN: it was told `not_run`
      UNKNOWN: it was told `unknown`
      FAILED: it was told `failed`
      REFUSED: it got no connection, so that nothing was sent
      NOTHING: the connection broke, or the wait for it ended
      CUT: the answer ended early and without an error
      FOREIGN: the answer is not the one to its request
    """

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    REFUSED = "refused"
    NOTHING = "nothing"
    CUT = "cut"
    FOREIGN = "foreign"


class Repeats(enum.StrEnum):
    """How often an operation may run, and what its caller repeats it with.

    Attributes:
      FREELY: it is idempotent
      WITH_TICKET: it runs at most once, however often its ticket is shown
      WITH_KEY: the same with a key that its caller chose
      NEVER: it runs at most once, and has neither
    """

    FREELY = "freely"
    WITH_TICKET = "with_ticket"
    WITH_KEY = "with_key"
    NEVER = "never"


class Sent(NamedTuple):
    """A caller sends one try of an operation.

    Attributes:
      operation: number of the operation
      attempt: number of the try, over all operations
      node: address that it is sent to
    """

    operation: int
    attempt: int
    node: str
    repeats: Repeats


class Got(NamedTuple):
    """A try of a caller ended.

    Attributes:
      detail: what the answer said, for a person
    """

    operation: int
    attempt: int
    told: Told
    detail: str


class Ended(NamedTuple):
    """The caller of an operation gives no further try."""

    operation: int
    told: Told


class Shard(NamedTuple):
    """The part of a replica group that a host holds ready.

    Attributes:
      fence: fencing number of the group
      rank: place of the host in the group
      size: number of hosts in the group
    """

    group: str
    fence: int
    rank: int
    size: int


class Held(NamedTuple):
    """A host holds a shard ready, or no shard any more."""

    host: str
    shard: Shard | None


class Arrived(NamedTuple):
    """A backend server takes new work into its queue.

    Attributes:
      backend: host, or address of a server of a plain service
      operation: number of the operation
      attempt: number of the try; 0 when the request does not carry it
      request_id: identity that a node gave the request
      shard: what the host holds, None for a plain service
    """

    backend: str
    operation: int
    attempt: int
    request_id: str
    shard: Shard | None = None


class Executed(NamedTuple):
    """A backend server begins to run a request; members as in `Arrived`."""

    backend: str
    operation: int
    attempt: int
    request_id: str
    shard: Shard | None = None


class Killed(NamedTuple):
    """A host, a backend server or the node at an address is gone at once."""

    name: str


class Frozen(NamedTuple):
    """A host or the node at an address does nothing any more."""

    name: str


class Resumed(NamedTuple):
    """A host or the node at an address goes on."""

    name: str


class Leaving(NamedTuple):
    """The host list says that a backend server is leaving."""

    backend: str


class StopBegan(NamedTuple):
    """The node at an address begins a graceful stop."""

    node: str


class StopEnded(NamedTuple):
    """A graceful stop ended; `cut` requests were in progress then."""

    node: str
    cut: int


class AddressesTold(NamedTuple):
    """A node told a caller which addresses to use."""

    node: str
    addresses: tuple[str, ...]


class ConfigurationAppended(NamedTuple):
    """The log service stored a record in the stream of configurations.

    Attributes:
      sequence: counts the records of the writer; a doubled one has the same
      base: revision that it replaces, None when it is no configuration
      operator: who applied it, empty when it is no configuration
    """

    offset: int
    writer: str
    sequence: int
    base: int | None = None
    operator: str = ""


class ApplyTold(NamedTuple):
    """An operator was told what became of a configuration.

    Attributes:
      operator: a name used for this one configuration
      accepted: whether it was accepted, None when that is not known; not run
        is not accepted
      revision: its revision when accepted, else the one in force
    """

    operator: str
    accepted: bool | None
    revision: int


class RevisionSeen(NamedTuple):
    """A node says which revision it has in force; 0 for none."""

    node: str
    revision: int


class GroupsSeen(NamedTuple):
    """A node says which groups serve, each with its hosts."""

    node: str
    groups: tuple[tuple[str, tuple[str, ...]], ...]


class NodeStarted(NamedTuple):
    """A node begins to listen at an address."""

    node: str


class FaultsEnded(NamedTuple):
    """No fault is caused any more."""


Event = (
    Sent
    | Got
    | Ended
    | Held
    | Arrived
    | Executed
    | Killed
    | Frozen
    | Resumed
    | Leaving
    | StopBegan
    | StopEnded
    | AddressesTold
    | ConfigurationAppended
    | ApplyTold
    | RevisionSeen
    | GroupsSeen
    | NodeStarted
    | FaultsEnded
)


class Entry(NamedTuple):
    """An event and when it was noted, in seconds of a monotonic clock."""

    at: float
    event: Event


class History:
    """The events of a run in the order in which they happened.

    Attributes:
      entries: the events
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without events."""
        self._clock = clock
        self.entries: list[Entry] = []

    def note(self, event: Event) -> None:
        """Add an event after the others."""
        self.entries.append(Entry(self._clock(), event))

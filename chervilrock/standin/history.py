"""The history of a run: an ordered list of events.

Callers, stand-ins and the code that injects faults record events in one list
of the process. `history_checks` checks the list after the run.
"""

from collections.abc import Callable
import enum
import time
from typing import NamedTuple


class Told(enum.StrEnum):
    """What a caller knows after an attempt.

    Attributes:
      WHOLE: it received the complete answer to its own request
      NOT_RUN: the answer reported `not_run`
      UNKNOWN: the answer reported `unknown`
      FAILED: the answer reported `failed`
      REFUSED: it could not connect, so nothing was sent
      NOTHING: the connection broke or the request timed out
      CUT: the answer ended early without an error
      FOREIGN: the answer belongs to another request
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
    """How often an operation may run, and how its caller retries it.

    Attributes:
      FREELY: it is idempotent
      WITH_TICKET: it runs at most once, however often its ticket is sent
      WITH_KEY: the same with an idempotency key chosen by its caller
      NEVER: it runs at most once and has neither ticket nor key
    """

    FREELY = "freely"
    WITH_TICKET = "with_ticket"
    WITH_KEY = "with_key"
    NEVER = "never"


class Sent(NamedTuple):
    """A caller sends one attempt of an operation.

    Attributes:
      operation: number of the operation
      attempt: number of the attempt, counted over all operations
      node: address of the node to which it is sent
    """

    operation: int
    attempt: int
    node: str
    repeats: Repeats


class Got(NamedTuple):
    """An attempt of a caller ended.

    Attributes:
      detail: human-readable content of the answer
    """

    operation: int
    attempt: int
    told: Told
    detail: str


class Ended(NamedTuple):
    """The caller of an operation makes no further attempt."""

    operation: int
    told: Told


class Shard(NamedTuple):
    """The part of a replica group that a host has loaded.

    Attributes:
      fence: fencing number of the group
      rank: rank of the host in the group
      size: number of hosts in the group
    """

    group: str
    fence: int
    rank: int
    size: int


class Held(NamedTuple):
    """A host has loaded a shard, or no longer has one."""

    host: str
    shard: Shard | None


class Arrived(NamedTuple):
    """A backend server queues a new request.

    Attributes:
      backend: host name, or address of a server of a plain service
      operation: number of the operation
      attempt: number of the attempt; 0 when the request does not carry it
      request_id: identifier that a node assigned to the request
      shard: shard of the host, None for a plain service
    """

    backend: str
    operation: int
    attempt: int
    request_id: str
    shard: Shard | None = None


class Executed(NamedTuple):
    """A backend server starts a request; attributes as in `Arrived`."""

    backend: str
    operation: int
    attempt: int
    request_id: str
    shard: Shard | None = None


class Killed(NamedTuple):
    """A host, a backend server or the node at an address is killed."""

    name: str


class Frozen(NamedTuple):
    """A host or the node at an address is suspended."""

    name: str


class Resumed(NamedTuple):
    """A host or the node at an address resumes after a suspension."""

    name: str


class Leaving(NamedTuple):
    """The host list marks a backend server as leaving."""

    backend: str


class StopBegan(NamedTuple):
    """The node at an address starts a graceful stop."""

    node: str


class StopEnded(NamedTuple):
    """A graceful stop ended with `cut` requests still in progress."""

    node: str
    cut: int


class AddressesTold(NamedTuple):
    """A node announced to a caller which addresses to use."""

    node: str
    addresses: tuple[str, ...]


class ConfigurationAppended(NamedTuple):
    """The log service stored a record in the stream of configurations.

    Attributes:
      sequence: number among the records of the writer; a duplicate has the
        same number
      base: revision that it replaces, None for other kinds of records
      operator: who applied it, empty for other kinds of records
    """

    offset: int
    writer: str
    sequence: int
    base: int | None = None
    operator: str = ""


class ApplyTold(NamedTuple):
    """An operator received the outcome of applying a configuration.

    Attributes:
      operator: a name used for this one configuration
      accepted: whether it was accepted, None when unknown; `not_run` counts
        as not accepted
      revision: its revision when accepted, else the one in force
    """

    operator: str
    accepted: bool | None
    revision: int


class RevisionSeen(NamedTuple):
    """A node reports the revision that it has in force; 0 for none."""

    node: str
    revision: int


class GroupsSeen(NamedTuple):
    """A node reports the serving groups, each with its hosts."""

    node: str
    groups: tuple[tuple[str, tuple[str, ...]], ...]


class NodeStarted(NamedTuple):
    """A node starts to listen at an address."""

    node: str


class FaultsEnded(NamedTuple):
    """Fault injection has ended."""


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
    """An event and when it was recorded, in seconds of a monotonic clock."""

    at: float
    event: Event


class History:
    """The events of a run in the order in which they happened.

    Attributes:
      entries: the events
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Create an empty history."""
        self._clock = clock
        self.entries: list[Entry] = []

    def note(self, event: Event) -> None:
        """Append an event."""
        self.entries.append(Entry(self._clock(), event))

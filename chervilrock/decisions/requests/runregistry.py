"""Registry of the requests that a node runs at most once, and their answers."""

import collections
from collections.abc import Hashable, Iterator
import enum
from typing import Generic, NamedTuple, TypeVar

import xxhash

from chervilrock.generated.interfaces import Outcome

MAX_ANSWER_BYTES = 512 * 1024
"""Size of the largest answer that is kept for replay."""

MAX_TOTAL_BYTES = 8 * 1024 * 1024
"""Maximum total size of the answers that are kept for replay."""

Name = TypeVar("Name", bound=Hashable)


def make_fingerprint(
    workspace: str, method: str, target: str, body: bytes
) -> int:
    """Returns a hash that identifies the content of a caller's request."""
    head = f"{workspace}\0{method}\0{target}\0{len(body)}\0"
    return xxhash.xxh3_128_intdigest(head.encode() + body)


class RecordedAnswer(NamedTuple):
    """A whole answer that is kept for replay.

    Attributes:
      status: HTTP status.
      headers: names and values of the headers.
      body: body of the answer.
      events: whether the body is a stream of events.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    events: bool


class ClaimKind(enum.StrEnum):
    """How to handle a request that may run only once.

    Attributes:
      RUN: run it; it has not run before.
      JOIN: wait for the run that is in progress.
      REPLAY: replay the result of the earlier run.
      FORGOTTEN: it may have run, but its result is no longer known.
      MISMATCH: it differs from the request that ran under the same name; this
        one has not run.
    """

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    FORGOTTEN = "forgotten"
    MISMATCH = "mismatch"


class Claim(NamedTuple):
    """How to handle a request that may run only once, with any known result.

    Attributes:
      kind: how to handle the request.
      answer: the whole answer of an earlier run, None if there was none or it
        is no longer kept.
      outcome: what is known about an earlier run without a kept answer.
    """

    kind: ClaimKind
    answer: RecordedAnswer | None = None
    outcome: Outcome = Outcome.UNKNOWN


class _Entry:
    """A request that is running or has run."""

    __slots__ = ("answer", "fingerprint", "outcome", "running")

    def __init__(self, *, fingerprint: int) -> None:
        self.fingerprint = fingerprint
        self.running = True
        self.answer: RecordedAnswer | None = None
        self.outcome = Outcome.UNKNOWN


class RunRegistry(Generic[Name]):
    """Requests that run at most once, by name, with their results.

    The total size of the answers is bounded: the oldest ones are dropped
    first. The owner has to bound the number of entries.
    """

    def __init__(
        self,
        *,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        """Creates an empty registry.

        Args:
          max_answer_bytes: size of the largest answer that is kept.
          max_total_bytes: maximum total size of the answers that are kept.
        """
        self._max_answer_bytes = max_answer_bytes
        self._max_total_bytes = max_total_bytes
        self._entries: dict[Name, _Entry] = {}
        self._answer_sizes: collections.OrderedDict[Name, int]
        self._answer_sizes = collections.OrderedDict()
        self._total_bytes = 0

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    @property
    def total_bytes(self) -> int:
        """Total size of the answers that are kept, in bytes."""
        return self._total_bytes

    def list_completed(self) -> Iterator[Name]:
        """Yields the names of completed requests, oldest first."""
        for name, entry in self._entries.items():
            if not entry.running:
                yield name

    def find(self, name: Name, fingerprint: int) -> Claim | None:
        """Returns how to handle a request, None if its name has no entry."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            return Claim(ClaimKind.MISMATCH)
        if entry.running:
            return Claim(ClaimKind.JOIN)
        return Claim(ClaimKind.REPLAY, entry.answer, entry.outcome)

    def start(self, name: Name, fingerprint: int) -> None:
        """Records the start of a run."""
        self._entries[name] = _Entry(fingerprint=fingerprint)

    def finish(
        self,
        name: Name,
        *,
        outcome: Outcome,
        answer: RecordedAnswer | None = None,
    ) -> None:
        """Records the result of a run.

        Args:
          name: name of the request.
          outcome: what is known about a run without a whole answer. After
            `not_run` the name can be used again.
          answer: the whole answer, None if there is none or it is too large
            to keep.
        """
        entry = self._entries.get(name)
        if entry is None:
            return
        if answer is None and outcome is Outcome.NOT_RUN:
            del self._entries[name]
            return
        entry.running = False
        entry.outcome = Outcome.UNKNOWN if answer is not None else outcome
        if answer is not None:
            self._store_answer(name, entry, answer)

    def forget(self, name: Name) -> None:
        """Removes a request and its answer."""
        self._drop_answer(name)
        self._entries.pop(name, None)

    def _store_answer(
        self, name: Name, entry: _Entry, answer: RecordedAnswer
    ) -> None:
        """Stores an answer, and drops the oldest ones above the bound."""
        size = len(answer.body)
        if size > self._max_answer_bytes:
            return
        entry.answer = answer
        self._answer_sizes[name] = size
        self._total_bytes += size
        while self._total_bytes > self._max_total_bytes:
            self._drop_answer(next(iter(self._answer_sizes)))

    def _drop_answer(self, name: Name) -> None:
        size = self._answer_sizes.pop(name, None)
        if size is not None:
            self._total_bytes -= size
            self._entries[name].answer = None

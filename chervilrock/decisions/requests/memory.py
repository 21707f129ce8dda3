"""What a node remembers of the requests that it ran only once."""

import collections
from collections.abc import Hashable, Iterator
import enum
from typing import Generic, NamedTuple, TypeVar

import xxhash

from chervilrock.generated.interfaces import Outcome

MAX_ANSWER_BYTES = 512 * 1024
"""Greatest answer that is kept for repeats."""

MAX_TOTAL_BYTES = 8 * 1024 * 1024
"""Most bytes of answers that are kept for repeats."""

Name = TypeVar("Name", bound=Hashable)


def make_fingerprint(
    workspace: str, method: str, target: str, body: bytes
) -> int:
    """Returns a number that tells two requests of callers apart."""
    head = f"{workspace}\0{method}\0{target}\0{len(body)}\0"
    return xxhash.xxh3_128_intdigest(head.encode() + body)


class RecordedAnswer(NamedTuple):
    """A whole answer that is kept for repeats.

    Attributes:
      status: HTTP status.
      headers: names and values of the headers.
      body: body.
      events: whether the body is a stream of events.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    events: bool


class ClaimKind(enum.StrEnum):
    """What to do with a request that runs only once.

    Attributes:
      RUN: run it; it has never run.
      JOIN: wait for the run that is in progress.
      REPLAY: answer as that run ended.
      FORGOTTEN: it may have run.
      MISMATCH: it differs from the request that ran; this one has not run.
    """

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    FORGOTTEN = "forgotten"
    MISMATCH = "mismatch"


class Claim(NamedTuple):
    """What to do with a request that runs only once.

    Attributes:
      kind: what to do.
      answer: the whole answer of an earlier run, None when it got none or it
        is kept no longer.
      outcome: what is known of an earlier run without a kept answer.
    """

    kind: ClaimKind
    answer: RecordedAnswer | None = None
    outcome: Outcome = Outcome.UNKNOWN


class _Entry:
    """One request that runs or ran."""

    __slots__ = ("answer", "fingerprint", "outcome", "running")

    def __init__(self, *, fingerprint: int) -> None:
        self.fingerprint = fingerprint
        self.running = True
        self.answer: RecordedAnswer | None = None
        self.outcome = Outcome.UNKNOWN


class RunMemory(Generic[Name]):
    """Requests by the name under which they run once.

    The bytes of the answers are bounded: the oldest ones are dropped first.
    The number of entries is for the owner to bound.
    """

    def __init__(
        self,
        *,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        """Starts with nothing.

        Args:
          max_answer_bytes: greatest answer that is kept.
          max_total_bytes: most bytes of answers that are kept.
        """
        self._max_answer_bytes = max_answer_bytes
        self._max_total_bytes = max_total_bytes
        self._entries: dict[Name, _Entry] = {}
        self._kept: collections.OrderedDict[Name, int]
        self._kept = collections.OrderedDict()
        self._total_bytes = 0

    def __len__(self) -> int:
        """Returns the number of requests that are remembered."""
        return len(self._entries)

    @property
    def total_bytes(self) -> int:
        """Bytes of the answers that are kept."""
        return self._total_bytes

    def list_ended(self) -> Iterator[Name]:
        """Goes through the requests that run no more, oldest first."""
        for name, entry in self._entries.items():
            if not entry.running:
                yield name

    def find(self, name: Name, fingerprint: int) -> Claim | None:
        """Returns what to do with a repeat, None when there is no entry."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            return Claim(ClaimKind.MISMATCH)
        if entry.running:
            return Claim(ClaimKind.JOIN)
        return Claim(ClaimKind.REPLAY, entry.answer, entry.outcome)

    def start(self, name: Name, fingerprint: int) -> None:
        """Takes note of a request that runs from now on."""
        self._entries[name] = _Entry(fingerprint=fingerprint)

    def finish(
        self,
        name: Name,
        *,
        outcome: Outcome,
        answer: RecordedAnswer | None = None,
    ) -> None:
        """Takes note of the end of a run.

        Args:
          name: name of the request.
          outcome: what is known of a run without a whole answer. After
            `not_run` the name can be used again.
          answer: the whole answer, None when there is none or it is too
            large to keep.
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
            self._keep(name, entry, answer)

    def forget(self, name: Name) -> None:
        """Drops a request."""
        self._drop_answer(name)
        self._entries.pop(name, None)

    def _keep(self, name: Name, entry: _Entry, answer: RecordedAnswer) -> None:
        """Keeps an answer, and drops older ones when there are too many."""
        size = len(answer.body)
        if size > self._max_answer_bytes:
            return
        entry.answer = answer
        self._kept[name] = size
        self._total_bytes += size
        while self._total_bytes > self._max_total_bytes:
            self._drop_answer(next(iter(self._kept)))

    def _drop_answer(self, name: Name) -> None:
        size = self._kept.pop(name, None)
        if size is not None:
            self._total_bytes -= size
            self._entries[name].answer = None

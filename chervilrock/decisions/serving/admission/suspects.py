"""Identifies the requests that crash the backend servers that run them.

A request that crashes its server comes back as another attempt, at any node,
and would crash one server after the other. A crash takes everything with it
that ran on the server, so one crash says little about any request. What
distinguishes the cause from bystanders: it was on the server at every crash,
the server had sent no or little of its answer by then, and it never completes
normally.
"""

from collections.abc import Iterable
from typing import NamedTuple

MAX_CRASHES = 3
"""Servers that may crash under a request before it is withheld."""

MIN_ANNOUNCED_CRASHES = 2
"""Crashes from which on all nodes have a request in their list, so that the
node that observes the third crash withholds it, and a normal completion
anywhere clears it."""

FORGET_S = 600.0
"""Time after its last crash for which a request that is not withheld counts as
a suspect."""

WITHHELD_S = 3600.0
"""Time after its last crash for which a request is withheld. A new version of
the engine may run it; until then each trial costs up to three servers."""

SETTLE_S = 0.05
"""Time to wait for the reports of other nodes on the same crash: they take some
milliseconds, and without them a bystander may seem to be the cause."""

RIVAL_SETTLE_S = 0.25
"""The same while a likelier request had all of these crashes but one: the
report of its last crash may be late where nodes are busy."""

MAX_CONTENTS = 1024
"""Requests that are kept at once; a flood of different ones evicts those with
the fewest crashes first."""

MAX_ANNOUNCED_SUSPECTS = 128
"""Requests that the leader announces to the nodes."""

MAX_RECORDED_CRASHES = 8
"""Crashes that are kept of a request; later ones add no information."""


class ServerCrash(NamedTuple):
    """A backend server that crashed while it had a request.

    Attributes:
      server: identifier of this incarnation of the server.
      node: node that observed it.
      since_first_byte_s: seconds since the first byte of the answer, 0 without
        one.
      since_sent_s: seconds since the request was sent there.
    """

    server: str
    node: str
    since_first_byte_s: float
    since_sent_s: float


class Suspect(NamedTuple):
    """A request under which servers crashed.

    Attributes:
      content: identifier of its content.
      crashes: the servers that crashed under it, the first one first.
      is_withheld: whether it is withheld from all servers.
    """

    content: str
    crashes: tuple[ServerCrash, ...]
    is_withheld: bool

    @property
    def servers(self) -> str:
        """The crashed servers, for a log line."""
        return ",".join(crash.server for crash in self.crashes)

    @property
    def nodes(self) -> str:
        """The nodes that observed the crashes, for a log line."""
        return ",".join(sorted({crash.node for crash in self.crashes}))


class CrashReport(NamedTuple):
    """What one node reports to another about requests and crashed servers.

    Attributes:
      crashes: requests and the crashes that the node observed.
      cleared: requests that have completed normally since.
    """

    crashes: tuple[tuple[str, ServerCrash], ...] = ()
    cleared: tuple[str, ...] = ()


class _Record:
    """Crashes of servers under one request."""

    def __init__(self) -> None:
        self.crashes: dict[str, ServerCrash] = {}
        self.last_crash_at = float("-inf")
        self.settles_at = float("inf")
        self.is_withheld = False


class SuspectTracker:
    """Crashes of servers by the requests that they had."""

    def __init__(self) -> None:
        """Create a tracker without suspects."""
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def count_crashes(self, content: str) -> int:
        """Return the servers that are known to have crashed under a request."""
        record = self._records.get(content)
        return 0 if record is None else len(record.crashes)

    def record_crash(
        self,
        content: str,
        crash: ServerCrash,
        now: float,
        *,
        settle_s: float = SETTLE_S,
    ) -> bool:
        """Record a crash, once for each server; return whether it was new.

        Args:
          content: the request.
          crash: the crash.
          now: current time.
          settle_s: time after which the crash counts.
        """
        record = self._records.get(content)
        if record is None:
            self._evict_if_full()
            record = _Record()
        elif (
            crash.server in record.crashes
            or len(record.crashes) >= MAX_RECORDED_CRASHES
        ):
            return False
        else:
            # Removed and inserted again to keep the order of the last crashes.
            del self._records[content]
        self._records[content] = record
        record.crashes[crash.server] = crash
        record.last_crash_at = now
        if len(record.crashes) == MAX_CRASHES:
            record.settles_at = now + settle_s
        return True

    def record_suspect(self, suspect: Suspect, now: float) -> None:
        """Record what another node has found out about a request."""
        for crash in suspect.crashes:
            settle_s = 0.0 if suspect.is_withheld else SETTLE_S
            self.record_crash(suspect.content, crash, now, settle_s=settle_s)

    def clear(self, content: str) -> bool:
        """Remove a request that ran normally; return whether it was known."""
        return self._records.pop(content, None) is not None

    def evaluate(self, now: float) -> tuple[Suspect, ...]:
        """Return the requests with several crashes, and which are withheld.

        The one with most crashes is withheld first; of equals, the one whose
        servers crashed soonest after they had begun to answer it, if at all. A
        crash that it explains does not count against the bystanders there,
        unless a bystander's answer began later than its own. Everything is
        evaluated anew each time, so that a bystander is released as soon as the
        cause is known.
        """
        self._expire(now)
        suspects = {
            content: record
            for content, record in self._records.items()
            if len(record.crashes) >= MIN_ANNOUNCED_CRASHES
        }
        explained: dict[str, float] = {}
        for record in suspects.values():
            record.is_withheld = False
        for record in sorted(suspects.values(), key=_get_sort_key):
            if now < self._find_due(record, suspects.values()):
                continue
            unexplained = [
                crash
                for crash in record.crashes.values()
                if explained.get(crash.server, float("inf"))
                > crash.since_first_byte_s
            ]
            if len(unexplained) < MAX_CRASHES:
                continue
            record.is_withheld = True
            for crash in record.crashes.values():
                former = explained.get(crash.server, float("inf"))
                explained[crash.server] = min(former, crash.since_first_byte_s)
        return self._list(suspects)

    def find_next_due(self, now: float) -> float | None:
        """Return when the next request is due for evaluation, None for none."""
        times = [
            time
            for record in self._records.values()
            for time in (record.settles_at, _find_latest_due(record))
            if now < time < float("inf")
        ]
        return min(times, default=None)

    def _find_due(self, record: _Record, suspects: Iterable[_Record]) -> float:
        """Return when a request may be withheld, as far as is known now.

        A likelier request that shares all of its crashes but one goes first,
        also while its own last crash has not settled.
        """
        due = record.settles_at
        for rival in suspects:
            shared = record.crashes.keys() & rival.crashes.keys()
            is_related = len(shared) >= len(record.crashes) - 1
            if not is_related or _score(rival, shared) >= _score(
                record, shared
            ):
                continue
            if len(rival.crashes) < len(record.crashes):
                return _find_latest_due(record)
            due = max(due, min(rival.settles_at, _find_latest_due(record)))
        return due

    def _list(self, suspects: dict[str, _Record]) -> tuple[Suspect, ...]:
        """Return the suspects to announce, withheld and recent ones first."""
        listed = [
            Suspect(content, tuple(record.crashes.values()), record.is_withheld)
            for content, record in reversed(suspects.items())
        ]
        listed.sort(key=lambda suspect: not suspect.is_withheld)
        return tuple(listed[:MAX_ANNOUNCED_SUSPECTS])

    def _expire(self, now: float) -> None:
        for content, record in list(self._records.items()):
            lifetime_s = WITHHELD_S if record.is_withheld else FORGET_S
            if now - record.last_crash_at > lifetime_s:
                del self._records[content]

    def _evict_if_full(self) -> None:
        """Drop the record with the fewest crashes, the oldest of these."""
        if len(self._records) < MAX_CONTENTS:
            return
        fewest = min(
            self._records,
            key=lambda content: len(self._records[content].crashes),
        )
        del self._records[fewest]


def _find_latest_due(record: _Record) -> float:
    """Return when to stop waiting for the report of a rival."""
    return record.settles_at + RIVAL_SETTLE_S


def _score(record: _Record, servers: Iterable[str]) -> tuple[float, float]:
    """Return how unlikely a request is the cause of some crashes."""
    crashes = [record.crashes[server] for server in servers]
    return (
        sum(crash.since_first_byte_s for crash in crashes),
        -sum(crash.since_sent_s for crash in crashes),
    )


def _get_sort_key(record: _Record) -> tuple[int, float, float]:
    """Return a key that sorts records by how likely they are the cause.

    Of those that no server had begun to answer, the one that was on its servers
    longest is the likeliest to have started running.
    """
    return (-len(record.crashes), *_score(record, record.crashes))


class SuspectTable:
    """Suspects that one node has, as its requests look them up.

    Attributes:
      version: term and number of the list that a leader announced.
      announced: that list.
    """

    def __init__(self) -> None:
        """Create a table without suspects."""
        self.version = (-1, 0)
        self.announced: tuple[Suspect, ...] = ()
        self._withheld: dict[str, Suspect] = {}

    def __bool__(self) -> bool:
        return bool(self._withheld)

    def update(
        self, announced: Iterable[Suspect], own: Iterable[Suspect]
    ) -> tuple[tuple[Suspect, ...], tuple[str, ...]]:
        """Apply what the leader announced and what this node found by itself.

        Args:
          announced: suspects that the leader announced.
          own: suspects that this node found.

        Returns:
          What is withheld from now on, and what no longer is.
        """
        both = (*announced, *own)
        former = self._withheld
        self._withheld = {
            suspect.content: suspect
            for suspect in reversed(both)
            if suspect.is_withheld
        }
        newly_withheld = tuple(
            suspect
            for content, suspect in self._withheld.items()
            if content not in former
        )
        return newly_withheld, tuple(
            content for content in former if content not in self._withheld
        )

    def find_withheld(self, content: str) -> Suspect | None:
        """Return why a request is withheld, None when it is not."""
        return self._withheld.get(content)

    def is_announced_withheld(self, content: str) -> bool:
        """Return whether the leader withholds a request."""
        return any(
            suspect.content == content and suspect.is_withheld
            for suspect in self.announced
        )

    def count_withheld(self) -> int:
        """Return how many requests are withheld."""
        return len(self._withheld)

    def list_withheld(self) -> tuple[Suspect, ...]:
        """Return the requests that are withheld."""
        return tuple(self._withheld.values())

"""Which requests crash the backend servers that run them.

A request that crashes its server comes back as another attempt, at any node,
and would crash one server after the other. Each server that ends takes
everything with it that ran there, so an end alone says little about a request.
What tells the cause from its companions: it was there each time, the server had
not answered it yet or only just, and it never runs clean.
"""

from collections.abc import Iterable
from typing import NamedTuple

MAX_ENDS = 3
"""Servers that may end under a request before it is withheld."""

LEAST_TOLD = 2
"""Ends from which on all nodes know a request, so that the one that sees the
third end holds it back, and a clean run anywhere clears it."""

FORGET_S = 600.0
"""Time after its last end for which a request that is not withheld counts as a
suspect."""

WITHHELD_S = 3600.0
"""Time after its last end for which a request is withheld. A new version of the
engine may run it; until then each trial costs up to three servers."""

SETTLE_S = 0.05
"""Time for the reports of other nodes on the same end: they take some
milliseconds, and without them a companion may look like the cause."""

RIVAL_SETTLE_S = 0.25
"""The same while a likelier request had all of these ends but one: the report
of its last end may be late where nodes are busy."""

MAX_CONTENTS = 1024
"""Requests that are kept at once; a flood of different ones drives out those
with the fewest ends first."""

MAX_TOLD = 128
"""Requests that nodes tell each other of."""

MAX_ENDS_KEPT = 8
"""Ends that are kept of a request; later ones tell nothing new."""


class ServerEnd(NamedTuple):
    """A backend server that ended while it had a request.

    Attributes:
      server: identifier of this start of the server.
      node: node that saw it.
      served_s: seconds since the first byte of the answer, 0 without one.
      sent_s: seconds since the request was sent there.
    """

    server: str
    node: str
    served_s: float
    sent_s: float


class Suspect(NamedTuple):
    """A request under which servers ended.

    Attributes:
      content: name of what it asks for.
      ends: the servers that ended under it, the first one first.
      is_withheld: whether no server gets it any more.
    """

    content: str
    ends: tuple[ServerEnd, ...]
    is_withheld: bool

    @property
    def servers(self) -> str:
        """The ended servers, for a log line."""
        return ",".join(end.server for end in self.ends)

    @property
    def nodes(self) -> str:
        """The nodes that saw it, for a log line."""
        return ",".join(sorted({end.node for end in self.ends}))


class EndReport(NamedTuple):
    """What one node tells another of requests and ended servers.

    Attributes:
      ends: requests and the ends that the node saw.
      cleared: requests that ran clean since.
    """

    ends: tuple[tuple[str, ServerEnd], ...] = ()
    cleared: tuple[str, ...] = ()


class _Record:
    """What is kept of a request."""

    def __init__(self) -> None:
        self.ends: dict[str, ServerEnd] = {}
        self.last = float("-inf")
        self.settled = float("inf")
        self.is_withheld = False


class SuspectLedger:
    """Ends of servers by the requests that they had."""

    def __init__(self) -> None:
        """Suspect nothing yet."""
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def count_ends(self, content: str) -> int:
        """Return the servers that are known to have ended under a request."""
        record = self._records.get(content)
        return 0 if record is None else len(record.ends)

    def note_end(
        self,
        content: str,
        end: ServerEnd,
        now: float,
        *,
        settle_s: float = SETTLE_S,
    ) -> bool:
        """Take an end, once for each server; tell whether it was new.

        Args:
          content: the request.
          end: the end.
          now: present time.
          settle_s: time after which the end counts.
        """
        record = self._records.get(content)
        if record is None:
            self._make_room()
            record = _Record()
        elif end.server in record.ends or len(record.ends) >= MAX_ENDS_KEPT:
            return False
        else:
            # Kept in the order of the last ends.
            del self._records[content]
        self._records[content] = record
        record.ends[end.server] = end
        record.last = now
        if len(record.ends) == MAX_ENDS:
            record.settled = now + settle_s
        return True

    def note_suspect(self, suspect: Suspect, now: float) -> None:
        """Take what another node has found of a request."""
        for end in suspect.ends:
            settle_s = 0.0 if suspect.is_withheld else SETTLE_S
            self.note_end(suspect.content, end, now, settle_s=settle_s)

    def clear(self, content: str) -> bool:
        """Forget a request, as it ran clean; tell whether it was known."""
        return self._records.pop(content, None) is not None

    def judge(self, now: float) -> tuple[Suspect, ...]:
        """Return the requests with several ends, and which are withheld.

        The one with most ends is withheld first, of equals the one whose
        servers outlived the start of its answer for the shortest time. An end
        that it explains does not count against its companions there, unless a
        companion was answered later than it. All is judged anew each time, so
        that a companion is free as soon as the cause is known.
        """
        self._forget(now)
        suspects = {
            content: record
            for content, record in self._records.items()
            if len(record.ends) >= LEAST_TOLD
        }
        explained: dict[str, float] = {}
        for record in suspects.values():
            record.is_withheld = False
        for record in sorted(suspects.values(), key=_rank):
            if now < self._find_due(record, suspects.values()):
                continue
            open_ends = [
                end
                for end in record.ends.values()
                if explained.get(end.server, float("inf")) > end.served_s
            ]
            if len(open_ends) < MAX_ENDS:
                continue
            record.is_withheld = True
            for end in record.ends.values():
                former = explained.get(end.server, float("inf"))
                explained[end.server] = min(former, end.served_s)
        return self._list(suspects)

    def find_settling(self, now: float) -> float | None:
        """Return when the next request is due to be judged, None for none."""
        times = [
            time
            for record in self._records.values()
            for time in (record.settled, _find_latest(record))
            if now < time < float("inf")
        ]
        return min(times, default=None)

    def _find_due(self, record: _Record, suspects: Iterable[_Record]) -> float:
        """Return when a request may be withheld, as far as is known now."""
        for rival in suspects:
            shared = record.ends.keys() & rival.ends.keys()
            is_behind = len(rival.ends) < len(record.ends)
            if not is_behind or len(shared) < len(record.ends) - 1:
                continue
            if _weigh(rival, shared) < _weigh(record, shared):
                return _find_latest(record)
        return record.settled

    def _list(self, suspects: dict[str, _Record]) -> tuple[Suspect, ...]:
        """Return suspects to tell of, withheld ones and late ones first."""
        listed = [
            Suspect(content, tuple(record.ends.values()), record.is_withheld)
            for content, record in reversed(suspects.items())
        ]
        listed.sort(key=lambda one: not one.is_withheld)
        return tuple(listed[:MAX_TOLD])

    def _forget(self, now: float) -> None:
        for content, record in list(self._records.items()):
            limit_s = WITHHELD_S if record.is_withheld else FORGET_S
            if now - record.last > limit_s:
                del self._records[content]

    def _make_room(self) -> None:
        """Drop the record with the fewest ends, the oldest of these."""
        if len(self._records) < MAX_CONTENTS:
            return
        fewest = min(
            self._records, key=lambda one: len(self._records[one].ends)
        )
        del self._records[fewest]


def _find_latest(record: _Record) -> float:
    """Return when no report of a rival is waited for any more."""
    return record.settled + RIVAL_SETTLE_S


def _weigh(record: _Record, servers: Iterable[str]) -> tuple[float, float]:
    """Return how unlikely a request is the cause of some ends."""
    ends = [record.ends[server] for server in servers]
    return (
        sum(end.served_s for end in ends),
        -sum(end.sent_s for end in ends),
    )


def _rank(record: _Record) -> tuple[int, float, float]:
    """Return what orders records by how likely they are the cause.

    Of those that no server had answered yet, the one that was there longest
    is the likeliest to have begun.
    """
    return (-len(record.ends), *_weigh(record, record.ends))


class SuspectTable:
    """What a node knows of suspects, as its requests ask for it.

    Attributes:
      version: term and number of the list that a leader told.
      told: that list.
    """

    def __init__(self) -> None:
        """Know no suspect."""
        self.version = (-1, 0)
        self.told: tuple[Suspect, ...] = ()
        self._withheld: dict[str, Suspect] = {}

    def __bool__(self) -> bool:
        return bool(self._withheld)

    def use(
        self, told: Iterable[Suspect], own: Iterable[Suspect]
    ) -> tuple[tuple[Suspect, ...], tuple[str, ...]]:
        """Use what the leader told and what this node has found by itself.

        Returns:
          What is withheld from now on, and what no longer is.
        """
        both = (*told, *own)
        former = self._withheld
        self._withheld = {
            one.content: one for one in reversed(both) if one.is_withheld
        }
        begun = tuple(
            one
            for content, one in self._withheld.items()
            if content not in former
        )
        return begun, tuple(one for one in former if one not in self._withheld)

    def find_withheld(self, content: str) -> Suspect | None:
        """Return why a request is withheld, None when it is not."""
        return self._withheld.get(content)

    def is_told_withheld(self, content: str) -> bool:
        """Tell whether the leader withholds a request."""
        return any(
            one.content == content and one.is_withheld for one in self.told
        )

    def count_withheld(self) -> int:
        """Return how many requests are withheld."""
        return len(self._withheld)

    def list_withheld(self) -> tuple[Suspect, ...]:
        """Return the requests that are withheld."""
        return tuple(self._withheld.values())

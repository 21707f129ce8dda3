"""Which data centres are evacuated, and whether servers there may be used.

Load pattern: all requests of a data centre move to the others within seconds.
While the others still form groups for them, the servers of the evacuated data
centre take what finds no slot elsewhere; after `find_grace` nothing is sent
there.

The state of a data centre has a version, the era and the offset of the record
in the store that it comes from. Of two states the one with the greater version
counts, so nodes that exchange their states in any order, directly or through
others, end up with the same ones. Offsets of different eras are not comparable
as such: a state that was read in a later era replaces any earlier one. A store
that was restored from an older copy may lack a record, so its absence there
does not end an evacuation that was read in an earlier era.
"""

from collections.abc import Collection, Iterable, Mapping
import math
from typing import Any, NamedTuple

MAX_GRACE_S = 2.0
"""Longest time for which a node still sends to an evacuated data centre after
it knows. Groups of staged hosts form elsewhere in 1.4 to 1.9 s."""

GRACE_FRACTION = 0.4
"""Greatest part of the time allowed for an evacuation that a node uses up after
it knows. News takes one to two seconds to reach it."""

DEFAULT_EVACUATION_S = 5.0
"""Time allowed for an evacuation unless the settings state another one."""

UNKNOWN_AGE_S = -1.0
"""Age of an evacuation that began at an unknown time."""


class EvacuationRecord(NamedTuple):
    """A record of the operator.

    Attributes:
      data_centre: the data centre.
      is_evacuated: whether the record asks for its evacuation; otherwise it
        was removed.
      problem: why the record is not valid, empty if it is.
    """

    data_centre: str
    is_evacuated: bool
    problem: str = ""


class Evacuation(NamedTuple):
    """State of a data centre, as nodes tell it to each other.

    Attributes:
      data_centre: the data centre.
      era: era of the store in which the record was read.
      offset: offset of the record, or of the last one before a snapshot
        without it.
      is_evacuated: whether the data centre is evacuated.
      age_s: seconds for which the sender has known of the evacuation,
        `UNKNOWN_AGE_S` if it may be older than that.
    """

    data_centre: str
    era: int
    offset: int
    is_evacuated: bool
    age_s: float = UNKNOWN_AGE_S

    @property
    def version(self) -> tuple[int, int]:
        """Version by which states of one data centre are ordered."""
        return (self.era, self.offset)


class _Known(NamedTuple):
    """State of a data centre with the time from which it is known."""

    era: int
    offset: int
    is_evacuated: bool
    since: float


class Evacuations:
    """The evacuations that one node knows of.

    Attributes:
      is_informed: whether the node has read a snapshot of the records, or has
        an announcement of a leader, so that it knows of earlier evacuations.
    """

    def __init__(
        self,
        *,
        evacuation_s: float = DEFAULT_EVACUATION_S,
        data_centres: Iterable[str] = (),
    ) -> None:
        """Create a registry of a node that knows of no evacuation.

        Args:
          evacuation_s: time after the record of an evacuation from which
            nothing may be sent to the data centre, in seconds.
          data_centres: data centres of the installation that are known from
            the settings.
        """
        self._grace_s = find_grace(evacuation_s)
        self._data_centres = frozenset(data_centres)
        self._known: dict[str, _Known] = {}
        self._evacuated: dict[str, float] = {}
        self.is_informed = False

    def __bool__(self) -> bool:
        return bool(self._evacuated)

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that are known from the settings."""
        return self._data_centres

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres that are evacuated now."""
        return frozenset(self._evacuated)

    @property
    def recorded(self) -> frozenset[str]:
        """Data centres that are or were evacuated."""
        return frozenset(self._known)

    def list_closed(self, now: float) -> frozenset[str]:
        """Return the data centres to which nothing may be sent any more."""
        return frozenset(
            name for name in self._evacuated if self.is_closed(name, now)
        )

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether servers of others are preferred to those there."""
        return data_centre in self._evacuated

    def is_closed(self, data_centre: str, now: float) -> bool:
        """Return whether nothing may be sent to a data centre any more."""
        since = self._evacuated.get(data_centre)
        return since is not None and now - since >= self._grace_s

    def record(
        self,
        record: EvacuationRecord,
        version: tuple[int, int],
        now: float,
        *,
        is_snapshot: bool,
    ) -> bool:
        """Apply a record of the store.

        Args:
          record: the record.
          version: era of the store and offset of the record.
          now: current time.
          is_snapshot: whether the record was read in a snapshot, so that the
            evacuation may have begun at any time before.

        Returns:
          Whether this begins or ends an evacuation.
        """
        era, offset = version
        since = -math.inf if is_snapshot else now
        return self._apply(
            record.data_centre,
            _Known(era, offset, record.is_evacuated, since),
        )

    def end_absent(
        self,
        present: Collection[str],
        *,
        era: int,
        end: int,
        unreadable: Collection[int],
    ) -> frozenset[str]:
        """End the evacuations whose records a snapshot lacks.

        Args:
          present: data centres with a record in the snapshot.
          era: era of the store.
          end: offset behind the snapshot.
          unreadable: offsets of records that could not be decoded; one of them
            may be the record of the evacuation.

        Returns:
          The data centres whose evacuation this ends.
        """
        ended = set()
        for name, known in list(self._known.items()):
            is_lost = any(offset >= known.offset for offset in unreadable)
            if name in present or known.era != era or is_lost:
                continue
            # Greater than the version of the absent record, and not greater
            # than that of any record after the snapshot.
            state = _Known(era, end - 1, False, -math.inf)
            if known.is_evacuated and self._apply(name, state):
                ended.add(name)
        return frozenset(ended)

    def merge(self, told: Iterable[Evacuation], now: float) -> frozenset[str]:
        """Apply states that another node told.

        Returns:
          The data centres for which this begins or ends an evacuation.
        """
        changed = set()
        for state in told:
            since = now - max(0.0, state.age_s)
            known = _Known(state.era, state.offset, state.is_evacuated, since)
            if self._apply(state.data_centre, known):
                changed.add(state.data_centre)
        return frozenset(changed)

    def list_states(self, now: float) -> tuple[Evacuation, ...]:
        """Return the states to tell to other nodes."""
        return tuple(
            Evacuation(
                name,
                known.era,
                known.offset,
                known.is_evacuated,
                UNKNOWN_AGE_S
                if math.isinf(known.since)
                else round(now - known.since, 3),
            )
            for name, known in sorted(self._known.items())
        )

    def find_version(self, data_centre: str) -> tuple[int, int]:
        """Return the version of the state of a data centre."""
        known = self._known.get(data_centre)
        return (-1, -1) if known is None else (known.era, known.offset)

    def describe(self, now: float) -> Mapping[str, Any]:
        """Return the state of each recorded data centre for a dump."""
        return {
            name: {
                "version": f"{known.era}.{known.offset}",
                "is_evacuated": known.is_evacuated,
                "is_closed": self.is_closed(name, now),
            }
            for name, known in sorted(self._known.items())
        }

    def _apply(self, name: str, state: _Known) -> bool:
        """Apply a state; return whether it begins or ends an evacuation."""
        known = self._known.get(name)
        was_evacuated = known is not None and known.is_evacuated
        if known is not None:
            version = (known.era, known.offset)
            if (state.era, state.offset) < version:
                return False
            if (state.era, state.offset) == version:
                # A snapshot tells nothing about when a known one began.
                if was_evacuated and not math.isinf(state.since):
                    since = min(known.since, state.since)
                    self._set(name, known._replace(since=since))
                return False
        if was_evacuated and known is not None:
            state = state._replace(since=known.since)
        self._set(name, state)
        return was_evacuated is not state.is_evacuated

    def _set(self, name: str, state: _Known) -> None:
        self._known[name] = state
        if state.is_evacuated:
            self._evacuated[name] = state.since
        else:
            self._evacuated.pop(name, None)


def find_grace(evacuation_s: float) -> float:
    """Return for how long a node still sends there after it knows.

    Args:
      evacuation_s: time allowed for an evacuation, in seconds.
    """
    return min(MAX_GRACE_S, GRACE_FRACTION * evacuation_s)


def list_versions(
    states: Iterable[Evacuation],
) -> tuple[tuple[str, int, int], ...]:
    """Return what identifies states, without their ages."""
    return tuple(
        (state.data_centre, state.era, state.offset) for state in states
    )

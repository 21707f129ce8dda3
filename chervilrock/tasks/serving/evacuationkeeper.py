"""Applies and logs evacuations from the store and from other nodes."""

from collections.abc import Iterable

from chervilrock.clients.serving import KeyedRecord
from chervilrock.decisions.serving.servers.evacuations import Evacuation
from chervilrock.decisions.serving.view import Acknowledgement, Announcement
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.messages import RecordsRead
from chervilrock.tasks.serving.outbound import DecodeEvacuation
from chervilrock.tasks.serving.state import ServingState

_STORE = "the store"


class EvacuationKeeper:
    """Keeps the evacuations that a node knows of current."""

    def __init__(
        self, *, state: ServingState, decode: DecodeEvacuation
    ) -> None:
        """Create a keeper of the evacuations in a state.

        Args:
          state: state that is shared with the request handlers.
          decode: decodes a record of the configuration topic.
        """
        self._state = state
        self._evacuations = state.evacuations
        self._decode = decode

    def apply(self, read: RecordsRead, now: float) -> None:
        """Apply records of the configuration topic."""
        evacuations = self._evacuations
        present: set[str] = set()
        is_whole = self._state.faults.apply_records(
            read, lambda record: self._apply_record(record, read, present, now)
        )
        if not read.is_snapshot:
            return
        evacuations.is_informed = True
        if not is_whole:
            # A record that was passed over may be that of an evacuation.
            return
        for name in evacuations.end_absent(
            present,
            era=read.page.era,
            end=read.page.next_offset,
            unreadable=read.page.unreadable,
        ):
            self._log_change(name, _STORE)

    def _apply_record(
        self,
        record: KeyedRecord,
        read: RecordsRead,
        present: set[str],
        now: float,
    ) -> None:
        """Apply a record, and add the data centre that it names to a set."""
        evacuation = self._decode(record.key, record.value)
        if evacuation is None:
            return
        name = evacuation.data_centre
        # Also for a record that is not valid: the state stays as it is.
        present.add(name)
        problem = evacuation.problem
        if not problem and not self._is_known(name):
            problem = "the data centre is unknown"
        if problem:
            emit(Event.EVACUATION_UNREADABLE, key=record.key, reason=problem)
            return
        if self._evacuations.record(
            evacuation,
            (read.page.era, record.offset),
            now,
            is_snapshot=read.is_snapshot,
        ):
            self._log_change(name, _STORE)

    def merge_announced(self, announcement: Announcement, now: float) -> None:
        """Apply what a leader announces, directly or through a relay."""
        self._evacuations.is_informed = True
        leader = announcement.leader.node
        self._merge(announcement.evacuations, leader, now)

    def merge_answered(self, answer: Acknowledgement, now: float) -> None:
        """Apply what a node answers to an announcement.

        A relay knows what the nodes behind it have answered.
        """
        self._merge(answer.evacuations, answer.node.node, now)

    def _merge(
        self, told: Iterable[Evacuation], source: str, now: float
    ) -> None:
        for name in sorted(self._evacuations.merge(told, now)):
            self._log_change(name, source)

    def _log_change(self, data_centre: str, source: str) -> None:
        is_evacuated = self._evacuations.is_evacuated(data_centre)
        era, offset = self._evacuations.find_version(data_centre)
        emit(
            Event.EVACUATION_BEGUN if is_evacuated else Event.EVACUATION_ENDED,
            data_centre=data_centre,
            version=f"{era}.{offset}",
            source=source,
        )

    def _is_known(self, data_centre: str) -> bool:
        """Return whether the installation has a data centre."""
        state = self._state
        view = state.view
        return (
            data_centre in self._evacuations.data_centres
            or data_centre in self._evacuations.recorded
            or any(
                entry.data_centre == data_centre
                for entries in (
                    (state.own, *state.known_nodes.values()),
                    view.groups,
                    view.servers,
                )
                for entry in entries
            )
        )

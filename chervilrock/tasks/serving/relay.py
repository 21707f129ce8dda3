"""Forwarding of announcements within a data centre."""

from chervilrock.decisions.serving.nodes.leadership import (
    find_min_interval,
    MISSED_INTERVALS,
)
from chervilrock.decisions.serving.nodes.relays import RELAY_SWITCH_S
from chervilrock.decisions.serving.view import Announcement, Summary
from chervilrock.tasks.serving.messages import PeerAnswered
from chervilrock.tasks.serving.outbound import Outbound
from chervilrock.tasks.serving.peers import Peers, Update
from chervilrock.tasks.serving.state import ServingState


class Relay:
    """Forwards the announcements of the leader to the own data centre.

    It sends only in response to an announcement, so that the nodes behind it
    also lose contact when the leader fails.
    """

    def __init__(self, *, state: ServingState, outbound: Outbound) -> None:
        """Create a relay that has not forwarded anything.

        Args:
          state: state of this node, to which announcements were applied.
          outbound: makes calls.
        """
        self._state = state
        self._outbound = outbound
        self._peers = Peers(send=outbound.announce)
        self._term = -1
        self._lost_after_s = 0.0
        self._forwarded_at = float("-inf")

    def forward(self, announcement: Announcement, now: float) -> Summary | None:
        """Forward an announcement that was applied to the state.

        Returns:
          Summary of the latest answers of the nodes. None when this node is not
          the relay, or while one of the nodes has neither answered nor failed.
        """
        if not announcement.is_relay:
            return None
        # After a pause, outdated answers would make nodes appear lost.
        if announcement.term != self._term or not self.is_active(now):
            self._peers = Peers(send=self._outbound.announce)
        self._term = announcement.term
        self._forwarded_at = now
        self._lost_after_s = announcement.lost_after_s
        self._sync(announcement, now)
        update = self._make_update(announcement, now)
        self._peers.announce(update, now, is_last=announcement.is_stopping)
        if not self._peers.has_all_outcomes():
            return None
        return self._peers.summarize(self._interval_s, now)

    def is_active(self, now: float) -> bool:
        """Return whether the leader currently uses this node as a relay."""
        return now - self._forwarded_at <= self._lost_after_s

    @property
    def _interval_s(self) -> float:
        return self._lost_after_s / MISSED_INTERVALS

    def record_answered(self, answered: PeerAnswered, now: float) -> None:
        """Record the answer to a forwarded announcement."""
        self._peers.record_answer(
            answered.incarnation,
            answered.acknowledgement,
            self._interval_s,
            now,
        )

    def _sync(self, announcement: Announcement, now: float) -> None:
        own = self._state.own
        skipped = {own.incarnation, announcement.leader.incarnation}
        self._peers.sync(
            [
                node
                for node in self._state.known_nodes.values()
                if node.data_centre == own.data_centre
                and node.incarnation not in skipped
            ],
            now,
        )

    def _make_update(self, announcement: Announcement, now: float) -> Update:
        state = self._state
        return Update(
            base=announcement._replace(
                lost_after_s=announcement.lost_after_s + RELAY_SWITCH_S,
                loads_lag=announcement.loads_lag + 1,
                evacuations=state.evacuations.list_states(now),
            ),
            view=state.view,
            nodes=state.nodes,
            nodes_version=state.nodes_version,
            interval_s=self._interval_s,
            busy_pause_s=0.0,
            idle_pause_s=find_min_interval(len(self._peers)),
            suspects=state.suspects.announced,
            suspects_version=state.suspects.version,
        )

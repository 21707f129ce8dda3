"""The exchange of digests between two nodes, as a state machine.

An exchange is a digest and the answer to it. Both contain only the state that
changes continuously: the newest heartbeats of a data centre and a short report
for each of some data centres. Members and configurations follow in a second
exchange with the same node, only if one of the two nodes lacks them.
"""

from typing import NamedTuple, TYPE_CHECKING

from chervilrock.decisions.membership.digests import add_wants, DigestWriter
from chervilrock.decisions.membership.fetchpolicy import (
    FetchPolicy,
    read_configuration,
)
from chervilrock.decisions.membership.immediate import ImmediateExchanges
from chervilrock.decisions.membership.links import Peer, PeerLinks
from chervilrock.decisions.membership.localconfiguration import (
    LocalConfiguration,
    ShareTracker,
)
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.generated.interfaces import (
    DataCentreReport,
    PeerDigest,
    RosterWant,
)

if TYPE_CHECKING:
    import random

MAX_FOLLOW_UPS = 6
JITTER = (0.75, 1.25)
"""Range of the time between two exchanges, in intervals."""


class Message(NamedTuple):
    """A digest for a peer.

    Attributes:
      address: IP:port of the peer
      digest: the digest to send
      follow_ups: number of directly preceding exchanges with the peer
    """

    address: str
    digest: PeerDigest
    follow_ups: int = 0


class PeerExchange:
    """Creates and applies the digests of one node."""

    def __init__(
        self,
        *,
        table: MemberTable,
        links: PeerLinks,
        localconfiguration: LocalConfiguration,
        shares: ShareTracker,
        generator: "random.Random",
    ) -> None:
        """Create the exchange of a node.

        Args:
          table: the known nodes; only this object changes it
          links: chooses peers
          localconfiguration: the configuration in force
          shares: counts the requests of bounded workspaces
          generator: the source of jitter for the times between exchanges
        """
        self._table = table
        self._links = links
        self._configuration = localconfiguration
        self._shares = shares
        self._generator = generator
        self._writer = DigestWriter(table=table, shares=shares)
        self._fetch_policy = FetchPolicy(localconfiguration=localconfiguration)
        self._immediate = ImmediateExchanges()
        self._begun_at: float | None = None

    def begin(self, now: float) -> tuple[Message, ...]:
        """Return the digests to send at the end of an interval."""
        self._begun_at = now
        self._table.beat(now)
        self._shares.observe_members(self._table.list_names(now), now)
        chosen = (self._links.choose(now), self._links.choose_trial(now))
        return tuple(
            self._make_message(peer, now) for peer in chosen if peer is not None
        )

    def begin_immediate(self, now: float) -> Message | None:
        """Return a digest to send immediately, None if no peer is known."""
        peer = self._links.choose(now)
        return None if peer is None else self._make_message(peer, now)

    def announce(self, now: float) -> tuple[Message, ...]:
        """Return digests that report this node's phase to all neighbours."""
        self._table.beat(now)
        return tuple(
            self._make_message(peer, now)
            for peer in self._links.list_neighbours(now)
        )

    def next_pause(self) -> float:
        """Return the time until the next `begin` in seconds."""
        jitter = self._generator.uniform(*JITTER)
        return self._table.timing.interval_s * jitter

    def is_immediate_due(self) -> bool:
        """Return whether an urgent update has to be sent immediately."""
        return self._immediate.is_due(
            revision=self._configuration.revision,
            departures=self._table.departures,
        )

    def answer(self, digest: PeerDigest, now: float) -> PeerDigest:
        """Apply the digest of a peer and return the answer to it."""
        wants = self._apply(digest, now)
        sender = digest["sender"]
        if sender.data_centre != self._table.own.data_centre:
            self._table.record_reached()
        reply = PeerDigest(sender=self._table.own)
        if not _is_follow_up(digest):
            known_clocks = {
                report.data_centre: report.clock
                for report in digest.get("data_centres", ())
            }
            reply = self._writer.write(sender.data_centre, known_clocks, now)
        expected = self._table.expect_heartbeat(sender, now)
        if expected:
            reply["expected_heartbeat"] = expected
        self._writer.add_rosters(reply, digest.get("wants", ()), now)
        add_wants(reply, wants)
        self._add_configuration(reply, digest, now)
        return reply

    def finish(
        self, sent: Message, answer: PeerDigest, now: float
    ) -> Message | None:
        """Apply an answer and return the follow-up exchange, if one is needed.

        It sends what the peer lacks and requests what this node lacks.

        Args:
          sent: the message that was sent
          answer: the answer to it
          now: present time
        """
        wants = self._apply(answer, now)
        sender = answer["sender"]
        if sender.incarnation == self._table.own.incarnation:
            self._links.record_own_address(sent.address)
            return None
        self._links.record_success(sent.address, sender.data_centre)
        reply = PeerDigest(sender=self._table.own)
        self._writer.add_rosters(reply, answer.get("wants", ()), now)
        add_wants(reply, wants)
        self._add_configuration(reply, answer, now)
        self._immediate.record_exchange(
            was_useful=bool(answer.get("wants"))
            or sender.revision < self._configuration.revision
        )
        if len(reply) == 1 or sent.follow_ups >= MAX_FOLLOW_UPS:
            return None
        return Message(sent.address, reply, sent.follow_ups + 1)

    def fail(self, sent: Message, now: float) -> None:
        """Record that a peer did not answer."""
        self._links.record_failure(sent.address, now)

    def _apply(self, digest: PeerDigest, now: float) -> list[RosterWant]:
        """Apply a digest and return the members to request from its sender."""
        sender = digest["sender"]
        if sender.incarnation == self._table.own.incarnation:
            return []
        if self._was_paused(now):
            return []
        self._table.record_exchange(sender, now)
        self._table.advance_heartbeat(digest.get("expected_heartbeat", 0), now)
        self._fetch_policy.record_revision(sender.revision, now)
        for roster in digest.get("rosters", ()):
            self._table.merge_roster(roster, now)
        is_local = sender.data_centre == self._table.own.data_centre
        if is_local:
            heartbeats = digest.get("heartbeats")
            if heartbeats is not None:
                self._table.merge_heartbeats(heartbeats, now)
        self._shares.observe_peer_uses(digest.get("shares", ()), now)
        stored = read_configuration(digest.get("configuration"))
        if stored is not None:
            self._configuration.adopt(stored, now)
        reports = digest.get("data_centres", ())
        return self._merge_reports(reports, now, is_local)

    def _was_paused(self, now: float) -> bool:
        """Return whether this node was paused recently.

        The digests that it reads then may have been queued during the pause,
        so that their updates are outdated.
        """
        if self._begun_at is None:
            return False
        return now - self._begun_at > self._table.timing.overdue_s

    def _merge_reports(
        self,
        reports: tuple[DataCentreReport, ...],
        now: float,
        is_local: bool,
    ) -> list[RosterWant]:
        wants = [
            self._table.merge_report(report, now, from_local=is_local)
            for report in reports
        ]
        return [want for want in wants if want is not None]

    def _make_message(self, peer: Peer, now: float) -> Message:
        digest = self._writer.write(peer.data_centre, {}, now)
        return Message(peer.address, digest)

    def _add_configuration(
        self, reply: PeerDigest, digest: PeerDigest, now: float
    ) -> None:
        """Add the configuration if it was requested, or request one."""
        peer_revision = digest["sender"].revision
        if (
            self._fetch_policy.is_due(peer_revision, now)
            and "configuration" not in digest
        ):
            reply["wants_configuration"] = True
        is_requested = digest.get("wants_configuration", False)
        current = self._configuration.current()
        if (
            is_requested
            and current is not None
            and peer_revision < self._configuration.revision
        ):
            reply["configuration"] = current


def _is_follow_up(digest: PeerDigest) -> bool:
    """Return whether a digest continues an exchange."""
    return bool(
        digest.get("rosters")
        or digest.get("wants")
        or digest.get("wants_configuration")
        or digest.get("configuration")
    )

"""The exchange of digests between two nodes, as a state machine.

An exchange is a digest and the answer to it. Both carry the little that
changes all the time: the newest heartbeats of a data centre and one line for
each of some data centres. Members and configurations follow, in a second
exchange with the same node, only when one of the two lacks them.
"""

from typing import NamedTuple, TYPE_CHECKING

from chervilrock.decisions.membership.digests import add_wants, DigestWriter
from chervilrock.decisions.membership.links import Peer, PeerLinks
from chervilrock.decisions.membership.promptness import Promptness
from chervilrock.decisions.membership.shelf import (
    ConfigurationShelf,
    ShareBook,
)
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.decisions.membership.wanting import (
    ConfigurationWant,
    read_configuration,
)
from chervilrock.generated.interfaces import (
    DataCentreReport,
    PeerDigest,
    RosterWant,
)

if TYPE_CHECKING:
    import random

MAX_FOLLOW_UPS = 6
JITTER = (0.75, 1.25)
"""Bounds of a pause, in intervals."""


class Message(NamedTuple):
    """A digest for a peer.

    Attributes:
      address: IP:port of the peer
      digest: what to send
      follow_ups: exchanges with the peer before this one, in a row
    """

    address: str
    digest: PeerDigest
    follow_ups: int = 0


class PeerExchange:
    """Makes and takes the digests of one node."""

    def __init__(
        self,
        *,
        table: MemberTable,
        links: PeerLinks,
        shelf: ConfigurationShelf,
        shares: ShareBook,
        generator: "random.Random",
    ) -> None:
        """Take the parts that digests tell of.

        Args:
          table: the known nodes; this object alone changes it
          links: chooses peers
          shelf: holds the configuration in force
          shares: counts the requests of bounded workspaces
          generator: varies the times between exchanges
        """
        self._table = table
        self._links = links
        self._shelf = shelf
        self._shares = shares
        self._generator = generator
        self._writer = DigestWriter(table=table, shares=shares)
        self._want = ConfigurationWant(shelf=shelf)
        self._promptness = Promptness()
        self._begun: float | None = None

    def begin(self, now: float) -> tuple[Message, ...]:
        """Return the digests to send at the end of an interval."""
        self._begun = now
        self._table.beat(now)
        self._shares.observe_members(self._table.list_names(now), now)
        chosen = (self._links.choose(now), self._links.choose_trial(now))
        return tuple(
            self._make_message(peer, now) for peer in chosen if peer is not None
        )

    def begin_prompt(self, now: float) -> Message | None:
        """Return a digest to send at once, when there is urgent news."""
        peer = self._links.choose(now)
        return None if peer is None else self._make_message(peer, now)

    def announce(self, now: float) -> tuple[Message, ...]:
        """Return digests that tell all neighbours of this node's phase."""
        self._table.beat(now)
        return tuple(
            self._make_message(peer, now)
            for peer in self._links.list_neighbours(now)
        )

    def next_pause(self) -> float:
        """Return the time until the next `begin` in seconds."""
        jitter = self._generator.uniform(*JITTER)
        return self._table.timing.interval_s * jitter

    def wants_prompt(self) -> bool:
        """Say whether there is urgent news to tell."""
        return self._promptness.is_due(
            revision=self._shelf.revision,
            departures=self._table.departures,
        )

    def answer(self, digest: PeerDigest, now: float) -> PeerDigest:
        """Take the digest of a peer and return the answer to it."""
        wants = self._take(digest, now)
        sender = digest["sender"]
        if sender.data_centre != self._table.own.data_centre:
            self._table.note_reached()
        reply = PeerDigest(sender=self._table.own)
        if not _is_follow_up(digest):
            told = {
                report.data_centre: report.clock
                for report in digest.get("data_centres", ())
            }
            reply = self._writer.write(sender.data_centre, told, now)
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
        """Take an answer; return what the peer lacks and this node wants.

        Args:
          sent: what was sent
          answer: the answer to it
          now: present time
        """
        wants = self._take(answer, now)
        sender = answer["sender"]
        if sender.incarnation == self._table.own.incarnation:
            self._links.note_self(sent.address)
            return None
        self._links.note_success(sent.address, sender.data_centre)
        reply = PeerDigest(sender=self._table.own)
        self._writer.add_rosters(reply, answer.get("wants", ()), now)
        add_wants(reply, wants)
        self._add_configuration(reply, answer, now)
        self._promptness.note_exchange(
            was_useful=bool(answer.get("wants"))
            or sender.revision < self._shelf.revision
        )
        if len(reply) == 1 or sent.follow_ups >= MAX_FOLLOW_UPS:
            return None
        return Message(sent.address, reply, sent.follow_ups + 1)

    def fail(self, sent: Message, now: float) -> None:
        """Note that a peer did not answer."""
        self._links.note_failure(sent.address, now)

    def _take(self, digest: PeerDigest, now: float) -> list[RosterWant]:
        """Take a digest; return the members to ask its sender for."""
        sender = digest["sender"]
        if sender.incarnation == self._table.own.incarnation:
            return []
        if self._was_paused(now):
            return []
        self._table.note_exchange(sender, now)
        self._table.advance_heartbeat(digest.get("expected_heartbeat", 0), now)
        self._want.note_revision(sender.revision, now)
        for roster in digest.get("rosters", ()):
            self._table.merge_roster(roster, now)
        is_near = sender.data_centre == self._table.own.data_centre
        if is_near:
            heartbeats = digest.get("heartbeats")
            if heartbeats is not None:
                self._table.merge_heartbeats(heartbeats, now)
        self._shares.observe_peer_uses(digest.get("shares", ()), now)
        stored = read_configuration(digest.get("configuration"))
        if stored is not None:
            self._shelf.adopt(stored, now)
        reports = digest.get("data_centres", ())
        return self._take_reports(reports, now, is_near)

    def _was_paused(self, now: float) -> bool:
        """Say whether this node did nothing lately.

        Then the digests that it reads now may have waited for it all the
        time, and what was news is none any more.
        """
        if self._begun is None:
            return False
        return now - self._begun > self._table.timing.overdue_s

    def _take_reports(
        self,
        reports: tuple[DataCentreReport, ...],
        now: float,
        is_near: bool,
    ) -> list[RosterWant]:
        wants = [
            self._table.merge_report(report, now, from_near=is_near)
            for report in reports
        ]
        return [want for want in wants if want is not None]

    def _make_message(self, peer: Peer, now: float) -> Message:
        digest = self._writer.write(peer.data_centre, {}, now)
        return Message(peer.address, digest)

    def _add_configuration(
        self, reply: PeerDigest, digest: PeerDigest, now: float
    ) -> None:
        """Add the configuration when asked for it, or ask for one."""
        theirs = digest["sender"].revision
        if self._want.is_due(theirs, now) and "configuration" not in digest:
            reply["wants_configuration"] = True
        asked = digest.get("wants_configuration", False)
        current = self._shelf.current()
        if asked and current is not None and theirs < self._shelf.revision:
            reply["configuration"] = current


def _is_follow_up(digest: PeerDigest) -> bool:
    """Say whether a digest goes on with an exchange."""
    return bool(
        digest.get("rosters")
        or digest.get("wants")
        or digest.get("wants_configuration")
        or digest.get("configuration")
    )

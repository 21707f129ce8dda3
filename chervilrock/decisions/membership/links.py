"""Choice of the peers with which a node begins exchanges.

Within a data centre each node may choose any other. For other data centres a
node keeps a few links: nodes that it has reached. It finds new links by
occasional trials, and drops a link that fails. This needs no setting for which
nodes are reachable from where, limits the cost of failed nodes, and lets the
sides of a partition find each other again.

Where only few nodes are reachable from other data centres, these would take
part in the exchanges of all others. A node then keeps fewer links, so that it
exchanges less with them. A node that was reached reports this in its entry.
"""

from typing import NamedTuple, TYPE_CHECKING

from chervilrock.decisions.membership.localmembers import LocalMember
from chervilrock.decisions.membership.table import MemberTable

if TYPE_CHECKING:
    import random

MAX_LINKS = 6
"""Maximum number of links to nodes of other data centres."""

MIN_LINKS = 2
"""Number of links that a node keeps when hardly any node is reachable."""

TRIAL_WEIGHT = 1.0 / 8.0
"""Weight of the last trial in the moving average of reachable nodes."""

REACHABLE_TRIAL_PROBABILITY = 0.5
"""Probability that a trial uses a node known to be reachable."""

TRIAL_PROBABILITY_NO_LINKS = 1.0
TRIAL_PROBABILITY_FEW_LINKS = 0.25
TRIAL_PROBABILITY_LOST = 1.0 / 16.0
TRIAL_PROBABILITY_ALL_LINKS = 1.0 / 64.0
"""Probabilities of a trial per interval, by the state of the links."""

MIN_LOCAL_SHARE = 0.5
"""Minimum share of exchanges within the own data centre."""

LOCAL_SAMPLE_SIZE = 3
"""Sample of nodes of the own data centre; the least recently seen is used."""

FIRST_PAUSE_S = 2.0
MAX_PAUSE_S = 15.0
"""Range of the time for which an address that failed is not tried again."""

MAX_FAILURES = 2048


class Peer(NamedTuple):
    """A node to exchange with.

    Attributes:
      address: IP:port
      data_centre: its data centre, empty if unknown
    """

    address: str
    data_centre: str


class _Candidate(NamedTuple):
    address: str
    reachable: bool


class _Failure(NamedTuple):
    until: float
    pause_s: float


class PeerLinks:
    """Chooses the nodes to exchange with and keeps the links."""

    def __init__(
        self,
        *,
        table: MemberTable,
        seeds: tuple[str, ...],
        generator: "random.Random",
        max_links: int = MAX_LINKS,
    ) -> None:
        """Create an empty set of links.

        Args:
          table: the known nodes
          seeds: addresses of nodes from the settings
          generator: the source of randomness
          max_links: maximum number of links to other data centres
        """
        self._table = table
        self._seeds = seeds
        self._controller = ""
        self._generator = generator
        self._max_links = max_links
        self._links: dict[str, str] = {}
        self._failures: dict[str, _Failure] = {}
        self._own_addresses: set[str] = set()
        self._trials: set[str] = set()
        self._reachable_share = 1.0

    @property
    def links(self) -> tuple[str, ...]:
        """Addresses of the links."""
        return tuple(self._links)

    def record_controller(self, address: str) -> None:
        """Use the address of the controller of the region as a seed.

        It comes from the log, so that nodes whose seeds no longer exist
        still find each other.

        Args:
          address: IP:port, empty if the log names no controller
        """
        self._controller = address

    def choose(self, now: float) -> Peer | None:
        """Return the node to exchange with, None if none is known."""
        local_members = [
            member
            for member in self._table.list_local_live(now)
            if not self._is_paused(member.entry.address, now)
        ]
        if not local_members and not self._links:
            return None
        overdue = self._list_overdue(local_members, now)
        if overdue:
            return _to_peer(min(overdue, key=lambda member: member.last_seen))
        share = max(
            MIN_LOCAL_SHARE,
            len(local_members) / (len(local_members) + len(self._links)),
        )
        if local_members and (
            not self._links or self._generator.random() < share
        ):
            return self._choose_local(local_members)
        return Peer(*self._generator.choice(list(self._links.items())))

    def choose_trial(self, now: float) -> Peer | None:
        """Return an additional node to try, None at most intervals."""
        disputed = self._table.pop_disputed()
        if disputed is not None and not self._is_paused(disputed.address, now):
            return Peer(disputed.address, disputed.data_centre)
        late = self._table.find_late(now)
        if late is not None:
            return self._choose_late(late, now)
        dead = self._choose_dead(now)
        if dead is not None:
            return dead
        if self._generator.random() >= self._trial_probability(now):
            return None
        data_centres = []
        for name, candidates in self._list_candidates(now).items():
            untried = self._keep_untried(candidates, now)
            if untried:
                data_centres.append((name, untried))
        if not data_centres:
            return None
        name, untried = self._generator.choice(data_centres)
        return self._record_choice(self._choose_untried(untried), name)

    def list_neighbours(self, now: float) -> list[Peer]:
        """Return all nodes that this node exchanges with."""
        local_members = [
            _to_peer(member) for member in self._table.list_local_live(now)
        ]
        return [*local_members, *(Peer(*link) for link in self._links.items())]

    def record_success(self, address: str, data_centre: str) -> None:
        """Record that the node at an address answered."""
        self._failures.pop(address, None)
        self._record_trial(address, 1.0)
        if data_centre == self._table.own.data_centre:
            return
        self._links[address] = data_centre
        while len(self._links) > self._wanted_links():
            del self._links[next(iter(self._links))]

    def record_failure(self, address: str, now: float) -> None:
        """Record that no node answered at an address."""
        self._links.pop(address, None)
        self._record_trial(address, 0.0)
        known = self._failures.pop(address, None)
        pause = FIRST_PAUSE_S if known is None else known.pause_s * 2.0
        pause = min(pause, MAX_PAUSE_S)
        self._failures[address] = _Failure(now + pause, pause)
        if len(self._failures) > MAX_FAILURES:
            del self._failures[next(iter(self._failures))]

    def record_own_address(self, address: str) -> None:
        """Record an address at which this node itself answers."""
        self._own_addresses.add(address)

    def _list_overdue(
        self, local_members: list[LocalMember], now: float
    ) -> list[LocalMember]:
        """Return nodes that would soon count as dead, to contact directly."""
        limit = self._table.timing.overdue_s
        return [
            member for member in local_members if now - member.last_seen > limit
        ]

    def _choose_local(self, local_members: list[LocalMember]) -> Peer:
        """Return the least recently seen node of a random sample."""
        drawn = self._generator.sample(
            local_members, min(LOCAL_SAMPLE_SIZE, len(local_members))
        )
        return _to_peer(min(drawn, key=lambda member: member.last_seen))

    def _record_trial(self, address: str, outcome: float) -> None:
        """Update the estimated share of reachable nodes elsewhere."""
        if address in self._trials:
            self._trials.discard(address)
            self._reachable_share += TRIAL_WEIGHT * (
                outcome - self._reachable_share
            )

    def _wanted_links(self) -> int:
        least = min(MIN_LINKS, self._max_links)
        share = max(self._reachable_share, self._table.share_reachable)
        wanted = round(self._max_links * share)
        return max(least, wanted)

    def _trial_probability(self, now: float) -> float:
        if not self._links:
            return TRIAL_PROBABILITY_NO_LINKS
        if len(self._links) < self._wanted_links():
            return TRIAL_PROBABILITY_FEW_LINKS
        if self._table.has_lost(now):
            return TRIAL_PROBABILITY_LOST
        return TRIAL_PROBABILITY_ALL_LINKS

    def _list_candidates(self, now: float) -> dict[str, list[_Candidate]]:
        """Return addresses to try by data centre, empty for unknown seeds."""
        found = {
            name: [_Candidate(peer.address, peer.reachable) for peer in peers]
            for name, peers in self._table.list_trial_candidates(now).items()
        }
        known = {
            candidate.address for group in found.values() for candidate in group
        }
        local_members = self._table.list_local_live(now)
        known.update(member.entry.address for member in local_members)
        found[""] = [
            _Candidate(seed, True)
            for seed in dict.fromkeys((*self._seeds, self._controller))
            if seed and seed not in known
        ]
        return found

    def _keep_untried(
        self, candidates: list[_Candidate], now: float
    ) -> list[_Candidate]:
        own = self._table.own.address
        return [
            candidate
            for candidate in candidates
            if candidate.address != own
            and candidate.address not in self._links
            and candidate.address not in self._own_addresses
            and not self._is_paused(candidate.address, now)
        ]

    def _choose_dead(self, now: float) -> Peer | None:
        """Return a dead node of the own data centre if no node there is live.

        It is more likely that this node was isolated than that all others
        died.
        """
        if self._table.list_local_live(now):
            return None
        dead = [
            member
            for member in self._table.list_dead(now)
            if not self._is_paused(member.entry.address, now)
        ]
        return _to_peer(self._generator.choice(dead)) if dead else None

    def _choose_late(self, name: str, now: float) -> Peer | None:
        """Return a node of a data centre whose reports are late."""
        linked = [
            address
            for address, data_centre in self._links.items()
            if data_centre == name
        ]
        if linked:
            return Peer(self._generator.choice(linked), name)
        candidates = self._list_candidates(now).get(name, [])
        untried = self._keep_untried(candidates, now)
        if not untried:
            return None
        return self._record_choice(self._choose_untried(untried), name)

    def _record_choice(self, chosen: _Candidate, name: str) -> Peer:
        if not chosen.reachable and name != self._table.own.data_centre:
            self._trials.add(chosen.address)
        return Peer(chosen.address, name)

    def _choose_untried(self, candidates: list[_Candidate]) -> _Candidate:
        reachable = [
            candidate for candidate in candidates if candidate.reachable
        ]
        if reachable and self._generator.random() < REACHABLE_TRIAL_PROBABILITY:
            return self._generator.choice(reachable)
        return self._generator.choice(candidates)

    def _is_paused(self, address: str, now: float) -> bool:
        failure = self._failures.get(address)
        return failure is not None and now < failure.until


def _to_peer(member: LocalMember) -> Peer:
    return Peer(member.entry.address, member.entry.data_centre)

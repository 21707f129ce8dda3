"""With whom a node begins exchanges.

Within a data centre each node may choose any other. To other data centres a
node keeps a few links: nodes that it has reached. New links are found by
trying a node now and then, and a link that fails is dropped. So no setting
has to say who can be reached from where, a failed part of the system costs
little, and the parts of a partition find each other again.

Where few nodes can be reached from other data centres, these would take part
in the exchanges of all others. There a node keeps fewer links, so that it
exchanges less with them. A node that was reached says so in its entry.
"""

from typing import NamedTuple, TYPE_CHECKING

from chervilrock.decisions.membership.near import NearMember
from chervilrock.decisions.membership.table import MemberTable

if TYPE_CHECKING:
    import random

MAX_LINKS = 6
"""Nodes of other data centres that a node keeps exchanging with."""

MIN_LINKS = 2
"""Links that a node keeps where hardly any node can be reached."""

TRIAL_MEMORY = 1.0 / 8.0
"""Weight of the last trial of an unknown node in the mean of all."""

TRY_REACHABLE = 0.5
"""Probability that a trial goes to a node that others have reached."""

TRY_WITHOUT_LINKS = 1.0
TRY_WITH_FEW_LINKS = 0.25
TRY_WITH_LOSS = 1.0 / 16.0
TRY_WITH_ALL_LINKS = 1.0 / 64.0
"""Probabilities that a node tries another node at an interval."""

LEAST_NEAR = 0.5
"""Least share of the exchanges within the own data centre."""

DRAWN = 3
"""Nodes of the own data centre of which the one silent longest is asked."""

FIRST_PAUSE_S = 2.0
LONGEST_PAUSE_S = 15.0
"""Time for which an address that failed is not tried again."""

MAX_FAILURES = 2048


class Peer(NamedTuple):
    """A node to exchange with.

    Attributes:
      address: IP:port
      data_centre: where it stands, empty when that is not known
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
    """Chooses the nodes to exchange with."""

    def __init__(
        self,
        *,
        table: MemberTable,
        seeds: tuple[str, ...],
        generator: "random.Random",
        max_links: int = MAX_LINKS,
    ) -> None:
        """Start without links.

        Args:
          table: the known nodes
          seeds: addresses of nodes from the settings
          generator: chooses
          max_links: nodes of other data centres to keep exchanging with
        """
        self._table = table
        self._seeds = seeds
        self._controller = ""
        self._generator = generator
        self._max_links = max_links
        self._links: dict[str, str] = {}
        self._failures: dict[str, _Failure] = {}
        self._selves: set[str] = set()
        self._trials: set[str] = set()
        self._openness = 1.0

    @property
    def links(self) -> tuple[str, ...]:
        """Addresses of the links."""
        return tuple(self._links)

    def note_controller(self, address: str) -> None:
        """Take the address of the controller of the region as a seed.

        The log tells it, so that nodes whose seeds are all gone find each
        other.

        Args:
          address: IP:port, empty when the log names no controller
        """
        self._controller = address

    def choose(self, now: float) -> Peer | None:
        """Return the node to exchange with, None when none is known."""
        near = [
            member
            for member in self._table.near_live(now)
            if not self._is_paused(member.entry.address, now)
        ]
        if not near and not self._links:
            return None
        overdue = self._list_overdue(near, now)
        if overdue:
            return _to_peer(min(overdue, key=lambda member: member.heard))
        share = max(LEAST_NEAR, len(near) / (len(near) + len(self._links)))
        if near and (not self._links or self._generator.random() < share):
            return self._choose_near(near)
        return Peer(*self._generator.choice(list(self._links.items())))

    def choose_trial(self, now: float) -> Peer | None:
        """Return a node to try besides, None at most intervals."""
        disputed = self._table.take_disputed()
        if disputed is not None and not self._is_paused(disputed.address, now):
            return Peer(disputed.address, disputed.data_centre)
        late = self._table.find_late(now)
        if late is not None:
            return self._choose_late(late, now)
        silent = self._choose_silent(now)
        if silent is not None:
            return silent
        if self._generator.random() >= self._trial_probability(now):
            return None
        places = []
        for name, candidates in self._list_distant(now).items():
            untried = self._keep_untried(candidates, now)
            if untried:
                places.append((name, untried))
        if not places:
            return None
        name, untried = self._generator.choice(places)
        return self._note_choice(self._choose_untried(untried), name)

    def list_neighbours(self, now: float) -> list[Peer]:
        """Return all nodes that this node exchanges with."""
        near = [_to_peer(member) for member in self._table.near_live(now)]
        return [*near, *(Peer(*link) for link in self._links.items())]

    def note_success(self, address: str, data_centre: str) -> None:
        """Note that the node at an address answered."""
        self._failures.pop(address, None)
        self._note_trial(address, 1.0)
        if data_centre == self._table.own.data_centre:
            return
        self._links[address] = data_centre
        while len(self._links) > self._wanted_links():
            del self._links[next(iter(self._links))]

    def note_failure(self, address: str, now: float) -> None:
        """Note that no node answered at an address."""
        self._links.pop(address, None)
        self._note_trial(address, 0.0)
        known = self._failures.pop(address, None)
        pause = FIRST_PAUSE_S if known is None else known.pause_s * 2.0
        pause = min(pause, LONGEST_PAUSE_S)
        self._failures[address] = _Failure(now + pause, pause)
        if len(self._failures) > MAX_FAILURES:
            del self._failures[next(iter(self._failures))]

    def note_self(self, address: str) -> None:
        """Note that this node itself answers at an address."""
        self._selves.add(address)

    def _list_overdue(
        self, near: list[NearMember], now: float
    ) -> list[NearMember]:
        """Return nodes that soon count as dead, to be asked themselves."""
        limit = self._table.timing.overdue_s
        return [member for member in near if now - member.heard > limit]

    def _choose_near(self, near: list[NearMember]) -> Peer:
        """Return the one heard of longest ago, of some drawn at random."""
        drawn = self._generator.sample(near, min(DRAWN, len(near)))
        return _to_peer(min(drawn, key=lambda member: member.heard))

    def _note_trial(self, address: str, outcome: float) -> None:
        """Learn how many nodes of other data centres can be reached."""
        if address in self._trials:
            self._trials.discard(address)
            self._openness += TRIAL_MEMORY * (outcome - self._openness)

    def _wanted_links(self) -> int:
        least = min(MIN_LINKS, self._max_links)
        share = max(self._openness, self._table.share_reachable)
        wanted = round(self._max_links * share)
        return max(least, wanted)

    def _trial_probability(self, now: float) -> float:
        if not self._links:
            return TRY_WITHOUT_LINKS
        if len(self._links) < self._wanted_links():
            return TRY_WITH_FEW_LINKS
        if self._table.has_lost(now):
            return TRY_WITH_LOSS
        return TRY_WITH_ALL_LINKS

    def _list_distant(self, now: float) -> dict[str, list[_Candidate]]:
        """Return addresses to try by place; unknown seeds have none."""
        found = {
            name: [_Candidate(peer.address, peer.reachable) for peer in peers]
            for name, peers in self._table.list_distant(now).items()
        }
        known = {one.address for place in found.values() for one in place}
        near = self._table.near_live(now)
        known.update(member.entry.address for member in near)
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
            one
            for one in candidates
            if one.address != own
            and one.address not in self._links
            and one.address not in self._selves
            and not self._is_paused(one.address, now)
        ]

    def _choose_silent(self, now: float) -> Peer | None:
        """Return a silent node of the own data centre when none lives.

        More likely than all others it is this node that was silent.
        """
        if self._table.near_live(now):
            return None
        silent = [
            member
            for member in self._table.list_silent(now)
            if not self._is_paused(member.entry.address, now)
        ]
        return _to_peer(self._generator.choice(silent)) if silent else None

    def _choose_late(self, name: str, now: float) -> Peer | None:
        """Return a node of a data centre of which no news comes."""
        linked = [one for one, place in self._links.items() if place == name]
        if linked:
            return Peer(self._generator.choice(linked), name)
        candidates = self._list_distant(now).get(name, [])
        untried = self._keep_untried(candidates, now)
        if not untried:
            return None
        return self._note_choice(self._choose_untried(untried), name)

    def _note_choice(self, chosen: _Candidate, name: str) -> Peer:
        if not chosen.reachable and name != self._table.own.data_centre:
            self._trials.add(chosen.address)
        return Peer(chosen.address, name)

    def _choose_untried(self, candidates: list[_Candidate]) -> _Candidate:
        reachable = [one for one in candidates if one.reachable]
        if reachable and self._generator.random() < TRY_REACHABLE:
            return self._generator.choice(reachable)
        return self._generator.choice(candidates)

    def _is_paused(self, address: str, now: float) -> bool:
        failure = self._failures.get(address)
        return failure is not None and now < failure.until


def _to_peer(member: NearMember) -> Peer:
    return Peer(member.entry.address, member.entry.data_centre)

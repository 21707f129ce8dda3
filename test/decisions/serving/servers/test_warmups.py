"""Servers that warm up: which are cold, and what all nodes send to them."""

from collections import Counter
import heapq
import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from bench.limits import count_most_within
from chervilrock.decisions.serving.messages import (
    NO_STATEMENT,
    ServerStatement,
    StatedLimit,
)
from chervilrock.decisions.serving.servers.limitregistry import (
    LimitRegistry,
    REPLACE_DELAY_S,
)
from chervilrock.decisions.serving.servers.serverlimits import (
    LimitedServer,
    SendPermit,
)
from chervilrock.decisions.serving.servers.serverstatements import (
    ServerStatements,
)
from chervilrock.decisions.serving.servers.warmups import (
    ColdServer,
    count_senders,
    DELAY_SPREAD_S,
    find_total_rate,
    find_usable,
    SETS,
    WarmupBounds,
    Warmups,
)
from chervilrock.decisions.serving.site import (
    BackendServer,
    Limits,
    Service,
    SiteConfiguration,
)

SERVER = "s"
SERVICE = "desk"
ALLOWED = WarmupBounds().find_allowed(26)
COLD = {SERVER: ColdServer(ALLOWED)}
STEP_S = 0.01
UNIX_S = 1_700_000_000.0
ENTRY = BackendServer(
    server=SERVER,
    service=SERVICE,
    address="10.0.0.1:1",
    data_centre="a",
    domain="",
    is_leaving=False,
    slots=6,
    staged=(),
    membership=None,
    started_ms=1_700_000_000_000,
    writes=1,
)


@given(allowed=st.floats(0.0, 1e6))
def test_two_sets_of_senders_stay_in_the_bound(allowed: float) -> None:
    # Failure: the rate is right for the usual settings only.
    senders = count_senders(allowed)
    rate = find_total_rate(allowed, senders)
    sent = SETS * (senders + rate * (1 + DELAY_SPREAD_S))
    if senders:
        assert_that(sent, LessThan(allowed - 1 + 1e-6))
    else:
        assert_that(rate, Equals(0.0))
        assert_that(allowed, LessThan(3.0))


class Fleet:
    """Nodes at each of which requests wait for one server.

    Attributes:
      arrivals: when the server got requests.
    """

    def __init__(self, *, nodes: int, seed: int) -> None:
        self.names = [f"n{number}" for number in range(nodes)]
        self.arrivals: list[float] = []
        self.announced: tuple[LimitedServer, ...] = ()
        self.registry = LimitRegistry(known=())
        self._generator = random.Random(seed)
        self._nodes = {name: ServerStatements(own=name) for name in self.names}
        self._connecting: list[
            tuple[float, int, ServerStatements, SendPermit | None]
        ] = []
        self._numbers = itertools.count()

    def announce(
        self, names: list[str], now: float, reached: list[str] | None = None
    ) -> None:
        """Choose senders from some nodes, and announce them to some."""
        self.announced = self.registry.list_servers([SERVER], names, now, COLD)
        for name in names if reached is None else reached:
            self._nodes[name].apply_view(self.announced, [SERVER], now)

    def restart(self, names: list[str], now: float) -> None:
        """Restart nodes, which get the last announcement."""
        for name in names:
            self._nodes[name] = ServerStatements(own=name)
            self._nodes[name].apply_view(self.announced, [SERVER], now)

    def choose(self, now: float) -> None:
        """Choose the server for all requests that may be sent to it."""
        for node in self._nodes.values():
            for _ in range(3):
                if not node.may_send(SERVER, now):
                    break
                begin = now + self._generator.choice((0.0, 0.1, 0.3))
                permit = node.consume(SERVER, now)
                heapq.heappush(
                    self._connecting,
                    (begin, next(self._numbers), node, permit),
                )

    def run(self, begin: float, end: float) -> None:
        """Send whatever may be sent."""
        for step in range(round((end - begin) / STEP_S)):
            now = begin + step * STEP_S
            self.choose(now)
            while self._connecting and self._connecting[0][0] <= now:
                _, _, node, permit = heapq.heappop(self._connecting)
                # A request that a restarted process had chosen is lost.
                is_alive = any(node is other for other in self._nodes.values())
                if is_alive and node.begin_send(SERVER, permit, now):
                    delay_s = self._generator.uniform(0, DELAY_SPREAD_S)
                    self.arrivals.append(now + delay_s)
                if permit is not None:
                    permit.release()

    def count_most(self) -> int:
        """Return the most arrivals within any second."""
        return count_most_within(1.0, sorted(self.arrivals))


@pytest.mark.parametrize("nodes", [6, 86, 400])
@pytest.mark.parametrize("seed", [1, 2])
def test_cut_off_and_restarted_senders_stay_in_the_bound(nodes, seed) -> None:
    # Failure: the senders of an old and of a new announcement, or of processes
    # before and after a restart, together send more than the bound.
    fleet = Fleet(nodes=nodes, seed=seed)
    fleet.announce(fleet.names, 0.0)
    former = set(fleet.announced[0].senders)
    fleet.run(0.0, 3.0)
    in_touch = [name for name in fleet.names if name not in former]
    in_touch = in_touch[: nodes // 2]
    fleet.announce(in_touch, 3.0)
    fleet.announce(in_touch, 3.0 + REPLACE_DELAY_S)
    assert_that(former & set(fleet.announced[0].senders), HasLength(0))
    for second in range(5, 9):
        fleet.run(second, second + 0.6)
        fleet.restart(in_touch[second % 2 :: 2], second + 0.6)
        fleet.run(second + 0.6, second + 1)
    assert_that(float(fleet.count_most()), LessThan(ALLOWED + 1e-6))
    rate = find_total_rate(ALLOWED, min(4, len(former)))
    used = sum(5.0 <= time < 9.0 for time in fleet.arrivals)
    assert_that(float(used), GreaterThan(4 * rate))


@pytest.mark.parametrize("nodes", [6, 86, 400])
def test_requests_chosen_before_the_server_turned_cold_are_held(nodes) -> None:
    # Failure: a server turns cold while all nodes connect to it, and gets
    # what was chosen before.
    fleet = Fleet(nodes=nodes, seed=1)
    fleet.choose(0.0)
    fleet.announce(fleet.names, 0.0)
    fleet.run(0.0, 4.0)
    most_of_one_set = count_senders(ALLOWED) + find_total_rate(
        ALLOWED, count_senders(ALLOWED)
    ) * (1 + DELAY_SPREAD_S)
    assert_that(float(fleet.count_most()), LessThan(most_of_one_set + 1e-6))
    assert_that(len(fleet.arrivals), GreaterThan(20))


def make_statements() -> ServerStatements:
    """Return what the only sender to a cold server knows."""
    statements = ServerStatements(own="n")
    listed = LimitRegistry(known=()).list_servers([SERVER], ["n"], 0.0, COLD)
    statements.apply_view(listed, [SERVER], 0.0)
    return statements


def answer(rate: float | None) -> ServerStatement:
    """Return the statement of a server of its limit."""
    return NO_STATEMENT._replace(limit=StatedLimit(rate))


def test_an_answer_without_a_limit_does_not_end_a_warm_up() -> None:
    # Failure: the first answer of a cold server ends its warm-up at a node.
    statements = make_statements()
    statements.record(SERVER, answer(None), ["n"], 0.0)
    assert_that(statements.may_send(SERVER, 0.0), Is(False))
    assert_that(len(statements.limits.list_unannounced()), Equals(0))


def test_the_smaller_one_of_a_limit_and_a_warm_up_holds() -> None:
    statements = make_statements()
    warmup_wait_s = statements.find_wait(SERVER, 0.0)
    statements.record(SERVER, answer(1000.0), ["n"], 0.0)
    assert_that(statements.find_wait(SERVER, 0.0), Equals(warmup_wait_s))
    statements.record(SERVER, answer(0.5), ["n"], 0.0)
    assert_that(statements.find_wait(SERVER, 0.0), Equals(2.0))


def test_a_sender_saves_up_one_request_only() -> None:
    # Failure: a sender that was idle sends a burst, as to a warm server.
    cold = {SERVER: ColdServer(WarmupBounds().find_allowed(1000))}
    listed = LimitRegistry(known=()).list_servers([SERVER], ["n"], 0.0, cold)
    statements = ServerStatements(own="n")
    statements.apply_view(listed, [SERVER], 0.0)
    assert_that(statements.may_send(SERVER, 9.0), Is(True))
    assert_that(statements.consume(SERVER, 9.0) is None, Is(False))
    assert_that(statements.may_send(SERVER, 9.0), Is(False))


def test_a_limit_outlives_the_warm_up_and_a_change_of_the_leader() -> None:
    # Failure: a new leader takes the rate of a warm-up for a stated limit.
    registry = LimitRegistry(known=())
    registry.record(SERVER, 1.0)
    cold = registry.list_servers([SERVER], ["n"], 0.0, COLD)
    successor = LimitRegistry(known=cold)
    assert_that(successor.find_rates() == {SERVER: 1.0}, Is(True))
    warm = successor.list_servers([SERVER], ["n"], 0.0)
    assert_that(warm == (LimitedServer(SERVER, 1.0, ("n",)),), Is(True))
    statements = make_statements()
    statements.apply_view(cold, [SERVER], 1.0)
    statements.apply_view(warm, [SERVER], 2.0)
    assert_that(statements.limits.find_rate(SERVER) == 1.0, Is(True))
    statements.apply_view((), [SERVER], 3.0)
    assert_that(bool(statements), Is(False))


def test_senders_stay_while_a_new_leader_knows_few_nodes() -> None:
    # Failure: each change of the list of nodes adds another set of senders.
    names = [f"n{number}" for number in range(86)]
    known = LimitRegistry(known=()).list_servers([SERVER], names, 0.0, COLD)
    registry = LimitRegistry(known=known)
    for now in (0.0, 0.5, REPLACE_DELAY_S - 0.1):
        listed = registry.list_servers([SERVER], ["n85"], now, COLD)
        assert_that(listed[0].senders == known[0].senders, Is(True))
    listed = registry.list_servers([SERVER], ["n85"], 2.0, COLD)
    assert_that(listed[0].senders == ("n85",), Is(True))


@pytest.mark.parametrize("nodes", [6, 86])
def test_each_node_sends_to_some_server_when_all_of_them_are_cold(
    nodes,
) -> None:
    # Failure: a third of the nodes may send to no server at all.
    names = [f"n{number}" for number in range(nodes)]
    cold = {f"s{number}": ColdServer(ALLOWED) for number in range(23)}
    listed = LimitRegistry(known=()).list_servers(list(cold), names, 0.0, cold)
    counts = Counter(name for entry in listed for name in entry.senders)
    assert_that(counts, HasLength(nodes))
    assert_that(max(counts.values()) - min(counts.values()), LessThan(2))


def make_warmups(
    *, per_s: float = 26.0, warm: frozenset[str] = frozenset()
) -> Warmups:
    """Return the registry of a new leader."""
    warmups = Warmups(bounds=WarmupBounds(), warm=warm)
    service = Service(SERVICE, None, warmup_s=15.0, warmup_rate=per_s)
    warmups.set_configuration(
        SiteConfiguration(1, (), {SERVICE: service}, None, Limits(1.0))
    )
    return warmups


def record(
    warmups: Warmups,
    entry: BackendServer,
    now: float,
    *,
    has_traffic: bool = True,
    is_first_read: bool = False,
    unix_time_s: float = UNIX_S,
) -> bool:
    return warmups.record_entry(
        entry,
        now,
        has_traffic=has_traffic,
        is_first_read=is_first_read,
        unix_time_s=unix_time_s,
    )


def join_cold(warmups: Warmups, now: float) -> str:
    """Return the names of the cold servers."""
    return " ".join(sorted(warmups.list_cold(now)))


def test_a_stated_warm_up_counts_from_its_arrival() -> None:
    warmups = make_warmups()
    record(warmups, ENTRY._replace(warmup_left_s=3.0), 10.0, has_traffic=False)
    assert_that(join_cold(warmups, 12.9), Equals(SERVER))
    assert_that(join_cold(warmups, 13.0), Equals(""))


def test_an_entry_that_is_read_again_does_not_prolong_a_warm_up() -> None:
    warmups = make_warmups()
    record(warmups, ENTRY._replace(warmup_left_s=3.0), 0.0)
    record(warmups, ENTRY._replace(warmup_left_s=3.0), 2.0)
    record(warmups, ENTRY._replace(writes=0, warmup_left_s=9.0), 2.0)
    assert_that(join_cold(warmups, 3.0), Equals(""))


def test_a_server_may_turn_cold_again_and_start_again() -> None:
    warmups = make_warmups()
    record(warmups, ENTRY._replace(warmup_left_s=0.0), 0.0)
    assert_that(join_cold(warmups, 0.0), Equals(""))
    record(warmups, ENTRY._replace(writes=2, warmup_left_s=5.0), 1.0)
    assert_that(join_cold(warmups, 5.9), Equals(SERVER))
    assert_that(join_cold(warmups, 6.0), Equals(""))
    later = ENTRY._replace(started_ms=ENTRY.started_ms + 1, writes=0)
    warmups.record_report(SERVER, later.started_ms, 7.0, has_traffic=True)
    assert_that(join_cold(warmups, 7.0), Equals(SERVER))
    record(warmups, ENTRY._replace(writes=9, warmup_left_s=0.0), 7.1)
    assert_that(join_cold(warmups, 7.1), Equals(SERVER))
    record(warmups, later._replace(warmup_left_s=0.0), 7.2)
    assert_that(join_cold(warmups, 7.2), Equals(""))


def test_without_a_statement_a_server_that_appears_in_traffic_is_cold() -> None:
    warmups = make_warmups()
    record(warmups, ENTRY, 0.0, has_traffic=False)
    record(warmups, ENTRY._replace(writes=2), 1.0)
    assert_that(join_cold(warmups, 1.0), Equals(""))
    record(warmups, ENTRY._replace(server="late"), 2.0)
    assert_that(join_cold(warmups, 16.9), Equals("late"))
    assert_that(join_cold(warmups, 17.0), Equals(""))
    again = ENTRY._replace(started_ms=ENTRY.started_ms + 1)
    record(warmups, again, 20.0)
    assert_that(join_cold(warmups, 34.9), Equals(SERVER))


def test_a_new_leader_takes_the_endpoints_of_the_last_one_as_warm() -> None:
    warmups = make_warmups(warm=frozenset({SERVER}))
    record(warmups, ENTRY, 0.0, is_first_read=True)
    for name, age_s in (("young", 5.0), ("old", 15.0), ("ahead", -3600.0)):
        entry = ENTRY._replace(
            server=name, started_ms=round((UNIX_S - age_s) * 1000)
        )
        record(warmups, entry, 0.0, is_first_read=True)
    assert_that(join_cold(warmups, 0.0), Equals("ahead young"))
    assert_that(join_cold(warmups, 10.0), Equals("ahead"))


def test_a_malformed_statement_is_told_once_and_changes_nothing() -> None:
    warmups = make_warmups()
    record(warmups, ENTRY._replace(warmup_left_s=5.0), 0.0)
    faulty = ENTRY._replace(writes=2, warmup_unreadable="-1")
    assert_that(record(warmups, faulty, 1.0), Is(True))
    assert_that(record(warmups, faulty._replace(writes=3), 2.0), Is(False))
    assert_that(join_cold(warmups, 4.9), Equals(SERVER))
    assert_that(join_cold(warmups, 5.0), Equals(""))


def test_a_service_without_a_warm_up_has_no_cold_servers() -> None:
    warmups = make_warmups(per_s=0.0)
    record(warmups, ENTRY._replace(warmup_left_s=5.0), 0.0)
    record(warmups, ENTRY._replace(server="late"), 1.0)
    assert_that(join_cold(warmups, 1.0), Equals(""))


def test_usable_slots_of_a_cold_head_follow_its_rate() -> None:
    assert_that(find_usable(ColdServer(ALLOWED, 10)), Equals(0.7))
    assert_that(find_usable(ColdServer(ALLOWED, 2)), Equals(1.0))
    assert_that(find_usable(ColdServer(2.0, 10)), Equals(0.0))

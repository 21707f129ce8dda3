"""Which hosts put a second model on themselves."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.orders import OrderReply, Stage
from chervilrock.decisions.serving.staging import (
    choose_second,
    HostWeights,
    RETRY_S,
    STAGE_MARGIN,
    StagingBook,
)
from test.decisions.serving.fleet import ENGINE, Fleet

NO_RATES: dict[str, float] = {}
LOAD_S = 16.0


def make_host(loaded: str, *staged: str) -> HostWeights:
    """Return a host."""
    return HostWeights("h", loaded, staged)


def test_a_host_stages_the_model_that_it_has_not_in_memory() -> None:
    chosen = choose_second(make_host("small", "small"), ENGINE, NO_RATES)
    assert_that(chosen, Equals("large"))
    chosen = choose_second(make_host("large", "large"), ENGINE, NO_RATES)
    assert_that(chosen, Equals("small"))


def test_a_host_that_holds_both_stages_nothing() -> None:
    chosen = choose_second(make_host("small", "large"), ENGINE, NO_RATES)
    assert_that(chosen, Equals(""))


def test_the_model_that_lacks_most_is_staged_first() -> None:
    engine = ENGINE._replace(
        models={
            **ENGINE.models,
            "other": ENGINE.models["small"]._replace(name="other"),
        }
    )
    rates = {"large": 1.2, "other": 0.4}
    chosen = choose_second(make_host("small", "small"), engine, rates)
    assert_that(chosen, Equals("other"))
    # A host keeps one beside that in memory; more would push each other out.
    chosen = choose_second(make_host("small", "large"), engine, rates)
    assert_that(chosen, Equals(""))
    two = engine._replace(staged_models=2)
    chosen = choose_second(make_host("small", "large"), two, rates)
    assert_that(chosen, Equals("other"))


def test_an_order_is_not_given_again_while_it_may_be_under_way() -> None:
    book = StagingBook()
    hosts = [make_host("small", "small")]
    assert_that(book.choose(hosts, ENGINE, NO_RATES, 0.0), HasLength(1))
    book.note_ordered("h", "large", LOAD_S, 0.0)
    book.note_reply("h", Stage("large"), None, 0.5)
    end = STAGE_MARGIN * LOAD_S + RETRY_S
    assert_that(book.count(1.0), Equals(1))
    assert_that(book.choose(hosts, ENGINE, NO_RATES, end - 0.1), HasLength(0))
    assert_that(book.choose(hosts, ENGINE, NO_RATES, end), HasLength(1))
    assert_that(book.count(end), Equals(0))


def test_a_refused_order_counts_as_no_load_and_is_given_again() -> None:
    book = StagingBook()
    hosts = [make_host("small", "small")]
    book.note_ordered("h", "large", LOAD_S, 0.0)
    book.note_reply("h", Stage("large"), OrderReply.CONFLICT, 0.1)
    assert_that(book.count(0.2), Equals(0))
    assert_that(book.choose(hosts, ENGINE, NO_RATES, 1.0), HasLength(0))
    assert_that(book.choose(hosts, ENGINE, NO_RATES, 2.2), HasLength(1))


def test_a_server_that_started_again_is_told_anew() -> None:
    book = StagingBook()
    hosts = [make_host("small", "small")]
    book.note_ordered("h", "large", LOAD_S, 0.0)
    book.forget("h")
    assert_that(book.choose(hosts, ENGINE, NO_RATES, 1.0), HasLength(1))


def test_all_hosts_hold_both_models_before_the_first_request() -> None:
    fleet = Fleet(domains=3, hosts=8, seed=1)
    fleet.run(8.0)
    held = [
        {server.last_model, *server.staged} for server in fleet.servers.values()
    ]
    assert_that(held, Equals([{"large", "small"}] * 24))


def test_loads_beside_traffic_keep_to_the_weight_store() -> None:
    fleet = Fleet(domains=3, hosts=8, seed=1)
    fleet.run(1.4)
    fleet.start_traffic()
    fleet.run(6.0)
    staged = [
        server
        for server in fleet.servers.values()
        if server.obeyed and server.staged == (server.last_model,)
    ]
    # 24 hosts want a second model; six loads run at once.
    assert_that(len(staged), Equals(24))
    fleet.run(14.0)
    both = [
        server
        for server in fleet.servers.values()
        if server.staged != (server.last_model,)
    ]
    assert_that(len(both) <= 2 * ENGINE.loads_at_once, Equals(True))
    assert_that(len(both) > 0, Equals(True))

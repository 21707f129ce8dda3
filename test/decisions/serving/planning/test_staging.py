"""Choice of hosts that stage a second model."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.groups.orders import OrderReply, Stage
from chervilrock.decisions.serving.planning.staging import (
    choose_model_to_stage,
    HostWeights,
    LOAD_TIME_MARGIN,
    RETRY_S,
    StagingTracker,
)
from test.decisions.serving.fleet import ENGINE, Fleet

NO_SORT_KEYS: dict[str, float] = {}
LOAD_S = 16.0


def make_host(loaded: str, *staged: str) -> HostWeights:
    """Return a host with a model in memory and others staged."""
    return HostWeights("h", loaded, staged)


def test_a_host_stages_a_model_that_is_not_in_its_memory() -> None:
    chosen = choose_model_to_stage(
        make_host("small", "small"), ENGINE, NO_SORT_KEYS
    )
    assert_that(chosen, Equals("large"))
    chosen = choose_model_to_stage(
        make_host("large", "large"), ENGINE, NO_SORT_KEYS
    )
    assert_that(chosen, Equals("small"))


def test_a_host_that_holds_both_stages_nothing() -> None:
    chosen = choose_model_to_stage(
        make_host("small", "large"), ENGINE, NO_SORT_KEYS
    )
    assert_that(chosen, Equals(""))


def test_the_model_with_the_greatest_shortage_is_staged_first() -> None:
    engine = ENGINE._replace(
        models={
            **ENGINE.models,
            "other": ENGINE.models["small"]._replace(name="other"),
        }
    )
    sort_keys = {"large": 1.2, "other": 0.4}
    chosen = choose_model_to_stage(
        make_host("small", "small"), engine, sort_keys
    )
    assert_that(chosen, Equals("other"))
    # A host keeps one model besides the one in memory; more would evict each
    # other.
    chosen = choose_model_to_stage(
        make_host("small", "large"), engine, sort_keys
    )
    assert_that(chosen, Equals(""))
    two = engine._replace(staged_models=2)
    chosen = choose_model_to_stage(make_host("small", "large"), two, sort_keys)
    assert_that(chosen, Equals("other"))


def test_an_order_is_not_sent_again_while_its_load_may_be_in_progress() -> None:
    tracker = StagingTracker()
    hosts = [make_host("small", "small")]
    assert_that(tracker.choose(hosts, ENGINE, NO_SORT_KEYS, 0.0), HasLength(1))
    tracker.record_ordered("h", "large", LOAD_S, 0.0)
    tracker.record_reply("h", Stage("large"), None, 0.5)
    end = LOAD_TIME_MARGIN * LOAD_S + RETRY_S
    assert_that(tracker.count(1.0), Equals(1))
    assert_that(
        tracker.choose(hosts, ENGINE, NO_SORT_KEYS, end - 0.1), HasLength(0)
    )
    assert_that(tracker.choose(hosts, ENGINE, NO_SORT_KEYS, end), HasLength(1))
    assert_that(tracker.count(end), Equals(0))


def test_a_rejected_order_counts_as_no_load_and_is_sent_again() -> None:
    tracker = StagingTracker()
    hosts = [make_host("small", "small")]
    tracker.record_ordered("h", "large", LOAD_S, 0.0)
    tracker.record_reply("h", Stage("large"), OrderReply.CONFLICT, 0.1)
    assert_that(tracker.count(0.2), Equals(0))
    assert_that(tracker.choose(hosts, ENGINE, NO_SORT_KEYS, 1.0), HasLength(0))
    assert_that(tracker.choose(hosts, ENGINE, NO_SORT_KEYS, 2.2), HasLength(1))


def test_a_restarted_server_gets_its_order_again() -> None:
    tracker = StagingTracker()
    hosts = [make_host("small", "small")]
    tracker.record_ordered("h", "large", LOAD_S, 0.0)
    tracker.forget("h")
    assert_that(tracker.choose(hosts, ENGINE, NO_SORT_KEYS, 1.0), HasLength(1))


def test_all_hosts_hold_both_models_before_the_first_request() -> None:
    fleet = Fleet(domains=3, hosts=8, seed=1)
    fleet.run(8.0)
    models = [
        {server.last_model, *server.staged} for server in fleet.servers.values()
    ]
    assert_that(models, Equals([{"large", "small"}] * 24))


def test_loads_during_traffic_respect_the_limits_of_the_weight_store() -> None:
    fleet = Fleet(domains=3, hosts=8, seed=1)
    fleet.run(1.4)
    fleet.start_traffic()
    fleet.run(6.0)
    staged = [
        server
        for server in fleet.servers.values()
        if server.obeyed and server.staged == (server.last_model,)
    ]
    # 24 hosts need a second model; six loads run at once.
    assert_that(len(staged), Equals(24))
    fleet.run(14.0)
    both = [
        server
        for server in fleet.servers.values()
        if server.staged != (server.last_model,)
    ]
    assert_that(len(both) <= 2 * ENGINE.loads_at_once, Equals(True))
    assert_that(len(both) > 0, Equals(True))

"""Guarantees of every routing policy, and behaviour of prefix affinity."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from chervilrock.decisions.routing import affinity, base, baselines

POLICIES = {
    "round robin": lambda rng: baselines.RoundRobin(),
    "random": lambda rng: baselines.RandomChoice(rng=rng),
    "two choices": lambda rng: baselines.TwoChoices(rng=rng),
    "least in flight": lambda rng: baselines.LeastInFlight(rng=rng),
    "prefix affinity": lambda rng: affinity.PrefixAffinity(
        rng=rng, data_centre="dc0"
    ),
}


def make_endpoint(number, *, model="m", adapters=(), fence=1):
    return base.Endpoint(
        group=f"g{number}",
        fence=fence,
        model=model,
        version="1",
        adapters=adapters,
        address=f"10.0.0.{number}:1",
        data_centre=f"dc{number % 2}",
        size=2,
    )


def make_view(request_id="r", **fields):
    values = {
        "request_id": request_id,
        "workspace": "w",
        "model": "m",
        "adapter": "",
        "prefix_blocks": (1, 2, 3, 4),
        "prompt_tokens": 300,
        "max_tokens": 100,
        "priority": 5,
        "idempotent": True,
        "deadline": 1e9,
    }
    return base.RequestView(**(values | fields))


@pytest.fixture
def policy():
    return affinity.PrefixAffinity(rng=random.Random(1), data_centre="dc0")


def serve(policy, request, endpoint, now, *, waited_s=0.05, per_token=0.02):
    """Record an attempt that a group answers with ten tokens."""
    policy.on_sent(request, endpoint, now)
    policy.on_first_token(request, endpoint, now + waited_s, waited_s)
    end = now + waited_s + 9 * per_token
    policy.on_done(request, endpoint, end, True, 10)


endpoint_lists = st.lists(
    st.builds(
        make_endpoint,
        st.integers(0, 30),
        model=st.sampled_from(["m", "n"]),
        adapters=st.sampled_from([(), ("a",)]),
        fence=st.integers(1, 3),
    ),
    unique_by=lambda endpoint: endpoint.group,
    max_size=20,
)
event_lists = st.lists(
    st.tuples(
        st.sampled_from(["sent", "first", "failed", "done", "load", "cache"]),
        st.integers(0, 30),
        st.integers(0, 5),
        st.floats(0.0, 2.0),
    ),
    max_size=40,
)


def apply_events(policy, drawn_events):
    now = 0.0
    for kind, group, number, seconds in drawn_events:
        now += seconds
        endpoint = make_endpoint(group)
        request = make_view(str(number))
        if kind == "sent":
            policy.on_sent(request, endpoint, now)
        elif kind == "first":
            policy.on_first_token(request, endpoint, now, seconds)
        elif kind in ("failed", "done"):
            policy.on_done(request, endpoint, now, kind == "done", number)
        elif kind == "load":
            load = {
                "running": number,
                "waiting": number,
                "cache_used": 0.5,
                "tokens_per_s": 1.0,
                "age_ms": int(seconds * 1000),
            }
            policy.on_load_report(endpoint.group, load, now)
        else:
            event = {"sequence": 1, "block": "2", "stored": number > 2}
            policy.on_cache_event(endpoint.group, event, now)
    return now


@pytest.mark.parametrize("name", POLICIES)
@given(
    endpoints=endpoint_lists,
    drawn_events=event_lists,
    excluded=st.frozensets(st.integers(0, 30).map("g{}".format)),
    adapter=st.sampled_from(["", "a"]),
)
def test_choice_is_listed_serves_the_request_and_is_not_excluded(
    name, endpoints, drawn_events, excluded, adapter
):
    policy = POLICIES[name](random.Random(1))
    now = apply_events(policy, drawn_events)
    request = make_view(adapter=adapter)
    allowed = base.filter_endpoints(request, endpoints, excluded)
    chosen = policy.choose(request, endpoints, now, exclude=excluded)
    if allowed:
        assert_that(chosen in allowed, Equals(True))
    else:
        assert_that(chosen is None, Equals(True))


@given(st.text(max_size=40_000), st.text(max_size=600))
def test_prefix_hashes_are_shared_by_equal_prefixes_only(text, more):
    blocks = base.hash_prefix_blocks(text)
    longer = base.hash_prefix_blocks(text + more)
    assert_that(longer[: len(blocks)], Equals(blocks))
    assert_that(len(blocks), LessThan(base.MAX_BLOCKS + 1))
    other = base.hash_prefix_blocks("\x00" + text)
    if text[:255] != "\x00" * 255:
        assert_that(len(set(other) & set(blocks)), Equals(0))


@given(st.integers(0, 2**64 - 1))
def test_block_hash_is_unchanged_by_formatting_and_parsing(block):
    assert_that(base.parse_block(base.format_block(block)), Equals(block))


def test_malformed_cache_event_is_ignored(policy):
    event = {"sequence": 1, "block": "not a hash", "stored": True}
    policy.on_cache_event("g0", event, 0.0)


def test_next_turn_of_a_conversation_goes_to_the_same_group(policy):
    endpoints = [make_endpoint(i) for i in range(10)]
    first = make_view("1", prefix_blocks=tuple(range(20)), prompt_tokens=1280)
    chosen = policy.choose(first, endpoints, 0.0)
    serve(policy, first, chosen, 0.0)
    second = make_view("2", prefix_blocks=tuple(range(25)), prompt_tokens=1600)
    next_chosen = policy.choose(second, endpoints, 5.0)
    assert_that(next_chosen, Equals(chosen))


def test_popular_prefix_spreads_over_groups_under_load(policy):
    endpoints = [make_endpoint(i) for i in range(10)]
    counts = dict.fromkeys([endpoint.group for endpoint in endpoints], 0)
    for number in range(100):
        request = make_view(str(number), prompt_tokens=2000)
        chosen = policy.choose(request, endpoints, 0.0)
        policy.on_sent(request, chosen, 0.0)
        counts[chosen.group] += 1
    assert_that(max(counts.values()), LessThan(20))


def test_group_with_new_hosts_is_not_expected_to_hold_prefixes(policy):
    endpoints = [make_endpoint(i) for i in range(4)]
    request = make_view(prefix_blocks=tuple(range(40)), prompt_tokens=2560)
    chosen = policy.choose(request, endpoints, 0.0)
    serve(policy, request, chosen, 0.0)
    repaired = [
        endpoint._replace(fence=9) if endpoint == chosen else endpoint
        for endpoint in endpoints
    ]
    before = policy._prefix_index.match(request.prefix_blocks, 1.0)
    policy.choose(request, repaired, 1.0)
    after = policy._prefix_index.match(request.prefix_blocks, 1.0)
    assert_that(list(before), Equals([chosen.group]))
    assert_that(after, Equals({}))


def send_rounds(policy, endpoints, slow_group, now, rounds):
    """Send one request a round; return how many "g2" got, and the time."""
    hits = 0
    for number in range(rounds):
        now += 0.1
        request = make_view(f"{now}-{number}", prefix_blocks=())
        chosen = policy.choose(request, endpoints, now)
        is_slow = chosen.group == slow_group
        hits += chosen.group == "g2"
        serve(
            policy,
            request,
            chosen,
            now,
            waited_s=0.6 if is_slow else 0.06,
            per_token=0.2 if is_slow else 0.02,
        )
    return hits, now


def test_straggler_is_ejected_and_readmitted_after_recovery(policy):
    endpoints = [make_endpoint(i) for i in range(6)]
    _, now = send_rounds(policy, endpoints, None, 0.0, 120)
    _, now = send_rounds(policy, endpoints, "g2", now, 300)
    assert_that(policy._stragglers.ejected(), Contains("g2"))
    hits, now = send_rounds(policy, endpoints, "g2", now, 200)
    assert_that(hits, LessThan(8))
    assert_that(hits, GreaterThan(0))
    _, now = send_rounds(policy, endpoints, None, now, 300)
    assert_that(policy._stragglers.ejected(), Equals(frozenset()))
    hits, now = send_rounds(policy, endpoints, None, now, 200)
    assert_that(hits, GreaterThan(20))


def test_stalled_group_is_ejected_without_any_answer(policy):
    endpoints = [make_endpoint(i) for i in range(6)]
    policy.on_sent(make_view("silent"), endpoints[4], 0.0)
    _, now = send_rounds(policy, endpoints, None, 0.0, 60)
    assert_that(policy._stragglers.ejected(), Contains("g4"))


def test_request_that_is_not_idempotent_is_never_a_probe(policy):
    endpoints = [make_endpoint(i) for i in range(6)]
    _, now = send_rounds(policy, endpoints, None, 0.0, 60)
    _, now = send_rounds(policy, endpoints, "g2", now, 300)
    for number in range(50):
        now += 1.0
        request = make_view(f"once{number}", idempotent=False, prefix_blocks=())
        chosen = policy.choose(request, endpoints, now)
        assert_that(chosen.group == "g2", Equals(False))


def test_expired_load_report_no_longer_counts(policy):
    endpoints = [make_endpoint(i) for i in (0, 2)]
    load = {
        "running": 30,
        "waiting": 20,
        "cache_used": 1.0,
        "tokens_per_s": 1.0,
        "age_ms": 100,
    }
    request = make_view(prefix_blocks=())
    free = policy.choose(request, endpoints, 0.0)
    policy.on_load_report(free.group, load, 0.0)
    assert_that(
        policy.choose(request, endpoints, 1.0).group == free.group,
        Equals(False),
    )
    assert_that(policy.choose(request, endpoints, 9.0), Equals(free))

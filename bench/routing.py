"""Bench of routing and limits under fake time.

All policies get the same seeded arrivals (`bench.workload`), with the same
modelled engines (`bench.queue_model`) and behind the product's admission
(`bench.entry_model`): 9 entry nodes and 12 groups in 3 data centres. Capacity
is the rate that least in flight completes under a load far above it. Loads are
0.5, 0.8, 1 and 2 times the capacity. The first minute of a run is not counted.

Faults: one group is four times slower for 40 s, another three times for 40 s,
and two groups lose a host for 20 s each.

Goodput counts requests whose answer was complete and whose first token came
within 3 s of the arrival at the node. Times to the first token include the
wait in the node's queue.

Results are lines with `measure`: `capacity`, `policy` (one for each policy,
load and kind of faults, over all seeds), `small_workspace` and `summary`.
"""

from collections.abc import Iterable
import functools
import heapq
import itertools
import random

import numpy as np

from bench import entry_model, entry_requests, open_admission, workload
from bench import routing_figures as figures
from chervilrock.decisions.limits import admission as admissions
from chervilrock.decisions.routing import affinity, base, baselines

NODES = 9
ENGINES = 12
DATA_CENTRES = 3
WARM_UP_S = 60.0
MEASURED_S = 120.0
QUICK_MEASURED_S = 45.0
SATURATION_PER_S = 140.0
"""Requests a second, far above the capacity of the engines."""

LOADS = (0.5, 0.8, 1.0, 2.0)
QUICK_LOADS = (0.8, 2.0)
SEEDS = (1, 2, 3)
QUICK_SEEDS = (1,)
PRODUCT = "prefix_affinity"
POLICIES = (
    "round_robin",
    "random",
    "two_choices",
    "least_in_flight",
    PRODUCT,
)
QUICK_POLICIES = ("two_choices", "least_in_flight", PRODUCT)
SMALL_SHARE = 0.036
"""Load of the small workspace, in capacities."""

FLOOD = 2.0
"""Load of the flooding workspace, in capacities."""

DISJOINT_OFFSET = 1 << 40


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Yield the results.

    Args:
      quick: fewer policies, loads and seeds, and shorter runs.
    """
    seconds = QUICK_MEASURED_S if quick else MEASURED_S
    seeds = QUICK_SEEDS if quick else SEEDS
    capacity = _measure_capacity("least_in_flight", seconds)
    own = _measure_capacity(PRODUCT, seconds)
    yield {
        "measure": "capacity",
        "least_in_flight_per_s": round(capacity, 2),
        "prefix_affinity_per_s": round(own, 2),
    }
    lines = []
    for scenario in _scenarios(quick, capacity):
        line = figures.describe(scenario, _repeat(scenario, seeds, seconds))
        lines.append(line)
        yield line
    small = _measure_small_workspace(capacity, seeds, seconds)
    yield small
    own_goodput = [
        figures.measure_goodput(
            _repeat(
                figures.Scenario(PRODUCT, x, x * own, False), seeds, seconds
            )
        )
        for x in (1.0, 2.0)
    ]
    yield figures.summarise(PRODUCT, lines, small, own_goodput)


def simulate(
    scenario: figures.Scenario,
    arrivals: list[workload.Arrival],
    seed: int,
    end: float,
) -> figures.Outcome:
    """Run one scenario and return its outcome.

    Args:
      scenario: policy and conditions.
      arrivals: requests in the order of time.
      seed: seed of the policies and lags.
      end: time of the last arrivals in seconds.
    """
    make = _make_admission if scenario.limits else open_admission.make
    cluster = entry_model.Cluster(
        policies=[
            _make_policy(scenario.policy, node, seed) for node in range(NODES)
        ],
        admissions_by_node=[make(f"n{node}") for node in range(NODES)],
        engines=ENGINES,
        data_centres=DATA_CENTRES,
        seed=seed,
        faults=_plan_faults(seed, end) if scenario.faults else (),
    )
    cluster.at(WARM_UP_S, cluster.reset_counts)
    cluster.run(arrivals, end)
    results = [
        result for result in cluster.results if result.arrival.time >= WARM_UP_S
    ]
    gaps = [
        (duration, count)
        for time, duration, count in cluster.gaps
        if WARM_UP_S <= time < end and count
    ]
    further = cluster.retries + cluster.hedges
    return figures.Outcome(
        results=results,
        gaps=np.array(gaps),
        cache_share=cluster.cache_share(),
        retry_share=further / max(1, cluster.first_attempts),
        seconds=end - WARM_UP_S,
    )


def _scenarios(quick: bool, capacity: float) -> Iterable[figures.Scenario]:
    loads = QUICK_LOADS if quick else LOADS
    policies = QUICK_POLICIES if quick else POLICIES
    for faults, load in itertools.product((False, True), loads):
        for policy in policies:
            yield figures.Scenario(policy, load, load * capacity, faults)
    for load in loads[-2:]:
        yield figures.Scenario(
            "least_in_flight", load, load * capacity, False, limits=False
        )


def _repeat(
    scenario: figures.Scenario, seeds: Iterable[int], seconds: float
) -> list[figures.Outcome]:
    end = WARM_UP_S + seconds
    return [
        simulate(scenario, _draw(scenario.rate, seed, end), seed, end)
        for seed in seeds
    ]


@functools.lru_cache(maxsize=8)
def _draw(rate: float, seed: int, end: float) -> list[workload.Arrival]:
    drawn = workload.Workload(
        rate=rate, seconds=end * 1.5, nodes=NODES, seed=seed
    )
    return workload.fit_rate(
        list(drawn.arrivals()), rate=rate, start=WARM_UP_S, end=end
    )


def _make_policy(name: str, node: int, seed: int) -> base.RoutingPolicy:
    rng = random.Random(seed * 1000 + node)
    if name == "round_robin":
        return baselines.RoundRobin()
    if name == "random":
        return baselines.RandomChoice(rng=rng)
    if name == "two_choices":
        return baselines.TwoChoices(rng=rng)
    if name == "least_in_flight":
        return baselines.LeastInFlight(rng=rng)
    data_centre = entry_requests.data_centre_of(node, DATA_CENTRES)
    return affinity.PrefixAffinity(rng=rng, data_centre=data_centre)


def _make_admission(node: str) -> admissions.Admission:
    return admissions.Admission(
        node=node,
        limits={},
        workspaces=[{"name": name} for name in workload.default_weights()],
    )


def _plan_faults(seed: int, end: float) -> list[entry_requests.Fault]:
    engines = random.Random(seed).sample(range(ENGINES), 4)
    step = (end - WARM_UP_S) / 6.0
    starts = [WARM_UP_S + i * step for i in range(4)]
    slow = min(40.0, 2.0 * step)
    lost = min(20.0, step)
    return [
        entry_requests.Fault(engines[0], starts[0], starts[0] + slow, 4.0),
        entry_requests.Fault(engines[1], starts[1], starts[1] + lost, 0.0),
        entry_requests.Fault(engines[2], starts[2], starts[2] + slow, 3.0),
        entry_requests.Fault(engines[3], starts[3], starts[3] + lost, 0.0),
    ]


def _measure_capacity(policy: str, seconds: float) -> float:
    scenario = figures.Scenario(policy, 0.0, SATURATION_PER_S, False)
    outcome = _repeat(scenario, (99,), seconds)[0]
    done = sum(1 for each in outcome.results if each.done_s is not None)
    return done / outcome.seconds


def _measure_small_workspace(
    capacity: float, seeds: Iterable[int], seconds: float
) -> dict[str, object]:
    end = WARM_UP_S + seconds
    scenario = figures.Scenario(PRODUCT, FLOOD, FLOOD * capacity, False)
    alone = []
    beside = []
    for seed in seeds:
        small = _draw_workspace("small0", SMALL_SHARE * capacity, seed, end)
        flood = _draw_workspace("large0", FLOOD * capacity, seed + 50, end)
        both = list(
            heapq.merge(small, [_make_disjoint(each) for each in flood])
        )
        alone.append(simulate(scenario, small, seed, end))
        beside.append(simulate(scenario, both, seed, end))
    kept = [
        outcome._replace(
            results=[
                result
                for result in outcome.results
                if result.arrival.workspace == "small0"
            ]
        )
        for outcome in beside
    ]
    p95_alone = float(np.percentile(figures.collect_first_tokens(alone), 95))
    p95_beside = float(np.percentile(figures.collect_first_tokens(kept), 95))
    lost = [
        result
        for outcome in kept
        for result in outcome.results
        if result.done_s is None
    ]
    return {
        "measure": "small_workspace",
        "requests": sum(len(outcome.results) for outcome in kept),
        "not_served": len(lost),
        "first_token_p95_alone_s": round(p95_alone, 4),
        "first_token_p95_beside_s": round(p95_beside, 4),
        "small_workspace_p95_vs_alone": round(p95_beside / p95_alone, 4),
    }


def _draw_workspace(
    name: str, rate: float, seed: int, end: float
) -> list[workload.Arrival]:
    drawn = workload.Workload(
        rate=rate,
        seconds=end * 1.5,
        nodes=NODES,
        seed=seed,
        weights={name: 1.0},
    )
    return workload.fit_rate(
        list(drawn.arrivals()), rate=rate, start=WARM_UP_S, end=end
    )


def _make_disjoint(arrival: workload.Arrival) -> workload.Arrival:
    """Shift the number and blocks of a request out of all other workloads."""
    return arrival._replace(
        number=arrival.number + DISJOINT_OFFSET,
        blocks=tuple(block + DISJOINT_OFFSET for block in arrival.blocks),
        answer_blocks=tuple(
            block + DISJOINT_OFFSET for block in arrival.answer_blocks
        ),
    )

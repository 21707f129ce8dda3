"""Figures of the bench of routing, from the outcomes of its runs."""

from collections.abc import Iterable
from typing import NamedTuple

import numpy as np

from bench import entry_requests

FIRST_TOKEN_LIMIT_S = 3.0
"""Greatest time to the first token of an answer that counts as goodput."""


class Scenario(NamedTuple):
    """Conditions that the runs of a result share.

    Attributes:
      policy: name of the routing policy
      load: offered load in capacities
      rate: offered load in requests a second
      faults: whether hosts are slow and lost
      limits: whether the product's admission is on
    """

    policy: str
    load: float
    rate: float
    faults: bool
    limits: bool = True


class Outcome(NamedTuple):
    """Outcome of one run.

    Attributes:
      results: requests that arrived in the measured time
      gaps: times between tokens with their counts, an array of two columns
      cache_share: share of the prompt tokens that were cached
      retry_share: retries and hedges for each first attempt
      seconds: measured time
    """

    results: list[entry_requests.Result]
    gaps: np.ndarray
    cache_share: float
    retry_share: float
    seconds: float


def collect_first_tokens(outcomes: Iterable[Outcome]) -> np.ndarray:
    """Return the times to the first token of all requests, in seconds."""
    return np.array(
        [
            result.first_s
            for outcome in outcomes
            for result in outcome.results
            if result.first_s is not None
        ]
    )


def measure_goodput(outcomes: list[Outcome]) -> float:
    """Return the complete answers a second with an early first token."""
    good = sum(
        1
        for outcome in outcomes
        for result in outcome.results
        if result.done_s is not None
        and result.first_s is not None
        and result.first_s <= FIRST_TOKEN_LIMIT_S
    )
    return good / sum(outcome.seconds for outcome in outcomes)


def _weighted_percentile(pairs: np.ndarray, percent: float) -> float:
    ordered = pairs[np.argsort(pairs[:, 0])]
    counts = np.cumsum(ordered[:, 1])
    index = np.searchsorted(counts, counts[-1] * percent / 100.0)
    return float(ordered[index, 0])


def describe(scenario: Scenario, outcomes: list[Outcome]) -> dict[str, object]:
    """Return the line of a scenario over all its runs."""
    first = collect_first_tokens(outcomes)
    results = [result for outcome in outcomes for result in outcome.results]
    unfinished = [result for result in results if result.done_s is None]
    failed = [
        result
        for result in unfinished
        if result.code in ("failed", "caller_gone")
    ]
    gaps = np.concatenate([outcome.gaps for outcome in outcomes])
    return {
        "measure": "policy",
        **scenario._asdict(),
        "rate": round(scenario.rate, 2),
        "seeds": len(outcomes),
        "requests": len(results),
        "first_token_p50_s": round(float(np.percentile(first, 50)), 4),
        "first_token_p95_s": round(float(np.percentile(first, 95)), 4),
        "first_token_p99_s": round(float(np.percentile(first, 99)), 4),
        "token_gap_p95_s": round(_weighted_percentile(gaps, 95), 4),
        "cache_share": round(
            float(np.mean([each.cache_share for each in outcomes])), 4
        ),
        "goodput_per_s": round(measure_goodput(outcomes), 2),
        "rejected_share": round(
            (len(unfinished) - len(failed)) / len(results), 4
        ),
        "failed_share": round(len(failed) / len(results), 4),
        "retry_share": round(max(each.retry_share for each in outcomes), 4),
    }


def summarise(
    product: str,
    lines: list[dict[str, object]],
    small: dict[str, object],
    own_goodput: list[float],
) -> dict[str, object]:
    """Return the summary line with the ratios of the bench.

    Args:
      product: name of the product's policy.
      lines: lines of all scenarios.
      small: line of the small workspace.
      own_goodput: goodput at one and two times the product's own capacity.
    """

    def find(policy: str, load: float, field: str) -> float:
        for line in lines:
            key = (line["policy"], line["load"], line["faults"])
            if key == (policy, load, False) and line["limits"]:
                return float(str(line[field]))
        raise LookupError(f"no line for {policy} at {load}")

    p95 = find(product, 0.8, "first_token_p95_s")
    shares = [
        float(str(line["retry_share"]))
        for line in lines
        if line["policy"] == product
    ]
    return {
        "measure": "summary",
        "p95_first_token_vs_least_in_flight": round(
            p95 / find("least_in_flight", 0.8, "first_token_p95_s"), 4
        ),
        "p95_first_token_vs_two_choices": round(
            p95 / find("two_choices", 0.8, "first_token_p95_s"), 4
        ),
        "goodput_2x_vs_1x": round(own_goodput[1] / own_goodput[0], 4),
        "retry_share": max(shares),
        "small_workspace_p95_vs_alone": small["small_workspace_p95_vs_alone"],
    }

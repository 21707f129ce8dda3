"""Random workloads under the replay of overload.

    python -m test.tasks.sweep_works [--works 30] [--jobs 2]

Covers sizes to which no constant is fitted. Each workload has random groups,
slots, time factors, prompts, answers, targets, timeouts, nodes, age of the load
totals, load and behaviour of callers. Each line of the output has the number of
requests, the ratios that were served in time and late, and their value, in
which a late answer counts a quarter. To compare two commits, run it in a
checkout of each.
"""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
import random
from typing import Annotated, NamedTuple

from loguru import logger
import pytest
import typer

from chervilrock.decisions.serving.site import ModelShape
from test.tasks.overload import Fleet, Load, make_engine, replay, RequestKind

LATE_VALUE = 0.25
"""Value of a late answer, as a ratio of the value of one in time."""

FIRST_SEED = 1000

MODEL = "m"
FIRST_EVENT_OVERHEAD_S = 0.093
NOMINAL_LOAD_RATIO = 0.55
"""Nominal load, as a ratio of the capacity of the groups."""

MAX_RATE_PER_S = 150.0
"""Highest nominal rate of requests, so that a workload is played within
seconds."""


class Workload(NamedTuple):
    """A random workload."""

    fleet: Fleet
    load: Load


class Result(NamedTuple):
    """Result of a workload.

    Attributes:
      seed: number of the workload.
      requests: number of requests of callers.
      in_time: ratio of the requests that were served in time.
      late: ratio of the requests that were served late.
    """

    seed: int
    requests: int
    in_time: float
    late: float

    @property
    def value(self) -> float:
        """Value of all answers, as a ratio of the value if all were in time."""
        return self.in_time + LATE_VALUE * self.late


def draw_workload(seed: int) -> Workload:
    """Return the workload with a number."""
    generator = random.Random(FIRST_SEED + seed)
    slots = generator.choice([8, 11, 13, 17, 24, 34, 48, 64])
    time_factor = generator.uniform(0.4, 1.2)
    step_s = generator.uniform(0.004, 0.009)
    per_request_s = generator.uniform(0.00005, 0.0005) * 24 / slots
    prompt_tokens = generator.choice([340, 700, 1400, 2800])
    events = generator.choice([7, 15, 30, 60])
    tokens_per_s = generator.uniform(25e3, 90e3)
    groups = generator.randint(3, 14)
    nodes = generator.randint(1, 5)
    pass_s = 5 * (step_s + per_request_s * slots)
    reading_s = prompt_tokens / tokens_per_s
    service_time_s = time_factor * (0.95 * pass_s * events + 4 * reading_s)
    timeout_s = generator.uniform(4, 12)
    usual_s = time_factor * (
        FIRST_EVENT_OVERHEAD_S + 2 * pass_s + 3 * reading_s
    )
    target_s = max(0.25, generator.uniform(1.8, 3.0) * usual_s)
    factor = generator.choice([1.0, 1.5, 2.2, 3.0])
    abuser_retries = generator.choice([0, 1, 3])
    abuser_ratio = generator.choice([0, 0.2, 0.4])
    rate_per_s = min(
        MAX_RATE_PER_S, NOMINAL_LOAD_RATIO * groups * slots / service_time_s
    )
    kind = RequestKind(
        "k", MODEL, rate_per_s, prompt_tokens, events, target_s, timeout_s
    )
    fleet = Fleet(
        data_centres=3,
        nodes=nodes,
        groups={MODEL: groups},
        announcement_interval_s=generator.choice([0.125, 0.25]),
        lag=generator.choice([1, 2]),
        engine=make_engine(
            slots=slots,
            step_s=step_s,
            per_request_s=per_request_s,
            prompt_tokens_per_s=tokens_per_s,
            models=(ModelShape(MODEL, 4, time_factor, 1.0, 16.0, 1.6),),
        ),
        queue_limit=2 * slots,
        first_event_overhead_s=FIRST_EVENT_OVERHEAD_S,
        kinds=(kind,),
    )
    return Workload(
        fleet,
        Load(
            factor,
            "k",
            4.0,
            3.0,
            abuser_ratio=abuser_ratio,
            abuser_retries=abuser_retries,
        ),
    )


def run_seed(seed: int) -> Result:
    """Replay the workload with a number."""
    logger.remove()
    workload = draw_workload(seed)
    with pytest.MonkeyPatch.context() as monkeypatch:
        outcome = replay(monkeypatch, workload.fleet, workload.load, seed=seed)
    total = outcome.sum_seconds(0, len(outcome.seconds))
    in_time = total.in_time / total.requests
    return Result(seed, total.requests, in_time, total.late / total.requests)


def sweep(
    works: Annotated[int, typer.Option(help="Number of workloads.")] = 30,
    jobs: Annotated[int, typer.Option(help="Workloads run at once.")] = 2,
) -> None:
    """Replay random workloads and print a line for each, and the means."""
    results: list[Result] = []
    with ProcessPoolExecutor(jobs) as pool:
        for row in pool.map(run_seed, range(works)):
            results.append(row)
            typer.echo(
                f"{row.seed} requests={row.requests} in_time={row.in_time:.3f} "
                f"late={row.late:.3f} value={row.value:.3f}"
            )
    typer.echo(
        f"means: in_time={_average(results, lambda row: row.in_time):.3f} "
        f"value={_average(results, lambda row: row.value):.3f}"
    )


def _average(
    results: list[Result], measure: Callable[[Result], float]
) -> float:
    return sum(map(measure, results)) / len(results)


if __name__ == "__main__":
    typer.run(sweep)

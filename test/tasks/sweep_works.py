"""Random works under the replay of overload: sizes that nobody tuned for.

    python -m test.tasks.sweep_works [--works 30] [--jobs 2]

Each work draws its groups, slots, paces, prompts, answers, targets, limits,
nodes, age of news, load and habits of callers. A line tells the requests, the
parts that were served in time and late, and their value, with a quarter for a
late one. Run it in a checkout of another commit to compare.
"""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
import random
from typing import Annotated, NamedTuple

from loguru import logger
import pytest
import typer

from chervilrock.decisions.serving.site import ModelShape
from test.tasks.overload import Fleet, Kind, Load, make_engine, replay

LATE_VALUE = 0.25
"""Value of an answer that comes late, as a part of one in time."""

FIRST_SEED = 1000

MODEL = "m"
FIRST_S = 0.093
CALM_PART = 0.55
"""Part of what the groups bear that comes on a calm day."""

MOST_PER_S = 150.0
"""Most requests a second on a calm day, so that a work takes some seconds."""


class Work(NamedTuple):
    """A work that was drawn."""

    fleet: Fleet
    load: Load


class Result(NamedTuple):
    """What became of the requests of a work.

    Attributes:
      seed: number of the work.
      asked: requests of callers.
      in_time: part of them that was served in time.
      late: part that was served late.
    """

    seed: int
    asked: int
    in_time: float
    late: float

    @property
    def value(self) -> float:
        """Value of all answers, as a part of that of all in time."""
        return self.in_time + LATE_VALUE * self.late


def draw_work(seed: int) -> Work:
    """Return the work with a number."""
    generator = random.Random(FIRST_SEED + seed)
    slots = generator.choice([8, 11, 13, 17, 24, 34, 48, 64])
    pace = generator.uniform(0.4, 1.2)
    step_s = generator.uniform(0.004, 0.009)
    per_request_s = generator.uniform(0.00005, 0.0005) * 24 / slots
    prompt = generator.choice([340, 700, 1400, 2800])
    events = generator.choice([7, 15, 30, 60])
    tokens_per_s = generator.uniform(25e3, 90e3)
    groups = generator.randint(3, 14)
    nodes = generator.randint(1, 5)
    pass_s = 5 * (step_s + per_request_s * slots)
    reading_s = prompt / tokens_per_s
    served_s = pace * (0.95 * pass_s * events + 4 * reading_s)
    limit_s = generator.uniform(4, 12)
    usual_s = pace * (FIRST_S + 2 * pass_s + 3 * reading_s)
    target_s = max(0.25, generator.uniform(1.8, 3.0) * usual_s)
    x = generator.choice([1.0, 1.5, 2.2, 3.0])
    repeats = generator.choice([0, 1, 3])
    abuse = generator.choice([0, 0.2, 0.4])
    per_s = min(MOST_PER_S, CALM_PART * groups * slots / served_s)
    kind = Kind("k", MODEL, per_s, prompt, events, target_s, limit_s)
    fleet = Fleet(
        places=3,
        nodes=nodes,
        groups={MODEL: groups},
        pause_s=generator.choice([0.125, 0.25]),
        lag=generator.choice([1, 2]),
        engine=make_engine(
            slots=slots,
            step_s=step_s,
            per_request_s=per_request_s,
            prompt_tokens_per_s=tokens_per_s,
            models=(ModelShape(MODEL, 4, pace, 1.0, 16.0, 1.6),),
        ),
        queue=2 * slots,
        first_s=FIRST_S,
        kinds=(kind,),
    )
    return Work(fleet, Load(x, "k", 4.0, 3.0, abuse=abuse, repeats=repeats))


def play(seed: int) -> Result:
    """Play the work with a number."""
    logger.remove()
    work = draw_work(seed)
    with pytest.MonkeyPatch.context() as monkeypatch:
        outcome = replay(monkeypatch, work.fleet, work.load, seed=seed)
    whole = outcome.sum_up(0, len(outcome.seconds))
    in_time = whole.in_time / whole.asked
    return Result(seed, whole.asked, in_time, whole.late / whole.asked)


def sweep(
    works: Annotated[int, typer.Option(help="Number of works.")] = 30,
    jobs: Annotated[int, typer.Option(help="Works played at once.")] = 2,
) -> None:
    """Play random works and print a line for each, and the means."""
    results: list[Result] = []
    with ProcessPoolExecutor(jobs) as pool:
        for one in pool.map(play, range(works)):
            results.append(one)
            typer.echo(
                f"{one.seed} requests={one.asked} in_time={one.in_time:.3f} "
                f"late={one.late:.3f} value={one.value:.3f}"
            )
    typer.echo(
        f"means: in_time={_average(results, lambda one: one.in_time):.3f} "
        f"value={_average(results, lambda one: one.value):.3f}"
    )


def _average(
    results: list[Result], measure: Callable[[Result], float]
) -> float:
    return sum(map(measure, results)) / len(results)


if __name__ == "__main__":
    typer.run(sweep)

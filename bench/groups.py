"""Planner of replica groups compared with baselines, in simulated time.

For each of the example installations (50 hosts, three data centres) a seeded
fault history of `group_history` is replayed by `group_replay`, once for each
planner: the policy, greedy first fit (a broken group waits for a free host of
its domain), the same but with broken groups dissolved and formed again
(`recreate`), and the policy without repair across groups (`never_across`).
Descanso Justo is replayed with the costs of June and with those of January.
Measured from the first start of the hosts to the end:

* `downtime`: hosts of wanted groups that do not serve, averaged over time.
* `weighted`: the same, multiplied by the weight of the model.
* `stranded`: powered accelerators in no serving group, averaged over time.
  Hosts that no wanted group needs are included; `stranded_floor` is their
  share when nothing fails.
* `cost`: `weighted` and `stranded` at the configured costs, per second.

Each comparison has the median and the worst ratio to a baseline over the seeds.
The seeds are 1 to 8; other seeds were used to improve the policy. Shards load
at 1 GB/s per host and 4 GB/s in total; a host that a group gave up loses its
shard, unless `keeps_cache` is set.

`group_optimum` measures `gap_to_optimum` on 200 small cases: the mean gap to
the optimum `IN_PLACE`, where a case in which several plans did better counts
as zero; `gap_to_lower_bound` is the gap to the optimum `AT_END`.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
import statistics
from typing import NamedTuple

import msgspec

from bench.group_history import DAY_S, make_history
from bench.group_optimum import measure_gaps, Rule
from bench.group_replay import Measure, Replay, Site
from chervilrock.decisions.actions import Prices
from chervilrock.decisions.planner import GroupPlanner, Planner, prices
from chervilrock.decisions.planner.baselines import (
    GreedyFirstFit,
    NeverAcrossGroups,
    RecreateFirstFit,
)
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import HostList

EXAMPLES = Path(__file__).parent.parent / "examples"
SEEDS = 8
DAYS = 20.0
QUICK_SEEDS = 2
QUICK_DAYS = 4.0
OPTIMA = 200
QUICK_OPTIMA = 20
TARGET_GAP = 0.03
JUNE = "06-01"
JANUARY = "01-10"


class Case(NamedTuple):
    """An installation and the day whose costs apply.

    Attributes:
      name: name of the case in results
      example: name of the example configuration
      day: day of the year
    """

    name: str
    example: str
    day: str


CASES = (
    Case("aakashdeep", "aakashdeep", JUNE),
    Case("descanso", "descanso-justo", JUNE),
    Case("descanso_january", "descanso-justo", JANUARY),
)
PLANNERS: dict[str, type[GroupPlanner]] = {
    "policy": Planner,
    "greedy": GreedyFirstFit,
    "recreate": RecreateFirstFit,
    "never_across": NeverAcrossGroups,
}
BASELINES = ("greedy", "recreate", "never_across")


def run(*, quick: bool) -> Iterable[dict[str, object]]:
    """Yields the measures of each case and the ratios to the baselines."""
    seeds = range(1, 1 + (QUICK_SEEDS if quick else SEEDS))
    days = QUICK_DAYS if quick else DAYS
    for case in CASES:
        yield from _run_case(case, seeds, days)
    yield _measure_optimum(QUICK_OPTIMA if quick else OPTIMA)


def load_site(case: Case, *, keeps_cache: bool = False) -> Site:
    """Returns the site of an example installation."""
    configuration = msgspec.yaml.decode(
        _read(f"{case.example}.yaml"), type=Configuration
    )
    hosts = msgspec.json.decode(
        _read(f"{case.example}-hosts.json"), type=HostList
    )
    weights = msgspec.json.decode(_read(f"{case.example}-weights.json"))
    return Site(
        models=configuration["models"],
        hosts=hosts["hosts"],
        bytes={
            name: float(model["bytes"])
            for name, model in weights["models"].items()
        },
        prices=prices(configuration.get("objective"), case.day),
        keeps_cache=keeps_cache,
    )


def _read(name: str) -> bytes:
    return (EXAMPLES / name).read_bytes()


def _run_case(
    case: Case, seeds: range, days: float
) -> Iterator[dict[str, object]]:
    measures = {
        name: _replay(case, planner, seeds, days)
        for name, planner in PLANNERS.items()
    }
    site = load_site(case)
    for name, measured in measures.items():
        yield _describe(case, site, name, measured, days)
    for name in BASELINES:
        yield _compare(case, site, measures["policy"], measures[name], name)


def _replay(
    case: Case, planner: type[GroupPlanner], seeds: range, days: float
) -> list[Measure]:
    """Returns the measures of a planner, one for each seed."""
    site = load_site(case)
    measures: list[Measure] = []
    for seed in seeds:
        history = make_history(site.hosts, days, seed)
        replay = Replay(site=site, planner=planner(), history=history)
        measures.append(replay.run(0.0, days * DAY_S))
    return measures


def _measure_optimum(cases: int) -> dict[str, object]:
    """Returns the gaps of the policy to the optima of small cases."""
    gaps = list(measure_gaps(cases))
    in_place = [max(0.0, gap[Rule.IN_PLACE]) for gap in gaps]
    at_end = [gap[Rule.AT_END] for gap in gaps]
    return {
        "optimum_cases": cases,
        "gap_to_optimum": round(statistics.mean(in_place), 4),
        "gap_to_optimum_worst": round(max(in_place), 4),
        "gap_to_lower_bound_median": round(statistics.median(at_end), 4),
        "gap_to_lower_bound_mean": round(statistics.mean(at_end), 4),
        "gap_to_lower_bound_share_over_0.03": round(
            sum(gap > TARGET_GAP for gap in at_end) / cases, 3
        ),
    }


def _describe(
    case: Case, site: Site, name: str, measured: list[Measure], days: float
) -> dict[str, object]:
    """Returns medians over the seeds of averages over time."""
    time = days * DAY_S
    return {
        "case": case.name,
        "planner": name,
        "seeds": len(measured),
        "days": days,
        "downtime": _median(each.downtime / time for each in measured),
        "weighted": _median(each.weighted / time for each in measured),
        "stranded": _median(each.stranded / time for each in measured),
        "stranded_floor": _count_surplus(site),
        "cost": _median(
            _get_cost(each, site.prices) / time for each in measured
        ),
        "loads_per_day": _median(each.loads / days for each in measured),
    }


def _compare(
    case: Case,
    site: Site,
    policy: list[Measure],
    baseline: list[Measure],
    name: str,
) -> dict[str, object]:
    """Returns the ratios of the policy to a baseline, median and worst."""
    ratios = {
        "downtime": _divide(policy, baseline, "downtime"),
        "weighted": _divide(policy, baseline, "weighted"),
        "stranded": _divide(policy, baseline, "stranded"),
        "cost": [
            _get_cost(policy_measure, site.prices)
            / _get_cost(baseline_measure, site.prices)
            for policy_measure, baseline_measure in zip(
                policy, baseline, strict=True
            )
        ],
    }
    result: dict[str, object] = {}
    for key, values in ratios.items():
        result[f"{case.name}_{key}_vs_{name}"] = _median(values)
        result[f"{case.name}_{key}_vs_{name}_worst"] = round(max(values), 3)
    return result


def _divide(
    policy: list[Measure], baseline: list[Measure], key: str
) -> list[float]:
    return [
        getattr(policy_measure, key) / getattr(baseline_measure, key)
        for policy_measure, baseline_measure in zip(
            policy, baseline, strict=True
        )
    ]


def _get_cost(measure: Measure, costs: Prices) -> float:
    return costs.downtime * measure.weighted + costs.stranded * measure.stranded


def _count_surplus(site: Site) -> int:
    """Returns the accelerators that no wanted group needs."""
    wanted = sum(
        spec["groups"] * spec["hosts_per_group"] for spec in site.models
    )
    accelerators = [host["accelerators"] for host in site.hosts]
    return sum(sorted(accelerators)[: max(0, len(accelerators) - wanted)])


def _median(values: Iterable[float]) -> float:
    return round(statistics.median(values), 3)

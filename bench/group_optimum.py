"""Cost of the policy against the exact optimum on small random cases.

A case has two or three fabric domains of 4 to 9 hosts, and two or three models
with groups of 2 to 5 hosts; the groups are formed in random domains. Then up to
four hosts, and in one of five cases a whole domain, are lost permanently. The
cost over four hours is compared:

* the policy runs in the replay, with all its rules and delays, after a history
  from which it has learnt that lost hosts stay absent for long;
* the optimum is that of an integer program, which decides which groups to
  keep, to repair or to form in which domain, with the load times of the replay
  but without drains and releases.

The program applies the rule that a model never stops serving in one of two
ways. `IN_PLACE`: each model that still serves after the loss keeps one of its
serving groups, as the policy does in each plan; over several plans the policy
can do better. `AT_END`: the model has any group in the end, even if that takes
hosts of its last serving group; this is a lower bound for every planner.

The weight store is fast enough for all loads at once.
"""

from collections.abc import Iterator
import enum
import random
from typing import NamedTuple

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp

from bench.group_history import Fault, FaultKind
from bench.group_replay import HOST_RATE, Measure, Replay, Site, START_S
from chervilrock.decisions.actions import (
    Action,
    FormGroup,
    HostView,
    PlanInput,
    Prices,
)
from chervilrock.decisions.planner import GroupPlanner, Planner
from chervilrock.generated.configuration import ModelSpec
from chervilrock.generated.interfaces import HostEntry

LOSS_S = 3_000.0
WINDOW_S = 4 * 3_600.0
LONG_ABSENCE_S = 1e6
LEARNT_LOSSES = 256
FIRST_SEED = 1001
"""Cases with lower seeds were used to improve the policy."""
SHARD_BYTES = 120e9
FAST_STORE_BYTES_PER_S = 1e12


class SmallCase(NamedTuple):
    """A small case.

    Attributes:
      site: hosts, models and costs
      formed: groups that exist before the loss
      lost: names of the lost hosts
    """

    site: Site
    formed: tuple[FormGroup, ...]
    lost: tuple[str, ...]


class Rule(enum.Enum):
    """How the program keeps each model serving."""

    IN_PLACE = enum.auto()
    AT_END = enum.auto()


def measure_gaps(cases: int) -> Iterator[dict[Rule, float]]:
    """Yields the relative gaps of the policy to the optima, case by case."""
    for seed in range(FIRST_SEED, FIRST_SEED + cases):
        case = make_case(seed)
        policy = run_policy(case)
        yield {rule: policy / find_optimum(case, rule) - 1.0 for rule in Rule}


def make_case(seed: int) -> SmallCase:
    """Returns a random case."""
    generator = random.Random(seed)
    hosts = tuple(
        _make_host(f"{domain}{number}", f"d{domain}")
        for domain in "abc"[: generator.randint(2, 3)]
        for number in range(generator.randint(4, 9))
    )
    models = tuple(
        ModelSpec(
            name=f"m{number}",
            version="v1",
            groups=generator.randint(1, 3),
            hosts_per_group=generator.randint(2, 5),
            weight=generator.choice((0.5, 1.0, 2.0, 4.0)),
        )
        for number in range(generator.randint(2, 3))
    )
    costs = Prices(
        generator.choice((1.0, 4.0)), generator.choice((0.25, 1.0, 3.0))
    )
    sizes = {
        spec["name"]: SHARD_BYTES * spec["hosts_per_group"] for spec in models
    }
    site = Site(models, hosts, sizes, costs, store_rate=FAST_STORE_BYTES_PER_S)
    formed = tuple(_form_random_groups(models, hosts, generator))
    return SmallCase(site, formed, _choose_lost(hosts, generator))


def run_policy(case: SmallCase) -> float:
    """Returns the cost of the policy over the window."""
    history = [Fault(LOSS_S, FaultKind.DOWN, name) for name in case.lost]
    planner = _PresetGroupsPlanner(formed=case.formed)
    replay = Replay(site=case.site, planner=planner, history=history)
    measure = replay.run(LOSS_S, LOSS_S + WINDOW_S)
    return _get_cost(measure, case.site.prices)


def find_optimum(case: SmallCase, rule: Rule) -> float:
    """Returns the minimum cost, found by an integer program."""
    program = _IntegerProgram(case=case, rule=rule)
    return program.solve()


class _PresetGroupsPlanner(GroupPlanner):
    """Forms preset groups first, and follows the policy after the loss."""

    def __init__(self, *, formed: tuple[FormGroup, ...]) -> None:
        self._formed = formed
        self._policy = Planner()
        for number in range(LEARNT_LOSSES):
            host = _view_host(f"past{number}")
            self._policy.put_host(host._replace(present=False), -LONG_ABSENCE_S)
            self._policy.put_host(host, 0.0)

    def plan(self, view: PlanInput, now: float) -> tuple[Action, ...]:
        if now < LOSS_S:
            formed, self._formed = self._formed, ()
            return formed
        return self._policy.plan(view, now)


class _IntegerProgram:
    """The integer program of a case.

    Its variables are 1 for each formed group that is kept or repaired, else
    0, and the number of new groups for each model and domain.
    """

    def __init__(self, *, case: SmallCase, rule: Rule) -> None:
        self._case = case
        self._rule = rule
        site = case.site
        self._specs = {spec["name"]: spec for spec in site.models}
        self._domains = sorted({host["domain"] for host in site.hosts})
        self._pairs = [
            (spec, domain) for spec in site.models for domain in self._domains
        ]

    def solve(self) -> float:
        """Returns the minimum cost of the window."""
        case = self._case
        values = [self._value_formed_group(group) for group in case.formed]
        values += [self._value_new_group(spec) for spec, _ in self._pairs]
        upper = [1.0] * len(case.formed) + [np.inf] * len(self._pairs)
        result = milp(
            -np.array(values),
            integrality=np.ones(len(values), dtype=np.int64),
            bounds=Bounds(0, np.array(upper)),
            constraints=self._list_constraints(),
        )
        if not result.success:
            raise ValueError(result.message)
        return self._get_cost_without_service() + float(result.fun)

    def _get_cost_without_service(self) -> float:
        """Returns the cost of a window in which nothing serves."""
        site = self._case.site
        wanted = sum(
            spec["groups"] * spec["hosts_per_group"] * spec.get("weight", 1.0)
            for spec in site.models
        )
        powered = len(site.hosts) - len(self._case.lost)
        rate = site.prices.downtime * wanted + site.prices.stranded * powered
        return rate * WINDOW_S

    def _get_group_value(self, spec: ModelSpec) -> float:
        costs = self._case.site.prices
        rate = costs.downtime * spec.get("weight", 1.0) + costs.stranded
        return rate * spec["hosts_per_group"]

    def _value_formed_group(self, group: FormGroup) -> float:
        lost = any(name in self._case.lost for name in group.hosts)
        outage_s = SHARD_BYTES / HOST_RATE + START_S if lost else 0.0
        return self._get_group_value(self._specs[group.model]) * (
            WINDOW_S - outage_s
        )

    def _value_new_group(self, spec: ModelSpec) -> float:
        outage_s = SHARD_BYTES / HOST_RATE + START_S
        return self._get_group_value(spec) * (WINDOW_S - outage_s)

    def _list_constraints(self) -> list[LinearConstraint]:
        case = self._case
        formed = case.formed
        constraints = []
        for domain in self._domains:
            usable = sum(
                host["domain"] == domain and host["host"] not in case.lost
                for host in case.site.hosts
            )
            row = [
                len(group.hosts) * (group.domain == domain) for group in formed
            ]
            row += [
                spec["hosts_per_group"] * (pair_domain == domain)
                for spec, pair_domain in self._pairs
            ]
            constraints.append(LinearConstraint(np.array([row]), ub=usable))
        for spec in case.site.models:
            row = [int(group.model == spec["name"]) for group in formed]
            row += [int(pair_spec is spec) for pair_spec, _ in self._pairs]
            constraints.append(
                LinearConstraint(np.array([row]), ub=spec["groups"])
            )
            constraints.extend(self._keep_serving(spec, row))
        return constraints

    def _keep_serving(
        self, spec: ModelSpec, row: list[int]
    ) -> Iterator[LinearConstraint]:
        """Yields the constraint that a serving model keeps serving.

        Args:
          spec: the model.
          row: coefficients that count the model's groups.
        """
        serving = [
            int(
                group.model == spec["name"]
                and not any(name in self._case.lost for name in group.hosts)
            )
            for group in self._case.formed
        ]
        if not any(serving):
            return
        if self._rule is Rule.IN_PLACE:
            row = serving + [0] * len(self._pairs)
        yield LinearConstraint(np.array([row]), lb=1)


def _form_random_groups(
    models: tuple[ModelSpec, ...],
    hosts: tuple[HostEntry, ...],
    generator: random.Random,
) -> Iterator[FormGroup]:
    """Yields groups of the models in random fabric domains."""
    free: dict[str, list[str]] = {}
    for host in hosts:
        free.setdefault(host["domain"], []).append(host["host"])
    wanted = [spec for spec in models for _ in range(spec["groups"])]
    generator.shuffle(wanted)
    for spec in wanted:
        size = spec["hosts_per_group"]
        candidates = [name for name in sorted(free) if len(free[name]) >= size]
        if candidates:
            domain = generator.choice(candidates)
            members = tuple(free[domain][:size])
            del free[domain][:size]
            yield FormGroup(spec["name"], "v1", (), members, domain)


def _choose_lost(
    hosts: tuple[HostEntry, ...], generator: random.Random
) -> tuple[str, ...]:
    names = [host["host"] for host in hosts]
    lost = set(generator.sample(names, generator.randint(1, 4)))
    if generator.random() < 1 / 5:
        lost_domain = generator.choice(hosts)["domain"]
        lost |= {
            host["host"] for host in hosts if host["domain"] == lost_domain
        }
    return tuple(sorted(lost))


def _make_host(name: str, domain: str) -> HostEntry:
    return HostEntry(
        host=name,
        address="",
        data_centre="dc",
        domain=domain,
        region="region",
        accelerators=1,
        leaving=False,
        checks_fence=True,
    )


def _view_host(name: str) -> HostView:
    return HostView(name, "dc", "past", 1, True, True, False, True, None)


def _get_cost(measure: Measure, costs: Prices) -> float:
    return costs.downtime * measure.weighted + costs.stranded * measure.stranded

"""Checks time bounds over ranges of outage lengths and phases.

Simulates an installation in virtual time for each length and phase of a fault.
Prints the worst case for each bound with the parameters that reproduce it:

    python -m test.tasks.sweep --fault silent --nodes 6 --step 0.5

Within `BOUND_S` a revision that is confirmed after the fault has to be in force
on all nodes, and a leaving server has to be out of use. If leaders are lost
during the fault, `LEADER_BOUND_S` applies to both and to their replacement.
"""

from collections.abc import Iterator
import sys
from typing import Annotated, NamedTuple

import pytest
import typer

from chervilrock import events
from test.tasks.installation import Fault
from test.tasks.test_store_outages import (
    BOUND_S,
    LEADER_BOUND_S,
    Outage,
    Outcome,
    run_outage,
)
from test.tasks.virtual_time import run_virtually

FIRST_S = 0.1
"""Shortest fault."""


class Case(NamedTuple):
    """A simulated outage and its outcome."""

    outage: Outage
    killed: int
    outcome: Outcome


class Bound(NamedTuple):
    """An upper bound of a measured time.

    Attributes:
      name: field of `Outcome` that is bounded.
      seconds: the bound.
    """

    name: str
    seconds: float


def list_bounds(killed: int) -> list[Bound]:
    """Return the bounds that hold if some leaders are lost in the fault."""
    seconds = LEADER_BOUND_S if killed else BOUND_S
    bounds = [Bound("lateness_s", seconds), Bound("server_s", seconds)]
    return bounds if not killed else [*bounds, Bound("leaderless_s", seconds)]


def list_steps(longest_s: float, step_s: float) -> Iterator[float]:
    """Yield times from the shortest fault to the longest one."""
    length_s = FIRST_S
    while length_s <= longest_s:
        yield round(length_s, 3)
        length_s += step_s


def sweep(
    outages: Iterator[Outage], monkeypatch: pytest.MonkeyPatch, killed: int
) -> Iterator[Case]:
    """Simulate outages one after the other."""
    for outage in outages:
        outcome = run_virtually(run_outage(monkeypatch, outage, killed))
        yield Case(outage, killed, outcome)


def find_worst(cases: list[Case], bound: Bound) -> Case:
    """Return the case with the largest value for a bound."""
    return max(cases, key=lambda case: getattr(case.outcome, bound.name))


def main(
    fault: Annotated[Fault, typer.Option(help="outcome of calls to the store")],
    nodes: Annotated[int, typer.Option(help="number of nodes")] = 6,
    longest: Annotated[
        float, typer.Option(help="longest fault in seconds")
    ] = 15.0,
    step: Annotated[
        float, typer.Option(help="step of the lengths in seconds")
    ] = 0.5,
    phases: Annotated[int, typer.Option(help="number of phases to try")] = 4,
    killed: Annotated[
        int, typer.Option(help="number of leaders lost during the fault")
    ] = 0,
) -> None:
    """Print the worst case of each bound; exit with 1 if one is exceeded."""
    events.configure_logging(level="ERROR")
    outages = (
        Outage(nodes, length_s, round(number * 0.97, 3), fault)
        for length_s in list_steps(longest, step)
        for number in range(phases)
    )
    with pytest.MonkeyPatch.context() as monkeypatch:
        cases = list(sweep(outages, monkeypatch, killed))
    is_exceeded = False
    for bound in list_bounds(killed):
        worst = find_worst(cases, bound)
        seconds = getattr(worst.outcome, bound.name)
        is_exceeded = is_exceeded or seconds >= bound.seconds
        outage = worst.outage
        print(
            f"{bound.name}: {seconds:.2f} of {bound.seconds} in {len(cases)} "
            f"cases; worst: {nodes} nodes, {fault.value} for "
            f"{outage.length_s} s, {outage.phase_s} s later, {killed} lost"
        )
    sys.exit(int(is_exceeded))


if __name__ == "__main__":
    typer.run(main)

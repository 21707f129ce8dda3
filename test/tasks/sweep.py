"""Sweeps a fault's length and phase over a bound, in virtual time.

Plays an installation for each length and phase of a fault, and prints the worst
case of each bound with what is needed to play it again:

    python -m test.tasks.sweep --fault silent --nodes 6 --step 0.5

A revision that is confirmed after the fault has to be in force within `BOUND_S`
everywhere, or `SHORT_BOUND_S` after its beginning, and a server that left to be
out of use; a leader that is lost in the fault has to be replaced within
`LEADER_BOUND_S`.
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
    play,
)
from test.tasks.virtual_time import run_virtually

FIRST_S = 0.1
"""Shortest fault."""


class Case(NamedTuple):
    """A fault that was played, and what came of it."""

    outage: Outage
    killed: int
    outcome: Outcome


class Bound(NamedTuple):
    """A time that must not be exceeded.

    Attributes:
      name: what it bounds.
      seconds: the bound.
    """

    name: str
    seconds: float


def list_bounds(killed: int) -> list[Bound]:
    """Return the bounds that hold when some leaders are lost in the fault."""
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
    """Play faults one after the other."""
    for outage in outages:
        outcome = run_virtually(play(monkeypatch, outage, killed))
        yield Case(outage, killed, outcome)


def find_worst(cases: list[Case], bound: Bound) -> Case:
    """Return the case that comes closest to a bound, or exceeds it most."""
    return max(cases, key=lambda one: getattr(one.outcome, bound.name))


def main(
    fault: Annotated[Fault, typer.Option(help="what becomes of calls")],
    nodes: Annotated[int, typer.Option(help="nodes")] = 6,
    longest: Annotated[float, typer.Option(help="longest fault, s")] = 15.0,
    step: Annotated[float, typer.Option(help="between two lengths, s")] = 0.5,
    phases: Annotated[int, typer.Option(help="begins that are tried")] = 4,
    killed: Annotated[int, typer.Option(help="leaders lost in it")] = 0,
) -> None:
    """Print the worst case of each bound; exit 1 when one is exceeded."""
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

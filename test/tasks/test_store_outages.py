"""Revisions are in force in time after outages of the store.

An installation had six nodes. The store was silent from 26.0 s to 34.3 s and
then confirmed five revisions within 0.2 s. Each node had a read of the
configuration under way that it had begun in the silence at 31.1 s, held for
5 s and given up after 6 s: "timed out after 6001 ms", on all nodes at 31.03 s
and again at 37.13 s. Until then no node had anything newer, so that no node
could ask another one, and all put the five revisions in force at 37.34 s. A
caller with a new key got 401 meanwhile, 2.7 s after it was confirmed.
"""

import asyncio
import itertools

from testtools.assertions import assert_that
from testtools.matchers import LessThan

from test.tasks.installation import Fault, Installation
from test.tasks.virtual_time import run_virtually

BOUND_S = 2.0
"""Time within which a confirmed revision has to be in force."""

REVISIONS = 5
"""Revisions that wait for the store and are confirmed one upon another."""

QUIET_S = 20.0
"""Time for which an installation runs before its store fails, so that the
reads of its nodes are under way for different times."""

LATEST_S = 30.0
"""Time after an outage after which all reads have ended by themselves."""

OUTAGES = tuple(
    itertools.product(
        (0.2, 0.9, 2.2, 5.0, 8.3, 13.0), (0.0, 0.7, 1.9, 4.4, 11.1)
    )
)
"""Lengths of outages, and times by which they come later, in seconds."""


async def find_lateness(
    monkeypatch, *, nodes, phase_s, silence_s, fault=Fault.SILENT
):
    installation = Installation(monkeypatch=monkeypatch, seed=nodes)
    await installation.start(nodes=nodes, places=3)
    await asyncio.sleep(QUIET_S + phase_s)
    installation.begin(fault)
    await asyncio.sleep(silence_s)
    installation.end()
    back = installation.loop.time()
    for revision in range(2, 2 + REVISIONS):
        installation.change(revision)
        await asyncio.sleep(0.05)
    await installation.wait(installation.is_in_force, LATEST_S)
    lateness = installation.find_lateness(back)
    await installation.stop()
    return lateness


def test_revisions_are_in_force_in_time_after_any_outage(monkeypatch) -> None:
    late = {
        (silence_s, phase_s): run_virtually(
            find_lateness(
                monkeypatch, nodes=6, phase_s=phase_s, silence_s=silence_s
            )
        )
        for silence_s, phase_s in OUTAGES
    }
    worst = max(late, key=late.__getitem__)
    assert_that(late[worst], LessThan(BOUND_S), f"outage and phase {worst}")

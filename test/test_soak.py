"""Tests of a short soak run, with the seeds that have failed before."""

import asyncio
import pathlib

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from bench import rollingrestarts, silentservers, stutters
from bench import soak as soak_module
from bench.soak import find_ports, Plan, soak

SHORT_S = 6.0


@pytest.mark.parametrize("seed", [7])
def test_guarantees_hold_while_processes_and_links_fail(
    seed: int, tmp_path: pathlib.Path
) -> None:
    outcome = asyncio.run(soak(Plan(seed=seed, seconds=SHORT_S), tmp_path))
    assert_that(outcome.violations, HasLength(0))
    assert_that(outcome.served_at_end, Equals(1.0))


@pytest.mark.parametrize("seed", [2])
def test_no_accepted_request_is_lost_in_planned_work(
    seed: int, tmp_path: pathlib.Path
) -> None:
    outcome = asyncio.run(rollingrestarts.soak(seed, tmp_path, rounds=1))
    assert_that(outcome.violations, HasLength(0))


@pytest.mark.parametrize("seed", [4])
def test_no_accepted_request_is_lost_while_servers_fall_silent(
    seed: int, tmp_path: pathlib.Path
) -> None:
    outcome = asyncio.run(silentservers.soak(seed, tmp_path))
    assert_that(outcome.violations, HasLength(0))
    assert_that(outcome.silences, GreaterThan(0))


@pytest.mark.parametrize("seed", [2])
def test_no_spoiled_answer_passes_for_a_complete_one(
    seed: int, tmp_path: pathlib.Path
) -> None:
    plan = stutters.Plan(seed=seed, seconds=SHORT_S)
    outcome = asyncio.run(stutters.soak(plan, tmp_path))
    assert_that(outcome.violations, HasLength(0))
    assert_that(outcome.spoiled, GreaterThan(0))


def test_no_two_nodes_of_a_run_get_the_same_port(monkeypatch) -> None:
    # Nodes choose their ports before any of them listens.
    monkeypatch.setattr(soak_module, "PORTS", (20_000, 20_100))
    taken: set[int] = set()
    ports = [
        port
        for _ in range(5)
        for port in find_ports("127.250.250.1", taken).values()
    ]
    assert_that(set(ports), HasLength(len(ports)))

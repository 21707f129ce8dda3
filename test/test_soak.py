"""A short run of the soak, and the seeds that ever failed."""

import asyncio
import pathlib

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from bench.soak import Plan, soak

SHORT_S = 6.0


@pytest.mark.parametrize("seed", [7])
def test_promises_hold_while_processes_and_links_fail(
    seed: int, tmp_path: pathlib.Path
) -> None:
    outcome = asyncio.run(soak(Plan(seed=seed, seconds=SHORT_S), tmp_path))
    assert_that(outcome.violations, HasLength(0))
    assert_that(outcome.served_at_end, Equals(1.0))

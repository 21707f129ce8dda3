from collections.abc import Callable, Iterator
import concurrent.futures
import multiprocessing
from typing import Any

import pytest

from chervilrock.standin.history import Entry
from test.history.exchanges import (
    repeat_key_in_outage,
    repeat_silently,
    run_exchange,
)
from test.history.runs import BROKEN_RUNS, carry_out, RUNS

WORKERS = 5
"""Number of worker processes; each run has an event loop of its own."""

EXCHANGES = (repeat_silently, repeat_key_in_outage)

Started = dict[Any, "concurrent.futures.Future[Any]"]


def start_pool(workers: int) -> concurrent.futures.ProcessPoolExecutor:
    context = multiprocessing.get_context("forkserver")
    context.set_forkserver_preload(["test.history.runs"])
    return concurrent.futures.ProcessPoolExecutor(workers, context)


@pytest.fixture(scope="session")
def started_runs() -> Iterator[Started]:
    """Starts all runs in the background, in the order of the tests."""
    with start_pool(WORKERS) as pool:
        runs = {**RUNS, **BROKEN_RUNS}
        yield {name: pool.submit(carry_out, runs[name]) for name in runs}


@pytest.fixture(scope="session")
def started_exchanges() -> Iterator[Started]:
    """Starts all exchanges in the background."""
    with start_pool(len(EXCHANGES)) as pool:
        yield {
            exchange: pool.submit(run_exchange, exchange)
            for exchange in EXCHANGES
        }


@pytest.fixture
def get_history(started_runs) -> Callable[[str], list[Entry]]:
    """Returns a function that waits for a run and returns its history."""
    return lambda name: started_runs[name].result()


@pytest.fixture
def get_told(started_exchanges):
    """Returns a function that returns what callers of an exchange were told."""
    return lambda exchange: started_exchanges[exchange].result()

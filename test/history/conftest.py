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


@pytest.fixture(scope="session")
def started() -> Iterator[Started]:
    """Starts all exchanges and runs in the background, as tests need them."""
    context = multiprocessing.get_context("forkserver")
    context.set_forkserver_preload(["test.history.runs"])
    with concurrent.futures.ProcessPoolExecutor(WORKERS, context) as pool:
        runs = {**RUNS, **BROKEN_RUNS}
        yield {
            **{
                exchange: pool.submit(run_exchange, exchange)
                for exchange in EXCHANGES
            },
            **{name: pool.submit(carry_out, runs[name]) for name in runs},
        }


@pytest.fixture
def get_history(started) -> Callable[[str], list[Entry]]:
    """Returns a function that waits for a run and returns its history."""
    return lambda name: started[name].result()


@pytest.fixture
def get_told(started):
    """Returns a function that returns what callers of an exchange were told."""
    return lambda exchange: started[exchange].result()

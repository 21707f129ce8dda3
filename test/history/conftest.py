from collections.abc import Callable, Iterator
import concurrent.futures
import multiprocessing

import pytest

from chervilrock.standin.history import Entry
from test.history.runs import BROKEN_RUNS, carry_out, RUNS

WORKERS = 7
"""Each run has one event loop; so many run at a time, in processes."""

GetHistory = Callable[[str], list[Entry]]


@pytest.fixture(scope="session")
def get_history() -> Iterator[GetHistory]:
    """Returns the history of a run by its name, once the run is over."""
    context = multiprocessing.get_context("forkserver")
    context.set_forkserver_preload(["test.history.runs"])
    with concurrent.futures.ProcessPoolExecutor(WORKERS, context) as pool:
        runs = {**RUNS, **BROKEN_RUNS}
        started = {name: pool.submit(carry_out, runs[name]) for name in runs}
        yield lambda name: started[name].result()

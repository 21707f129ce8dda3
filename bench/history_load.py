"""The callers of a recorded run, all in one event loop."""

import asyncio
from collections.abc import Iterator, Sequence
import random

from bench.history_callers import Caller, Shared
from bench.history_client import CallerClient
from bench.history_installation import DATA_CENTRES, NAMES
from bench.history_operations import make_operations, Operation
from chervilrock.standin.history import History

PAUSE_S = 0.15
"""Delay between the operations of a caller after the least load is done."""


class Load:
    """Callers that send operations until `finish` is called.

    Attributes:
      least: least number of operations
      ended: number of operations that have ended
    """

    def __init__(
        self,
        *,
        name: str,
        history: History,
        client: CallerClient,
        generator: random.Random,
        seeds: Sequence[str],
        callers: int,
        least: int,
    ) -> None:
        """Create callers that have sent nothing yet.

        Args:
          name: name of the run.
          history: history that records their requests and answers.
          client: HTTP client that sends the requests.
          generator: source of all random choices.
          seeds: addresses of nodes for the callers; the list may change.
          callers: number of callers.
          least: least number of operations.
        """
        self.least = least
        self.ended = 0
        self._seeds = seeds
        self._callers = callers
        self._finishing = False
        self._operations = make_operations(NAMES, generator)
        self._shared = Shared(
            name=name,
            history=history,
            client=client,
            generator=generator,
            attempts=[0],
        )

    def finish(self) -> None:
        """Stop the callers once the least load is done."""
        self._finishing = True

    def make_caller(self, number: int = 0) -> Caller:
        """Return a caller in one of the data centres."""
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        return Caller(
            shared=self._shared, seeds=self._seeds, data_centre=data_centre
        )

    async def run(self) -> None:
        """Send operations until `finish` is called and the load is done."""
        callers = [self.make_caller(number) for number in range(self._callers)]
        await asyncio.gather(
            *(self._run_caller(caller, self._operations) for caller in callers)
        )

    async def _run_caller(
        self, caller: Caller, operations: Iterator[Operation]
    ) -> None:
        while not self._finishing or self.ended < self.least:
            await caller.run(next(operations))
            self.ended += 1
            if self.ended > self.least:
                await asyncio.sleep(PAUSE_S)

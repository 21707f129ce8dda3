"""State shared by all requests of callers on a node."""

import abc
import asyncio
from collections.abc import Coroutine, Iterator
import contextlib
import random
import re
from typing import Any

from chervilrock.clients.curlpool import CurlPool
from chervilrock.decisions.routing.base import Endpoint, RoutingPolicy
from chervilrock.decisions.routing.baselines import LeastInFlight
from chervilrock.edges.context import RequestContext
from chervilrock.edges.gate import AdmissionGate
from chervilrock.edges.relay import Transfer, TransferEnd

SWEEP_INTERVAL_S = 0.25
"""Interval between checks of the requests in progress, in seconds."""

TRANSFERS_PER_CLIENT = 64
"""Transfers of one curl client; further transfers use another client."""

MAX_TRANSFERS = 1 << 16
"""Limit for the HTTP library; admission control limits the requests."""

MAX_TRANSFER_BYTES = 1 << 40
"""Limit for the HTTP library; bodies are limited where they are buffered."""

_UNSAFE_CHARACTER = re.compile(r"[^A-Za-z0-9_-]")


class Run(abc.ABC):
    """A request in progress."""

    @property
    @abc.abstractmethod
    def blocked(self) -> bool:
        """Whether the run waits for its caller to read."""

    @abc.abstractmethod
    def count_tokens(self) -> int:
        """Returns the number of tokens of the answer so far."""

    @abc.abstractmethod
    def check(self, now: float) -> None:
        """Checks whether the run still makes progress."""


class BodyReader(abc.ABC):
    """A request whose body is not complete yet."""

    @abc.abstractmethod
    def check_body(self, now: float) -> None:
        """Checks whether the body has exceeded its time limit."""


class RequestPath:
    """State of the request path of one node.

    Attributes:
      context: the node.
      gate: lets requests wait for their admission.
      service_policy: chooses backend servers of plain services.
    """

    def __init__(self, *, context: RequestContext) -> None:
        """Creates a path without requests on the running event loop.

        Args:
          context: the node.
        """
        self.context = context
        self.gate = AdmissionGate(context=context)
        self._curls = CurlPool(
            max_requests=MAX_TRANSFERS,
            max_body_size=MAX_TRANSFER_BYTES,
            handles=TRANSFERS_PER_CLIENT,
        )
        self.service_policy: RoutingPolicy = LeastInFlight(
            rng=random.Random(f"{context.node_id}/{context.incarnation}")
        )
        self._runs: set[Run] = set()
        self._bodies: set[BodyReader] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._sweep_scheduled = False
        self._in_flight = 0
        self._sequence = 0
        name = f"{context.node_id}-{context.incarnation}"
        self._request_id_prefix = _UNSAFE_CHARACTER.sub("_", name)

    @property
    def in_flight(self) -> int:
        """Number of requests whose answer is not delivered yet.

        Runs that outlive their callers count as well.
        """
        return self._in_flight

    @property
    def open_bodies(self) -> int:
        """Number of requests whose body is not complete yet."""
        return len(self._bodies)

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Counts a request as in flight while the context is active."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    def list_runs(self) -> tuple[Run, ...]:
        """Returns the requests in progress."""
        return tuple(self._runs)

    def make_request_id(self) -> str:
        """Returns a request identifier that is unique across all nodes."""
        self._sequence += 1
        return f"{self._request_id_prefix}-{self._sequence}"

    def add_run(self, run: Run) -> None:
        """Starts periodic checks of a run until it is removed."""
        self._runs.add(run)
        self._schedule_sweep()

    def remove_run(self, run: Run) -> None:
        """Stops the checks of a run."""
        self._runs.discard(run)

    def track_body(self, reader: BodyReader) -> None:
        """Starts periodic checks of a request body that is being received."""
        self._bodies.add(reader)
        self._schedule_sweep()

    def untrack_body(self, reader: BodyReader) -> None:
        """Stops the checks of a request body."""
        self._bodies.discard(reader)

    def start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_attempt(self, address: str, attempt: str) -> None:
        """Requests an engine to stop an attempt that is no longer needed."""
        self.start_task(self.context.engine.cancel(address, attempt))

    def keeps_attempts(self, endpoint: Endpoint) -> bool:
        """Returns whether a group still runs the attempts that it was sent."""
        return self.context.keeps_attempts(endpoint, self.context.now())

    async def transmit(self, transfer: Transfer) -> TransferEnd:
        """Runs a transfer to its end."""
        with self._curls.borrow() as client:
            return await transfer.run(client)

    def close(self) -> None:
        """Closes all connections to backend servers."""
        self._curls.close()

    def _schedule_sweep(self) -> None:
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Checks all requests in progress."""
        self._sweep_scheduled = False
        if self._runs or self._bodies:
            self._schedule_sweep()
        now = self.context.now()
        self.gate.sweep(now)
        for run in self.list_runs():
            run.check(now)
        for reader in tuple(self._bodies):
            reader.check_body(now)

"""What all requests of callers at a node share."""

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
"""Time between two looks at the requests in progress, in seconds."""

HANDLES = 64
"""Transfers of one curl client; more of them get a further client."""

MAX_TRANSFERS = 1 << 16
"""Bound of the library; the admission bounds the requests."""

MAX_TRANSFER_BYTES = 1 << 40
"""Bound of the library; bodies are bounded where they are kept."""

_UNSAFE = re.compile(r"[^A-Za-z0-9_-]")


class Run(abc.ABC):
    """A request in progress."""

    @property
    @abc.abstractmethod
    def blocked(self) -> bool:
        """Whether the run waits for its caller to read."""

    @abc.abstractmethod
    def count_tokens(self) -> int:
        """Returns the tokens of the answer so far."""

    @abc.abstractmethod
    def check(self, now: float) -> None:
        """Looks whether the run still gets on."""


class BodyReader(abc.ABC):
    """A request whose body is still on its way."""

    @abc.abstractmethod
    def check_body(self, now: float) -> None:
        """Looks whether the body is late."""


class RequestPath:
    """State of the request path of one node.

    Attributes:
      context: the node.
      gate: where requests wait for their admission.
      service_policy: chooses backend servers of plain services.
    """

    def __init__(self, *, context: RequestContext) -> None:
        """Starts with no requests, for the running event loop.

        Args:
          context: the node.
        """
        self.context = context
        self.gate = AdmissionGate(context=context)
        self._curls = CurlPool(
            max_requests=MAX_TRANSFERS,
            max_body_size=MAX_TRANSFER_BYTES,
            handles=HANDLES,
        )
        self.service_policy: RoutingPolicy = LeastInFlight(
            rng=random.Random(f"{context.node_id}/{context.incarnation}")
        )
        self._runs: set[Run] = set()
        self._bodies: set[BodyReader] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._sweeping = False
        self._held = 0
        self._sequence = 0
        name = f"{context.node_id}-{context.incarnation}"
        self._id_start = _UNSAFE.sub("_", name)

    @property
    def in_flight(self) -> int:
        """Number of requests whose answer is not with its caller yet.

        Runs that outlive their callers count as well.
        """
        return self._held

    @property
    def open_bodies(self) -> int:
        """Number of requests whose body is still on its way."""
        return len(self._bodies)

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Counts a request as one in progress."""
        self._held += 1
        try:
            yield
        finally:
            self._held -= 1

    def list_runs(self) -> tuple[Run, ...]:
        """Returns the requests in progress."""
        return tuple(self._runs)

    def make_request_id(self) -> str:
        """Returns an identity that no other request of any node has."""
        self._sequence += 1
        return f"{self._id_start}-{self._sequence}"

    def add_run(self, run: Run) -> None:
        """Looks after a run until it is removed."""
        self._runs.add(run)
        self._sweep_later()

    def remove_run(self, run: Run) -> None:
        """Stops looking after a run."""
        self._runs.discard(run)

    def await_body(self, reader: BodyReader) -> None:
        """Looks after a request until its body has come."""
        self._bodies.add(reader)
        self._sweep_later()

    def forget_body(self, reader: BodyReader) -> None:
        """Stops looking after the body of a request."""
        self._bodies.discard(reader)

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs something that nobody waits for."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_attempt(self, address: str, attempt: str) -> None:
        """Asks an engine to stop an attempt that nobody wants any more."""
        self.start_task(self.context.engine.cancel(address, attempt))

    def holds(self, endpoint: Endpoint) -> bool:
        """Tells whether a group still works on what it was sent."""
        return self.context.holds(endpoint, self.context.now())

    async def transmit(self, transfer: Transfer) -> TransferEnd:
        """Runs a transfer to its end."""
        with self._curls.borrow() as client:
            return await transfer.run(client)

    def close(self) -> None:
        """Closes all connections to backend servers."""
        self._curls.close()

    def _sweep_later(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            loop = asyncio.get_running_loop()
            loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Looks at all requests in progress."""
        self._sweeping = False
        if self._runs or self._bodies:
            self._sweep_later()
        now = self.context.now()
        self.gate.sweep(now)
        for run in self.list_runs():
            run.check(now)
        for reader in tuple(self._bodies):
            reader.check_body(now)

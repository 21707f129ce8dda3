"""The task that sends orders to model engines."""

import asyncio
from typing import NamedTuple

from returns.result import Success

from chervilrock.clients.base import ModelEngine
from chervilrock.generated.interfaces import EngineOrder
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.mailbox import Mailbox, Outbox
from chervilrock.tasks.messages import OrderAnswered


class OrderRequest(NamedTuple):
    """An order to send.

    Attributes:
      valid_until: end of the lease under which the order was decided; a later
        order is dropped
    """

    host: str
    address: str
    order: EngineOrder
    valid_until: float


class OrderTask:
    """Sends orders and reports the answers by `OrderAnswered` messages.

    The lease is checked again right before each order is sent, since the
    process may have been paused after the decision.
    """

    def __init__(
        self,
        *,
        engine: ModelEngine,
        clock: Clock,
        outbox: Outbox[OrderAnswered],
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._outbox = outbox
        self._running: set[asyncio.Task[None]] = set()
        self.inbox: Mailbox[OrderRequest] = Mailbox()

    async def run(self) -> None:
        """Send orders until cancelled."""
        while True:
            request = await self.inbox.receive()
            task = asyncio.create_task(self._send(request))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _send(self, request: OrderRequest) -> None:
        sent_at = self._clock()
        if sent_at >= request.valid_until:
            return
        result = await self._engine.order(request.address, request.order)
        accepted = None
        state = None
        if isinstance(result, Success):
            answer = result.unwrap()
            accepted = answer.accepted
            state = answer.state
        self._outbox.offer(
            OrderAnswered(
                host=request.host,
                order=request.order,
                accepted=accepted,
                state=state,
                sent_at=sent_at,
                ended_at=self._clock(),
            )
        )

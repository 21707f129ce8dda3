"""Bounded queues between tasks.

A task reads its own mailbox and writes to those of other tasks. Messages that
may be lost are put with `offer`, which never blocks the writer: when the
mailbox is full, the oldest message is dropped and counted. Messages that must
not be lost are put with `send`, which waits.
"""

import asyncio
from typing import Generic, Protocol, TypeVar

Message = TypeVar("Message")
Sent = TypeVar("Sent", contravariant=True)

DEFAULT_SIZE = 1024


class Outbox(Protocol[Sent]):
    """The mailbox of another task, as its writers see it."""

    async def send(self, message: Sent) -> None:
        """Put a message; wait while the mailbox is full."""

    def offer(self, message: Sent) -> None:
        """Put a message; drop the oldest one when the mailbox is full."""


class Mailbox(Generic[Message]):
    """A bounded queue of messages for one task.

    Attributes:
      dropped: messages dropped since the start
    """

    def __init__(self, *, size: int = DEFAULT_SIZE) -> None:
        self._queue: asyncio.Queue[Message] = asyncio.Queue(maxsize=size)
        self.dropped = 0

    async def send(self, message: Message) -> None:
        """Put a message; wait while the mailbox is full."""
        await self._queue.put(message)

    def offer(self, message: Message) -> None:
        """Put a message; drop the oldest one when the mailbox is full."""
        if self._queue.full():
            self._queue.get_nowait()
            self.dropped += 1
        self._queue.put_nowait(message)

    async def receive(self) -> Message:
        """Wait for the next message and return it."""
        return await self._queue.get()

    async def receive_within(self, timeout_s: float) -> Message | None:
        """Return the next message, or None when the timeout expires.

        `asyncio.wait_for` of Python 3.11 loses a cancellation that coincides
        with a message, so that its task would never end.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._queue.get()
        except TimeoutError:
            return None

    def receive_waiting(self) -> tuple[Message, ...]:
        """Return all messages in the queue without waiting."""
        waiting = []
        while not self._queue.empty():
            waiting.append(self._queue.get_nowait())
        return tuple(waiting)

    def __len__(self) -> int:
        return self._queue.qsize()

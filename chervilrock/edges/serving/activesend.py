"""The send of a request that is in progress."""

import asyncio
from typing import Any

from chervilrock.clients.curlpool import CurlPool
from chervilrock.decisions.serving.admission.attempts import SendOutcome
from chervilrock.decisions.serving.groups.stalls import StallDetector
from chervilrock.edges.relay import Transfer, TransferEnd
from chervilrock.edges.serving.connection import HeldBody

SILENT_SEND_S = 1.0
"""Time without a byte of the answer after which a send counts as silent."""


class ActiveSend:
    """Runs the sends of a request one after the other.

    Attributes:
      transfer: the transfer in progress, None between two sends.
    """

    def __init__(
        self, *, request_id: str, body: HeldBody, pool: CurlPool, now: float
    ) -> None:
        """Create the sends of a request that has not been sent.

        Args:
          request_id: identifier of the request.
          body: counts the body of the request.
          pool: clients that the transfers borrow.
          now: current time.
        """
        self._request_id = request_id
        self._body = body
        self._pool = pool
        self._detector: StallDetector | None = None
        self._interrupted: asyncio.Future[SendOutcome] | None = None
        self._progress_at = now
        self.transfer: Transfer | None = None

    async def run(
        self,
        transfer: Transfer,
        *,
        detector: StallDetector | None,
        now: float,
        until: float,
    ) -> TransferEnd | SendOutcome:
        """Wait for the end of a transfer, an interruption or the time limit.

        An abandoned transfer ends by itself, and nothing waits for it.

        Args:
          transfer: the transfer.
          detector: stall detector of the group that gets it, None for none.
          now: current time.
          until: time limit.
        """
        loop = asyncio.get_running_loop()
        self.transfer = transfer
        self._progress_at = now
        self._interrupted = loop.create_future()
        if detector is not None:
            detector.record_sent(self._request_id, now)
        self._detector = detector
        running = loop.create_task(self._borrow_and_run(transfer))
        # An abandoned transfer may outlive the exchange.
        self._body.hold(running)
        _RUNNING.add(running)
        running.add_done_callback(_RUNNING.discard)
        try:
            waits: set[asyncio.Future[Any]] = {running, self._interrupted}
            await asyncio.wait(
                waits,
                timeout=max(0.0, until - now),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            if detector is not None:
                detector.record_end(self._request_id)
            self.transfer = self._detector = None
            interrupted, self._interrupted = self._interrupted, None
        if running.done():
            return running.result()
        transfer.abandon()
        return interrupted.result() if interrupted.done() else SendOutcome.LOST

    async def _borrow_and_run(self, transfer: Transfer) -> TransferEnd:
        with self._pool.borrow() as client:
            return await transfer.run(client)

    def interrupt(self, outcome: SendOutcome) -> None:
        """End the send in progress, if any, with an outcome."""
        interrupted = self._interrupted
        if interrupted is not None and not interrupted.done():
            interrupted.set_result(outcome)
        if self.transfer is not None:
            self.transfer.abandon()

    def pause(self) -> None:
        """Read no more of the answer.

        A paused stream says nothing about the progress of its group.
        """
        if self.transfer is not None:
            self.transfer.pause()
        if self._detector is not None:
            self._detector.record_end(self._request_id)

    def resume(self, now: float) -> None:
        """Read the answer again."""
        self._progress_at = now
        if self._detector is not None:
            self._detector.record_sent(self._request_id, now)
        if self.transfer is not None:
            self.transfer.resume()

    def record_progress(self, now: float) -> None:
        """Record that a part of the answer was received."""
        self._progress_at = now

    def find_silence(self, now: float) -> float | None:
        """Return for how many seconds the server has sent nothing.

        Returns:
          None without a send in progress.
        """
        return None if self.transfer is None else now - self._progress_at

    def is_silent(self, now: float) -> bool:
        """Return whether nothing was received for a while."""
        return now - self._progress_at >= SILENT_SEND_S


_RUNNING: set["asyncio.Task[TransferEnd]"] = set()
"""Transfers that are running, including abandoned ones until they end."""

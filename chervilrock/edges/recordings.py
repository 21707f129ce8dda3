"""Recorded answers that are shared by callers and outlive them."""

import asyncio

from chervilrock.decisions.requests.runregistry import (
    MAX_ANSWER_BYTES,
    RecordedAnswer,
)
from chervilrock.edges.errors import CallerError
from chervilrock.edges.relay import Transfer
from chervilrock.edges.sinks import AnswerHead, AnswerSink


class RecordingSink(AnswerSink):
    """Records an answer and forwards it to its followers.

    Attributes:
      ended: future that is done once the answer is complete or has failed.
      error: error of a failed answer, None while it runs and after success.
    """

    def __init__(self, *, max_bytes: int = MAX_ANSWER_BYTES) -> None:
        """Creates an empty recording.

        Args:
          max_bytes: size limit of the recording; a larger answer is dropped.
        """
        self._max_bytes = max_bytes
        self._head: AnswerHead | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._followers: list[AnswerSink] = []
        self._transfer: Transfer | None = None
        self.ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.error: CallerError | None = None

    @property
    def blocked_since(self) -> float | None:
        """Start of the longest block of any follower; see base class."""
        since = [
            follower.blocked_since
            for follower in self._followers
            if follower.blocked_since is not None
        ]
        return min(since, default=None)

    @property
    def is_complete(self) -> bool:
        """Whether the recording contains all of the answer so far."""
        return self._size <= self._max_bytes

    def follow(self, sink: AnswerSink) -> bool:
        """Forwards the answer to a sink from its beginning.

        Returns:
          False if the recording was dropped because of its size.
        """
        if not self.is_complete:
            return False
        if self._head is not None:
            sink.start(self._head)
            if self._chunks:
                sink.write(b"".join(self._chunks))
        sink.attach(self._transfer)
        self._followers.append(sink)
        return True

    def unfollow(self, sink: AnswerSink) -> None:
        """Removes a follower."""
        if sink in self._followers:
            self._followers.remove(sink)

    def make_record(self) -> RecordedAnswer | None:
        """Returns the complete answer, None if it failed or was dropped."""
        if self._head is None or self.error is not None or not self.is_complete:
            return None
        return RecordedAnswer(
            status=self._head.status,
            headers=self._head.headers,
            body=b"".join(self._chunks),
            events=self._head.events,
        )

    def start(self, head: AnswerHead) -> None:
        """See base class."""
        self.started = True
        self._head = head
        for follower in self._followers:
            follower.start(head)

    def write(self, data: bytes) -> None:
        """See base class."""
        self._size += len(data)
        if self.is_complete:
            self._chunks.append(data)
        else:
            self._chunks.clear()
        for follower in self._followers:
            follower.write(data)

    def finish(self) -> None:
        """See base class."""
        for follower in self._followers:
            follower.finish()
        self._end()

    def fail(self, error: CallerError, *, may_retry: bool) -> None:
        """See base class."""
        self.error = error
        for follower in self._followers:
            follower.fail(error, may_retry=may_retry)
        self._end()

    def abort(self) -> None:
        """Aborts the followers that read too slowly; the run continues."""
        for follower in list(self._followers):
            if follower.blocked_since is not None:
                follower.abort()
                self.unfollow(follower)

    def attach(self, transfer: Transfer | None) -> None:
        """See base class."""
        self._transfer = transfer
        for follower in self._followers:
            follower.attach(transfer)

    def _end(self) -> None:
        self._followers.clear()
        if not self.ended.done():
            self.ended.set_result(None)


def replay(record: RecordedAnswer, sink: AnswerSink) -> None:
    """Sends a recorded answer to a caller."""
    head = AnswerHead(
        status=record.status, headers=record.headers, events=record.events
    )
    sink.answer(head, record.body)

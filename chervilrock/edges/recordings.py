"""Answers that several callers get, and that outlive their callers."""

import asyncio

from chervilrock.decisions.requests.runregistry import (
    MAX_ANSWER_BYTES,
    RecordedAnswer,
)
from chervilrock.edges.errors import CallerError
from chervilrock.edges.relay import Transfer
from chervilrock.edges.sinks import AnswerHead, AnswerSink


class RecordingSink(AnswerSink):
    """Keeps an answer, and passes it on to those who follow it.

    Attributes:
      ended: is done once the answer is whole or has failed.
      error: error of a failed answer, None before and for a whole one.
    """

    def __init__(self, *, max_bytes: int = MAX_ANSWER_BYTES) -> None:
        """Starts an empty recording.

        Args:
          max_bytes: greatest answer that is kept.
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
        """See base class; the longest time of any follower."""
        since = [
            follower.blocked_since
            for follower in self._followers
            if follower.blocked_since is not None
        ]
        return min(since, default=None)

    @property
    def kept(self) -> bool:
        """Whether all of the answer so far is kept."""
        return self._size <= self._max_bytes

    def follow(self, sink: AnswerSink) -> bool:
        """Passes the answer on to a sink, from its beginning.

        Returns:
          False when the beginning is not kept any more.
        """
        if not self.kept:
            return False
        if self._head is not None:
            sink.start(self._head)
            if self._chunks:
                sink.write(b"".join(self._chunks))
        sink.attach(self._transfer)
        self._followers.append(sink)
        return True

    def unfollow(self, sink: AnswerSink) -> None:
        """Takes note that a follower is gone."""
        if sink in self._followers:
            self._followers.remove(sink)

    def make_record(self) -> RecordedAnswer | None:
        """Returns the whole answer, None when it failed or is not kept."""
        if self._head is None or self.error is not None or not self.kept:
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
        if self.kept:
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

    def cut(self) -> None:
        """Cuts the followers that read too slowly; the run goes on."""
        for follower in list(self._followers):
            if follower.blocked_since is not None:
                follower.cut()
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
    """Gives a recorded answer to a caller."""
    head = AnswerHead(
        status=record.status, headers=record.headers, events=record.events
    )
    sink.answer(head, record.body)

"""Faults of the program that a node survives: they are logged and counted.

What other programs write can bring a fault to light. The node goes on without
the record, message or call, since it would meet the same one at each start.
"""

import collections
from collections.abc import Callable, Iterator
import contextlib
import enum
import traceback

from chervilrock.clients.serving import KeyedRecord, Topic
from chervilrock.decisions.decoding import UnreadableError
from chervilrock.events import emit, Event
from chervilrock.tasks.serving.messages import RecordsRead

MAX_FRAMES = 16
"""Innermost functions that a log line names."""


class Work(enum.StrEnum):
    """What a node did when a fault occurred."""

    RECORD = "record"
    MESSAGE = "message"
    CALL = "call"
    REQUEST = "request"


class Faults:
    """Lets the work of a node go on after an unexpected exception.

    Attributes:
      counts: number of faults for each kind of work.
      unreadable: number of records of each topic that could not be decoded.
    """

    def __init__(self) -> None:
        """Create an object without faults."""
        self.counts: collections.Counter[Work] = collections.Counter()
        self.unreadable: collections.Counter[Topic] = collections.Counter()

    def count_by_work(self) -> dict[str, int]:
        """Return the number of faults for each kind of work."""
        return {work.value: self.counts[work] for work in Work}

    def count_unreadable(self) -> dict[str, int]:
        """Return the number of records of each topic without a valid value."""
        return {topic.value: self.unreadable[topic] for topic in Topic}

    def record(self, work: Work, name: str, error: Exception) -> None:
        """Log and count a fault.

        Args:
          work: what the node did.
          name: which one, such as the key of a record.
          error: the exception.
        """
        self.counts[work] += 1
        emit(
            Event.FAULT_SURVIVED,
            work=work.value,
            name=name,
            error=repr(error),
            place=find_place(error),
        )

    def record_unreadable(self, topic: Topic, key: str, reason: str) -> None:
        """Log and count a record that cannot be decoded."""
        self.unreadable[topic] += 1
        emit(Event.RECORD_UNREADABLE, topic=topic.value, key=key, reason=reason)

    @contextlib.contextmanager
    def survive(self, work: Work, name: str) -> Iterator[None]:
        """Continue behind the block if it raises."""
        try:
            yield
        except Exception as error:
            self.record(work, name, error)

    def apply_records(
        self, read: RecordsRead, apply: Callable[[KeyedRecord], None]
    ) -> bool:
        """Apply each record by itself, and pass over those that cannot be.

        Args:
          read: records of a topic.
          apply: applies one; `UnreadableError` tells that it cannot be decoded.

        Returns:
          Whether there was no fault; a record that cannot be decoded is none.
        """
        faults = self.counts[Work.RECORD]
        for record in read.page.records:
            name = f"{read.topic.value} {record.key}"
            with self.survive(Work.RECORD, name):
                try:
                    apply(record)
                except UnreadableError as error:
                    self.record_unreadable(read.topic, record.key, str(error))
        return self.counts[Work.RECORD] == faults


def find_place(error: BaseException) -> str:
    """Return the functions and lines through which an exception came."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " ".join(f"{frame.name}:{frame.lineno}" for frame in frames)

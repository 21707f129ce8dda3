"""Streams of the log service stand-in."""

import collections
from typing import NamedTuple

import msgspec


class StoredBytes(NamedTuple):
    """A record as the log service stores it.

    Attributes:
      at: time of the append in seconds.
      data: record in JSON, not decoded.
    """

    offset: int
    at: float
    data: msgspec.Raw


class LogStream:
    """One stream with offsets from 1 and bounded retention."""

    def __init__(self, *, keep_count: int, keep_s: float) -> None:
        """Creates an empty stream.

        Args:
          keep_count: maximum number of records kept.
          keep_s: time in seconds that a record is kept.
        """
        self.next_offset = 1
        self._keep_count = keep_count
        self._keep_s = keep_s
        self._records: collections.deque[StoredBytes] = collections.deque()

    @property
    def first_offset(self) -> int:
        """Lowest offset that is still kept."""
        return self.next_offset - len(self._records)

    def append(
        self, records: tuple[msgspec.Raw, ...], now: float
    ) -> tuple[int, ...]:
        """Appends a batch and returns its offsets."""
        start = self.next_offset
        for data in records:
            self._records.append(StoredBytes(self.next_offset, now, data))
            self.next_offset += 1
        self.expire(now)
        return tuple(range(start, self.next_offset))

    def read(self, start: int, limit: int) -> tuple[StoredBytes, ...]:
        """Returns at most `limit` kept records from an offset on."""
        skip = max(0, start - self.first_offset)
        end = min(len(self._records), skip + limit)
        return tuple(self._records[index] for index in range(skip, end))

    def expire(self, now: float) -> None:
        """Drops the records beyond the retention limits."""
        records = self._records
        while len(records) > self._keep_count or (
            records and records[0].at < now - self._keep_s
        ):
            records.popleft()

    def trim(self, first_offset: int) -> None:
        """Drops the records below an offset."""
        while self._records and self._records[0].offset < first_offset:
            self._records.popleft()

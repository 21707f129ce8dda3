"""Prefix cache of the engine stand-in and its event feed."""

import collections
from typing import NamedTuple

from chervilrock.clients.base import CacheEventPage
from chervilrock.generated.interfaces import CacheEvent

_MAX_EVENTS = 4096


class _TimedEvent(NamedTuple):
    recorded_at_s: float
    event: CacheEvent


class PrefixCache:
    """Least recently used cache of prefix blocks."""

    def __init__(self, *, capacity: int, lag_s: float) -> None:
        """Creates an empty cache.

        Args:
          capacity: maximum number of blocks.
          lag_s: delay in seconds before an event can be read.
        """
        self._capacity = capacity
        self._lag_s = lag_s
        self._blocks: collections.OrderedDict[str, None]
        self._blocks = collections.OrderedDict()
        self._events: collections.deque[_TimedEvent]
        self._events = collections.deque(maxlen=_MAX_EVENTS)
        self._next_sequence = 1

    @property
    def used(self) -> float:
        """Share of the capacity in use, 0 to 1."""
        return len(self._blocks) / max(1, self._capacity)

    def store(
        self, blocks: tuple[str, ...], now: float, *, drop: bool = False
    ) -> int:
        """Stores the prefix blocks of a prompt.

        Args:
          blocks: hashes of the blocks in order.
          now: current time in seconds.
          drop: whether the events of this call are lost.

        Returns:
          The number of leading blocks that were already cached.
        """
        hits = self._count_hits(blocks)
        for block in blocks:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._append_event(block, True, now, drop)
            self._evict(now, drop)
        return hits

    def clear(self) -> None:
        """Removes all blocks without an event, as a restart does."""
        self._blocks.clear()

    def list_events(self, start: int, now: float) -> CacheEventPage:
        """Returns the readable events from a sequence number on."""
        readable = tuple(
            timed.event
            for timed in self._events
            if timed.event["sequence"] >= start
            and timed.recorded_at_s <= now - self._lag_s
        )
        next_sequence = readable[-1]["sequence"] + 1 if readable else start
        return CacheEventPage(events=readable, next=next_sequence)

    def _count_hits(self, blocks: tuple[str, ...]) -> int:
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def _evict(self, now: float, drop: bool) -> None:
        if len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._append_event(block, False, now, drop)

    def _append_event(
        self, block: str, stored: bool, now: float, drop: bool
    ) -> None:
        sequence = self._next_sequence
        self._next_sequence += 1
        if not drop:
            event = CacheEvent(sequence=sequence, block=block, stored=stored)
            self._events.append(_TimedEvent(now, event))

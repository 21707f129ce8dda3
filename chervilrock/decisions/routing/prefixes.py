"""What a node believes to be in the KV caches of the groups.

The node remembers the prefixes of the prompts that it sent, and follows the
cache events of the engines. Both are hints: an engine drops blocks when it
needs room, and events come late and with gaps. So each entry expires, and the
index holds a bounded number of blocks, the latest used.
"""

import collections
from collections.abc import Sequence

CAPACITY = 8_192
"""Blocks that the index remembers; it takes about 4 MB when it is full."""

LIFETIME_S = 120.0
"""Time after which an entry that was not confirmed no longer counts."""

SAMPLING = 4
"""One block in this many is remembered, chosen by its hash.

The last block of an own prompt is remembered as well, since the next turn of
a conversation goes on from there, and the first one.
"""


def is_sampled(block: int) -> bool:
    """Tell whether a block is one of those that are remembered."""
    return block % SAMPLING == 0


class PrefixIndex:
    """Blocks and the groups that are believed to hold them."""

    def __init__(self, *, capacity: int = CAPACITY) -> None:
        """Start empty.

        Args:
          capacity: greatest number of blocks.
        """
        self._capacity = capacity
        self._holders: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of blocks."""
        return len(self._holders)

    def add_prompt(self, blocks: Sequence[int], group: str, now: float) -> None:
        """Learn that a group computes a prompt with these prefix blocks."""
        last = len(blocks) - 1
        for index, block in enumerate(blocks):
            if index in (0, last) or is_sampled(block):
                self.add(block, group, now)

    def add(self, block: int, group: str, now: float) -> None:
        """Learn that a group holds a block."""
        holders = self._holders.setdefault(block, {})
        holders[group] = now + LIFETIME_S
        self._holders.move_to_end(block)
        while len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def discard(self, block: int, group: str) -> None:
        """Learn that a group no longer holds a block."""
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.pop(group, None)
        if not holders:
            del self._holders[block]

    def discard_group(self, group: str) -> None:
        """Learn that a group holds nothing."""
        for block in list(self._holders):
            self.discard(block, group)

    def match(self, blocks: Sequence[int], now: float) -> dict[str, int]:
        """Return how many leading blocks each group is believed to hold.

        Groups that hold none are left out.
        """
        depths: dict[str, int] = {}
        for depth in range(len(blocks), 0, -1):
            holders = self._holders.get(blocks[depth - 1])
            if holders is None:
                continue
            for group, expires in holders.items():
                if expires > now and group not in depths:
                    depths[group] = depth
        return depths

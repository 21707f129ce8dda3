"""Index of the prefix blocks in the KV caches of the groups.

The index is built from the prompts that this node sent and from the cache
events of the engines. Both are hints: an engine evicts blocks when it needs
memory, and events arrive late and with gaps. So each entry expires, and the
index keeps a bounded number of blocks and evicts the least recently added.
"""

import collections
from collections.abc import Sequence

CAPACITY_BLOCKS = 8_192
"""Greatest number of blocks in the index, which then takes about 4 MB."""

ENTRY_LIFETIME_S = 120.0
"""Time after which an entry expires unless it is added again."""

SAMPLING_MODULUS = 4
"""One block in this many is indexed, chosen by its hash.

The first and the last block of an own prompt are indexed as well. The next
turn of a conversation extends the prompt after its last block.
"""


def is_sampled(block: int) -> bool:
    """Return whether the sampling by hash includes a block."""
    return block % SAMPLING_MODULUS == 0


class PrefixIndex:
    """Blocks, and the groups that probably cache them."""

    def __init__(self, *, capacity: int = CAPACITY_BLOCKS) -> None:
        """Create an empty index.

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
        """Record that a group computes a prompt with these prefix blocks."""
        last = len(blocks) - 1
        for index, block in enumerate(blocks):
            if index in (0, last) or is_sampled(block):
                self.add(block, group, now)

    def add(self, block: int, group: str, now: float) -> None:
        """Record that a group caches a block."""
        holders = self._holders.setdefault(block, {})
        holders[group] = now + ENTRY_LIFETIME_S
        self._holders.move_to_end(block)
        while len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def discard(self, block: int, group: str) -> None:
        """Record that a group no longer caches a block."""
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.pop(group, None)
        if not holders:
            del self._holders[block]

    def discard_group(self, group: str) -> None:
        """Record that a group caches no block."""
        for block in list(self._holders):
            self.discard(block, group)

    def match(self, blocks: Sequence[int], now: float) -> dict[str, int]:
        """Return how many leading blocks each group probably caches.

        Groups that cache none are left out.
        """
        depths: dict[str, int] = {}
        for depth in range(len(blocks), 0, -1):
            holders = self._holders.get(blocks[depth - 1])
            if holders is None:
                continue
            for group, expires_at in holders.items():
                if expires_at > now and group not in depths:
                    depths[group] = depth
        return depths

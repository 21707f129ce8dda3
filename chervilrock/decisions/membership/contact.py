"""Whether a node may judge others: a node cut off must first look around.

A node that was paused or cut off has old news of all others. When it is back
it would call live nodes dead, and tell other data centres so. So it speaks
for its data centre only after a neighbour agrees with it, or after it has
been in touch for as long as it takes to notice a dead node.
"""


class Contact:
    """When this node was in touch with other nodes."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._last = 0.0
        self._agreed: float | None = None

    def note_exchange(self, now: float, gap_s: float) -> None:
        """Note an exchange with any node.

        Args:
          now: present time
          gap_s: longest time without exchange in seconds
        """
        if self._since is None or now - self._last > gap_s:
            self._since = now
            self._agreed = None
        self._last = now

    def note_agreement(self, now: float) -> None:
        """Note that a neighbour sees the same members as this node."""
        self._agreed = now

    def is_settled(self, now: float, settle_s: float) -> bool:
        """Say whether this node has been in touch for so long, or agrees.

        Args:
          now: present time
          settle_s: time in seconds after which nobody has to agree; also the
            greatest age of an agreement
        """
        if self._since is None or now - self._last > settle_s:
            return False
        if now - self._since >= settle_s:
            return True
        return self._agreed is not None and now - self._agreed <= settle_s

    def is_in_touch(self, now: float, gap_s: float) -> bool:
        """Say whether there was an exchange lately."""
        return self._since is not None and now - self._last <= gap_s

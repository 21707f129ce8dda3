"""Whether a node has enough recent contact to report for its data centre.

A node that was paused or isolated has outdated state of all others. When it
recovers it would report live nodes as dead to other data centres. It therefore
reports for its data centre only after a neighbour agrees with its members, or
after it has exchanged for as long as the detection of a dead node takes.
"""


class Contact:
    """Tracks when this node exchanged with other nodes."""

    def __init__(self) -> None:
        self._connected_since: float | None = None
        self._last_exchange_at = 0.0
        self._agreed_at: float | None = None

    def record_exchange(self, now: float, gap_s: float) -> None:
        """Record an exchange with any node.

        Args:
          now: present time
          gap_s: seconds without an exchange after which contact begins anew
        """
        if (
            self._connected_since is None
            or now - self._last_exchange_at > gap_s
        ):
            self._connected_since = now
            self._agreed_at = None
        self._last_exchange_at = now

    def record_agreement(self, now: float) -> None:
        """Record that a neighbour has the same members as this node."""
        self._agreed_at = now

    def is_stable(self, now: float, stable_after_s: float) -> bool:
        """Return whether contact has lasted long enough or a neighbour agrees.

        Args:
          now: present time
          stable_after_s: seconds of contact after which no agreement is
            needed; also the maximum age of an agreement
        """
        if (
            self._connected_since is None
            or now - self._last_exchange_at > stable_after_s
        ):
            return False
        if now - self._connected_since >= stable_after_s:
            return True
        return (
            self._agreed_at is not None
            and now - self._agreed_at <= stable_after_s
        )

    def has_recent_exchange(self, now: float, gap_s: float) -> bool:
        """Return whether the last exchange was at most `gap_s` seconds ago."""
        return (
            self._connected_since is not None
            and now - self._last_exchange_at <= gap_s
        )

"""When a node requests a configuration from another node.

Nodes read configurations from the store, which delivers each of them within
some milliseconds. Only a node that the store rejects, or whose connection to
the store is unresponsive, needs one from another node. A document can be
large: a leader that attached the document to an announcement whenever the last
answer of a node had an older revision would send it to nearly all nodes,
although they have read it from the store in the meantime.
"""

from typing import TYPE_CHECKING

from chervilrock.decisions.serving.view import NodeEntry

if TYPE_CHECKING:
    import random

STORE_WAIT_S = 0.4
"""Time for which a node waits for the store after a newer revision was
announced. Together with the interval between two announcements this is well
below the 3 s within which a configuration has to be in force."""

RETRY_INTERVAL_S = 0.3
"""Time between two requests for a configuration to other nodes."""


NO_REVISION = -1
"""Revision of a node that has no configuration."""


class RevisionTracker:
    """Tracks revisions that are not in force on this node yet."""

    def __init__(self) -> None:
        """Create a tracker without a reported revision."""
        self._newest_reported = NO_REVISION
        self._own = NO_REVISION
        self._behind_since = float("inf")
        self._last_attempt = float("-inf")
        self._attempts = 0

    def record_reported(self, revision: int, own: int, now: float) -> None:
        """Record the revision that another node reported.

        The wait for the store starts with the first newer revision that was
        reported since the revision in force on this node last changed. If each
        newer revision restarted it, a node that gets nothing from the store
        would wait for as long as changes follow each other faster than the
        wait lasts: 5.4 s instead of 0.4 s with one change each 0.24 s for 5 s.

        Args:
          revision: revision in force on the other node.
          own: revision in force on this node.
          now: current time.
        """
        has_changed = own != self._own
        self._own = own
        self._newest_reported = max(self._newest_reported, revision)
        if self._newest_reported <= own:
            self._behind_since = float("inf")
        elif has_changed or self._behind_since == float("inf"):
            self._behind_since = now
            self._attempts = 0

    def find_lag(self, own: int, now: float) -> float:
        """Return the seconds for which a newer revision has been known.

        Args:
          own: revision in force on this node.
          now: current time.
        """
        if self._newest_reported <= own or self._behind_since == float("inf"):
            return 0.0
        return now - self._behind_since

    def is_due(self, own: int, now: float, *, is_reading: bool = True) -> bool:
        """Return whether to request a configuration from another node now.

        Args:
          own: revision in force on this node. A node without one
            (`NO_REVISION`) cannot serve and requests one at once.
          now: current time.
          is_reading: whether the node may get the revision from the store;
            if not, it sends the request at once as well.
        """
        if (
            self._newest_reported <= own
            or now - self._last_attempt < RETRY_INTERVAL_S
        ):
            return False
        if own == NO_REVISION or not is_reading:
            return True
        return now - self._behind_since >= STORE_WAIT_S

    def choose_source(
        self,
        near: tuple[NodeEntry, ...],
        holder: NodeEntry | None,
        generator: "random.Random",
        now: float,
    ) -> NodeEntry | None:
        """Return the node to send the request to, and count the attempt.

        Nodes of the same data centre come first, since documents are large.
        The store may reject them as well, so that each second attempt goes to
        the node that reported the revision.

        Args:
          near: other nodes of the same data centre.
          holder: a node that has the revision.
          generator: chooses among the near nodes.
          now: current time.
        """
        self._last_attempt = now
        self._attempts += 1
        if near and (holder is None or self._attempts % 2):
            return generator.choice(near)
        return holder

"""Decision when a node requests a configuration from a peer.

Most nodes read a new configuration from the log before a peer reports it, and
a document is large. Documents are therefore sent only on request, and a node
that follows the log requests one only if the log has not delivered it in time.
"""

from typing import Any

from chervilrock.decisions.decoding import convert, UnreadableError
from chervilrock.decisions.membership.localconfiguration import (
    LocalConfiguration,
)
from chervilrock.generated.records import StoredRecord

LOG_GRACE_S = 1.0
"""Time that a node waits for delivery by the log, in seconds."""


class FetchPolicy:
    """Decides when to request a configuration that peers have."""

    def __init__(self, *, localconfiguration: LocalConfiguration) -> None:
        self._configuration = localconfiguration
        self._peer_revision = 0
        self._peer_revision_at = 0.0

    def record_revision(self, revision: int, now: float) -> None:
        """Record the revision that a peer has in force."""
        known = max(self._peer_revision, self._configuration.revision)
        if revision > known:
            self._peer_revision_at = now
        self._peer_revision = max(self._peer_revision, revision)

    def is_due(self, revision: int, now: float) -> bool:
        """Return whether to request the revision that a peer has in force."""
        if revision <= self._configuration.revision:
            return False
        if not self._configuration.follows_log(now):
            return True
        return now - self._peer_revision_at >= LOG_GRACE_S


def read_configuration(raw: Any) -> StoredRecord | None:
    """Return the record that a digest carries, None if it is invalid."""
    if raw is None:
        return None
    try:
        return convert(raw, StoredRecord)
    except UnreadableError:
        return None

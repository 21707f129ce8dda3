"""When a node asks a peer for a configuration.

Most nodes read a new configuration from the log before they hear of it, and
a document is large. So nobody sends a document unasked, and a node that
follows the log asks only when the log has not brought it for a while.
"""

from typing import Any

import msgspec

from chervilrock.decisions.membership.shelf import ConfigurationShelf
from chervilrock.generated.records import StoredRecord

GRACE_S = 1.0
"""Time that a node leaves to the log, in seconds."""


class ConfigurationWant:
    """Whether a node lacks a configuration that peers have."""

    def __init__(self, *, shelf: ConfigurationShelf) -> None:
        self._shelf = shelf
        self._heard_revision = 0
        self._heard_at = 0.0

    def note_revision(self, revision: int, now: float) -> None:
        """Note the revision that a peer has in force."""
        known = max(self._heard_revision, self._shelf.revision)
        if revision > known:
            self._heard_at = now
        self._heard_revision = max(self._heard_revision, revision)

    def is_due(self, revision: int, now: float) -> bool:
        """Say whether to ask a peer that has a revision in force for it."""
        if revision <= self._shelf.revision:
            return False
        if not self._shelf.follows_log(now):
            return True
        return now - self._heard_at >= GRACE_S


def read_configuration(raw: Any) -> StoredRecord | None:
    """Return the record that a digest carries, None when it is none."""
    if raw is None:
        return None
    try:
        return msgspec.convert(raw, StoredRecord)
    except msgspec.ValidationError:
        return None

"""Idempotency keys as recorded in the log, where the first claim wins."""

import collections
from typing import NamedTuple

from chervilrock.decisions import records
from chervilrock.generated.interfaces import Outcome
from chervilrock.generated.records import (
    KeyClaimed,
    KeyFinished,
    StoredRecord,
)

MAX_KEYS = 50_000
"""Maximum number of keys that a node keeps; the oldest are evicted first."""


class KeyName(NamedTuple):
    """An idempotency key within its workspace."""

    workspace: str
    key: str


class KeyOwner(NamedTuple):
    """Owner of a key according to the log.

    Attributes:
      writer: node and incarnation whose claim came first.
      outcome: how its request ended, empty while that is unknown.
    """

    writer: str
    outcome: str


class KeyFold:
    """Owners of keys, folded from the records of the log."""

    def __init__(self, *, max_keys: int = MAX_KEYS) -> None:
        """Creates a fold without keys.

        Args:
          max_keys: maximum number of keys to keep.
        """
        self._max_keys = max_keys
        self._owners: collections.OrderedDict[KeyName, KeyOwner]
        self._owners = collections.OrderedDict()
        self._seen = records.SeenRecords()

    def __len__(self) -> int:
        """Returns the number of keys that are kept."""
        return len(self._owners)

    def find(self, name: KeyName) -> KeyOwner | None:
        """Returns the owner of a key, None if it has not been claimed."""
        return self._owners.get(name)

    def apply(self, stored: StoredRecord) -> bool:
        """Applies the next record and returns whether it changed a key."""
        record = stored.record
        if not self._seen.add(record.record_id):
            return False
        writer = record.record_id.writer
        body = records.decode_body(record)
        if isinstance(body, KeyClaimed):
            return self._claim(KeyName(body.workspace, body.key), writer)
        if isinstance(body, KeyFinished):
            name = KeyName(body.workspace, body.key)
            return self._finish(name, writer, body.outcome)
        return False

    def _claim(self, name: KeyName, writer: str) -> bool:
        owner = self._owners.get(name)
        if owner is not None and owner.outcome != Outcome.NOT_RUN:
            return False
        self._owners[name] = KeyOwner(writer, "")
        self._owners.move_to_end(name)
        if len(self._owners) > self._max_keys:
            self._owners.popitem(last=False)
        return True

    def _finish(self, name: KeyName, writer: str, outcome: str) -> bool:
        if self._owners.get(name) != KeyOwner(writer, ""):
            return False
        self._owners[name] = KeyOwner(writer, outcome)
        return True

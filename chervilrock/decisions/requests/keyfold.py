"""The log's view of the keys that callers chose: the first claim wins."""

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
"""Most keys that a node remembers; the oldest are forgotten first."""


class KeyName(NamedTuple):
    """A key and whose it is."""

    workspace: str
    key: str


class KeyOwner(NamedTuple):
    """What the log says of a key.

    Attributes:
      writer: node and incarnation whose claim came first.
      outcome: how its request ended, empty while that is not known.
    """

    writer: str
    outcome: str


class KeyFold:
    """Keys as the log says, the first claim of each winning."""

    def __init__(self, *, max_keys: int = MAX_KEYS) -> None:
        """Starts without keys.

        Args:
          max_keys: most keys that are remembered.
        """
        self._max_keys = max_keys
        self._owners: collections.OrderedDict[KeyName, KeyOwner]
        self._owners = collections.OrderedDict()
        self._seen = records.SeenRecords()

    def __len__(self) -> int:
        """Returns the number of keys that are remembered."""
        return len(self._owners)

    def find(self, name: KeyName) -> KeyOwner | None:
        """Returns whose key it is, None when nobody claimed it."""
        return self._owners.get(name)

    def apply(self, stored: StoredRecord) -> bool:
        """Takes the next record; False when it changes nothing."""
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

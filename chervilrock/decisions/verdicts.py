"""Results of applying a record to a fold."""

import enum
from typing import NamedTuple

from chervilrock.decisions.records import Body


class VerdictKind(enum.StrEnum):
    """What a fold did with a record."""

    ACCEPTED = "accepted"
    DUPLICATE = "doubled"
    REJECTED = "rejected"
    SKIPPED = "skipped"


class Reason(enum.StrEnum):
    """Why a record was rejected."""

    UNREADABLE = "unreadable"
    FOREIGN_KIND = "foreign-kind"
    STALE_EPOCH = "stale-epoch"
    STALE_FENCE = "stale-fence"
    STALE_BASE = "stale-base"
    UNKNOWN_GROUP = "unknown-group"
    GROUP_EXISTS = "group-exists"
    WRONG_PHASE = "wrong-phase"
    WRONG_HOSTS = "wrong-hosts"
    HOST_OWNED = "host-owned"
    HOST_NOT_REVOKED = "host-not-revoked"


class Verdict(NamedTuple):
    """Result of applying one record to a fold.

    Attributes:
      kind: outcome; `skipped` for an offset that was already applied
      offset: offset of the record
      reason: set when the record was rejected
      body: typed body, None if it was not decoded
    """

    kind: VerdictKind
    offset: int
    reason: Reason | None = None
    body: Body | None = None

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return self.kind is VerdictKind.ACCEPTED

"""Verdicts of the admission control."""

import enum
from typing import NamedTuple


class RejectCode(enum.StrEnum):
    """Reason for rejecting a request before it was sent to a group."""

    DEADLINE = "deadline_exceeded"
    NO_GROUP = "no_group"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    WORKSPACE_LIMIT = "workspace_limit"


class Admitted(NamedTuple):
    """The request may be sent now.

    Attributes:
      request_id: identity of the request
    """

    request_id: str


class Rejected(NamedTuple):
    """The request is not run; the caller must be answered at once.

    Attributes:
      request_id: identity of the request
      code: reason for the rejection
      retry_after_s: time in seconds after which a slot is expected
    """

    request_id: str
    code: RejectCode
    retry_after_s: float


class Queued(NamedTuple):
    """The request waits until a later call admits or rejects it.

    Attributes:
      request_id: identity of the request
      position: number of waiting requests, this one included
      displaced: requests removed from the full queue to make room for this
        one; their callers must be answered at once
    """

    request_id: str
    position: int
    displaced: tuple[Rejected, ...] = ()


Verdict = Admitted | Queued | Rejected

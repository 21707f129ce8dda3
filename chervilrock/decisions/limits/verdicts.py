"""Verdicts of the admission of requests."""

import enum
from typing import NamedTuple


class RejectCode(enum.StrEnum):
    """Why a request was given up on before it was sent anywhere."""

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
    """The request is not run; the caller must be told at once.

    Attributes:
      request_id: identity of the request
      code: why it is rejected
      retry_after_s: time in seconds after which a place is expected
    """

    request_id: str
    code: RejectCode
    retry_after_s: float


class Queued(NamedTuple):
    """The request waits until a later call admits or rejects it.

    Attributes:
      request_id: identity of the request
      position: requests that wait, this one included
      displaced: requests that lose their place in the full queue to this one
        and must be answered at once
    """

    request_id: str
    position: int
    displaced: tuple[Rejected, ...] = ()


Verdict = Admitted | Queued | Rejected

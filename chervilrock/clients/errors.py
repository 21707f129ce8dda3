"""Errors of requests to the platform and to engines."""

import enum
from typing import NamedTuple


class PlatformErrorKind(enum.StrEnum):
    """Why a request got no usable answer."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    OUTAGE = "outage"
    BAD_ANSWER = "bad_answer"


class PlatformError(NamedTuple):
    """A remote request failed.

    Attributes:
      kind: category of the failure.
      message: cause for the log; not to be parsed.
      retry_after_s: delay in seconds that the remote side requests before a
        retry, 0 when it gave none.
    """

    kind: PlatformErrorKind
    message: str
    retry_after_s: float = 0.0

    @property
    def effect_possible(self) -> bool:
        """Whether the request may have taken effect on the remote side."""
        return self.kind is not PlatformErrorKind.REFUSED

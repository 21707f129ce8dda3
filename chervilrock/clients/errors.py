"""Errors of requests to the platform and to engines."""

import enum
from typing import NamedTuple


class PlatformErrorKind(enum.StrEnum):
    """What is known about a request that got no usable answer."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    OUTAGE = "outage"
    BAD_ANSWER = "bad_answer"


class PlatformError(NamedTuple):
    """A remote request failed.

    Attributes:
      kind: what is known about the request.
      message: cause for the log; not to be parsed.
      retry_after_s: time in seconds that the remote side asks to wait before
        the next try, 0 when it did not say.
    """

    kind: PlatformErrorKind
    message: str
    retry_after_s: float = 0.0

    @property
    def effect_possible(self) -> bool:
        """Whether the request may have taken effect on the remote side."""
        return self.kind is not PlatformErrorKind.REFUSED

"""A request of a caller."""

from typing import NamedTuple

from chervilrock.decisions.serving.messages import RequestFacts


class CallerRequest(NamedTuple):
    """A request as it was received.

    Attributes:
      method: HTTP method.
      target: path and query, unchanged.
      host: value of the Host header.
      headers: all headers.
      body: the body.
      facts: fields read from the headers.
      arrived: time at which its head was received, in seconds of the clock.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    facts: RequestFacts
    arrived: float

    @property
    def has_body(self) -> bool:
        """Whether to send a body; libcurl accepts none for some methods."""
        return bool(self.body) or self.method in ("POST", "PUT", "PATCH")

"""A request of a caller."""

from typing import NamedTuple

from chervilrock.decisions.serving.messages import RequestFacts


class CallerRequest(NamedTuple):
    """A request as it came.

    Attributes:
      method: HTTP method.
      target: path and query, as they came.
      host: value of the header Host.
      headers: all headers.
      body: the body.
      facts: what the headers tell.
      arrived: when its head had come.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    facts: RequestFacts
    arrived: float

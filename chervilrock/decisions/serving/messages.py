"""The relevant contents of the headers of requests and answers."""

import enum
from typing import NamedTuple


class RequestFacts(NamedTuple):
    """Contents of the headers of a request.

    Attributes:
      request_id: identifier of this attempt of the caller.
      key: key of the caller, empty when it sent none.
      deadline_s: seconds for which the caller waits, None when unknown.
      model: requested model, empty for a plain service.
      prompt_tokens: length of the prompt.
      output_tokens: greatest number of tokens to generate.
      last_event: identifier of the last event that the caller has of a
        stream that it resumes, empty otherwise.
      prompt_parts: identifiers of the parts of the prompt that other requests
        may share, in order; the last part is not one of them.
    """

    request_id: str
    key: str
    deadline_s: float | None
    model: str
    prompt_tokens: int
    output_tokens: int
    last_event: str
    prompt_parts: tuple[str, ...] = ()


class StatedLimit(NamedTuple):
    """Rate limit that a server states in an answer.

    Attributes:
      rate: requests a second that the server accepts from all nodes together,
        None without a limit.
      unreadable: value that is given instead of a number, empty for a number.
    """

    rate: float | None
    unreadable: str = ""


class StatedPause(NamedTuple):
    """Time for which a server wants no requests of the node that it answers.

    Attributes:
      seconds: length of the pause, 0 for none.
      unreadable: value that is given instead of a time, empty for a time.
    """

    seconds: float
    unreadable: str = ""


class StatedDeparture(NamedTuple):
    """Whether a server says that it leaves.

    Attributes:
      is_leaving: whether it says so.
      unreadable: value that is neither a yes nor absent, empty otherwise.
    """

    is_leaving: bool
    unreadable: str = ""


class ServerStatement(NamedTuple):
    """What a server states of itself in an answer.

    Attributes:
      limit: its rate limit, None if the answer is from another server than
        the intended one.
      pause: the pause that it asks for.
      departure: whether it says that it leaves.
    """

    limit: StatedLimit | None
    pause: StatedPause
    departure: StatedDeparture


NO_STATEMENT = ServerStatement(
    limit=None, pause=StatedPause(0.0), departure=StatedDeparture(False)
)
"""States nothing, not even that there is no limit."""


class Framing(enum.Enum):
    """What states where the body of an answer ends.

    Attributes:
      LENGTH: its length.
      CHUNKS: the last of its chunks.
      CONNECTION: the end of the connection, whether or not it is complete.
      NO_BODY: its status, which allows no body.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    NO_BODY = "none"


class AnswerFacts(NamedTuple):
    """Contents of the headers of an answer of a server.

    Attributes:
      status: HTTP status.
      request_id: request that it answers, empty when it is not stated.
      has_receipt: whether it carries the proof that the server produced it.
      is_not_run: whether the server states that it did not run the request.
      is_encoded: whether the body was changed on the way.
      is_stream: whether the body is a stream of events.
      statement: what the server states of itself.
      framing: what states where the body ends.
      is_ambiguous: whether it names two requests or has two receipts, as the
        heads of two answers do that were joined.
    """

    status: int
    request_id: str
    has_receipt: bool
    is_not_run: bool
    is_encoded: bool
    is_stream: bool
    statement: ServerStatement = NO_STATEMENT
    framing: Framing = Framing.LENGTH
    is_ambiguous: bool = False


class ForwardedFields(NamedTuple):
    """Fields that a node adds to a request that it forwards to a server.

    Attributes:
      server: identifier of the intended server.
      workspace: workspace of the caller, empty when none is known.
      remaining_s: seconds for which the caller will still wait.
      last_event: last event that the caller has, empty for none.
      urgency: rank for the engine, 0 (first) to 9; None to leave it out.
    """

    server: str
    workspace: str
    remaining_s: float
    last_event: str
    urgency: int | None

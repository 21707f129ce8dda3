"""The relevant contents of the headers of requests and answers."""

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
    """

    request_id: str
    key: str
    deadline_s: float | None
    model: str
    prompt_tokens: int
    output_tokens: int
    last_event: str


class StatedLimit(NamedTuple):
    """Rate limit that a server states in an answer.

    Attributes:
      rate: requests a second that the server accepts from all nodes together,
        None without a limit.
      unreadable: value that is given instead of a number, empty for a number.
    """

    rate: float | None
    unreadable: str = ""


class AnswerFacts(NamedTuple):
    """Contents of the headers of an answer of a server.

    Attributes:
      status: HTTP status.
      request_id: request that it answers, empty when it is not stated.
      has_receipt: whether it carries the proof that the server produced it.
      is_not_run: whether the server states that it did not run the request.
      is_encoded: whether the body was changed on the way.
      is_stream: whether the body is a stream of events.
      limit: rate limit of the server, None if the answer is from another
        server than the intended one.
    """

    status: int
    request_id: str
    has_receipt: bool
    is_not_run: bool
    is_encoded: bool
    is_stream: bool
    limit: StatedLimit | None = None


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

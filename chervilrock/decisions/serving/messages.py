"""What matters of the headers of requests and answers."""

from typing import NamedTuple


class RequestFacts(NamedTuple):
    """What the headers of a request tell.

    Attributes:
      request_id: identifier of this attempt of the caller.
      key: key of the caller, empty when it sent none.
      deadline_s: seconds for which the caller waits, None when unknown.
      model: model that is asked for, empty for a plain service.
      prompt_tokens: length of the prompt.
      output_tokens: greatest number of tokens to write.
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
    """What an answer says of the requests that its server takes.

    Attributes:
      rate: requests a second that it takes from all nodes together, None
        without a limit.
      unreadable: what it names instead of a number, empty if it is one.
    """

    rate: float | None
    unreadable: str = ""


class AnswerFacts(NamedTuple):
    """What the head of a server's answer tells.

    Attributes:
      status: HTTP status.
      request_id: request that it answers, empty when it does not say.
      has_receipt: whether it carries the proof that the server made it.
      is_not_run: whether the server states that it did not run the request.
      is_encoded: whether the body was changed on the way.
      is_stream: whether the body is a stream of events.
      limit: what the server takes, None if the answer is of another server
        than the one that was meant.
    """

    status: int
    request_id: str
    has_receipt: bool
    is_not_run: bool
    is_encoded: bool
    is_stream: bool
    limit: StatedLimit | None = None


class Onward(NamedTuple):
    """What a node adds to a request that it sends to a server.

    Attributes:
      server: identifier of the server that is meant.
      workspace: customer, empty when none is known.
      remaining_s: seconds that the caller goes on waiting.
      last_event: last event that the caller has, empty for none.
      urgency: rank for the engine, 0 (first) to 9; None to leave it out.
    """

    server: str
    workspace: str
    remaining_s: float
    last_event: str
    urgency: int | None

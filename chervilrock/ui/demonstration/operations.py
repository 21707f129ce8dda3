"""The operations of the demonstration and their outcomes."""

import enum
import random
from typing import Any, NamedTuple

import msgspec

from chervilrock.decisions.decoding import Decoder
from chervilrock.generated.configuration import Configuration
from chervilrock.standin.text import expected_text, format_prompt


class OperationKind(enum.StrEnum):
    """Kind of request that a caller sends."""

    STREAM = "stream"
    COMPLETION = "completion"
    LOOKUP = "lookup"
    BOOKING = "booking"


class Ending(enum.StrEnum):
    """Outcome of an operation as its caller sees it."""

    WHOLE = "answered whole"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    FOREIGN = "foreign answer"
    LOST = "lost"


class Operation(NamedTuple):
    """One operation of a caller, which may take several requests.

    Attributes:
      number: unique number of the operation
      path: path of the request URL
      body: JSON body, None for a request without one
      answer: expected text of a complete answer, empty for plain services
    """

    number: int
    kind: OperationKind
    workspace: str
    method: str
    path: str
    body: dict[str, Any] | None
    answer: str

    @property
    def idempotent(self) -> bool:
        """Whether the operation may run more than once."""
        return self.kind is not OperationKind.BOOKING


class Result(NamedTuple):
    """Outcome and cost of one operation.

    Attributes:
      seconds: time from the start of the operation to its outcome
      tries: number of requests that the caller sent
    """

    operation: Operation
    ending: Ending
    seconds: float
    tries: int


class _Delta(msgspec.Struct):
    content: str | None = None


class _EventChoice(msgspec.Struct):
    delta: _Delta


class _Event(msgspec.Struct):
    """An event of a stream."""

    error: Any = None
    choices: tuple[_EventChoice, ...] = ()


class _Message(msgspec.Struct):
    content: str


class _AnswerChoice(msgspec.Struct):
    message: _Message


class _Answer(msgspec.Struct):
    """An answer that was not streamed; it has one choice."""

    choices: tuple[_AnswerChoice]


_EVENT_DECODER = Decoder(_Event)
_ANSWER_DECODER = Decoder(_Answer)

KIND_WEIGHTS = (
    (OperationKind.STREAM, 5),
    (OperationKind.COMPLETION, 2),
    (OperationKind.LOOKUP, 2),
    (OperationKind.BOOKING, 3),
)
MAX_TOKENS_RANGE = (8, 60)


def make_operations(
    configuration: Configuration, count: int, generator: random.Random
) -> tuple[Operation, ...]:
    """Return a mixed workload for the models and services configured."""
    kinds = [kind for kind, _ in KIND_WEIGHTS]
    weights = [weight for _, weight in KIND_WEIGHTS]
    chosen = generator.choices(kinds, weights, k=count)
    return tuple(
        _make_operation(configuration, number, kind, generator)
        for number, kind in enumerate(chosen)
    )


def _make_operation(
    configuration: Configuration,
    number: int,
    kind: OperationKind,
    generator: random.Random,
) -> Operation:
    workspace = generator.choice(configuration["workspaces"])["name"]
    if kind in (OperationKind.LOOKUP, OperationKind.BOOKING):
        service = generator.choice(configuration["services"])["name"]
        booking = kind is OperationKind.BOOKING
        return Operation(
            number=number,
            kind=kind,
            workspace=workspace,
            method="POST" if booking else "GET",
            path=f"/services/{service}/entries/{number}",
            body={"number": number} if booking else None,
            answer="",
        )
    return _make_completion(configuration, number, kind, workspace, generator)


def _make_completion(
    configuration: Configuration,
    number: int,
    kind: OperationKind,
    workspace: str,
    generator: random.Random,
) -> Operation:
    model = generator.choice(configuration["models"])["name"]
    tokens = generator.randint(*MAX_TOKENS_RANGE)
    body = {
        "model": model,
        "messages": [
            {"role": "system", "content": f"You write for {workspace}."},
            {"role": "user", "content": f"Request {number}: write a note."},
        ],
        "max_tokens": tokens,
        "stream": kind is OperationKind.STREAM,
    }
    return Operation(
        number=number,
        kind=kind,
        workspace=workspace,
        method="POST",
        path="/v1/chat/completions",
        body=body,
        answer="".join(expected_text(model, format_prompt(body), tokens)),
    )


def read_stream(body: bytes) -> str | None:
    """Return the text of a streamed answer, None if it is incomplete.

    Raises:
      UnreadableError: an event is no JSON.
    """
    pieces: list[str] = []
    for line in body.decode(errors="replace").splitlines():
        if not line.startswith("data: "):
            continue
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            return "".join(pieces)
        event = _EVENT_DECODER.decode(data)
        if event.error is not None:
            return None
        pieces.extend(choice.delta.content or "" for choice in event.choices)
    return None


def read_completion(body: bytes) -> str:
    """Return the text of an answer that was not streamed.

    Raises:
      UnreadableError: the answer is no JSON.
    """
    return "".join(
        choice.message.content
        for choice in _ANSWER_DECODER.decode(body).choices
    )

"""Operations of callers in recorded runs, and checks of their answers."""

from collections.abc import Iterator
import itertools
import json
import random
from typing import Any, NamedTuple

from bench.history_client import Answer
from chervilrock.standin.history import Repeats, Told
from chervilrock.standin.history_sources import make_mark
from chervilrock.standin.text import expected_text, format_prompt

MAX_TOKENS = (3, 24)
PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5


class Kind(NamedTuple):
    """A kind of operation.

    Attributes:
      path: path of a completion, or of a plain service with `{}` in place
        of its name
      streamed: whether the answer is a stream of events
    """

    path: str
    repeats: Repeats
    streamed: bool = False
    method: str = "POST"

    @property
    def is_completion(self) -> bool:
        """Whether a model answers it."""
        return self.path.startswith("/v1/")


CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"
SERVICE = "/services/{}/entries/"
KINDS = (
    (Kind(CHAT, Repeats.FREELY, streamed=True), 5),
    (Kind(TEXT, Repeats.FREELY, streamed=True), 1),
    (Kind(CHAT, Repeats.FREELY), 2),
    (Kind(CHAT, Repeats.WITH_TICKET, streamed=True), 1),
    (Kind(CHAT, Repeats.WITH_TICKET), 1),
    (Kind(CHAT, Repeats.NEVER, streamed=True), 1),
    (Kind(SERVICE, Repeats.FREELY, method="GET"), 3),
    (Kind(SERVICE, Repeats.WITH_TICKET), 4),
    (Kind(SERVICE, Repeats.WITH_KEY), 2),
    (Kind(SERVICE, Repeats.NEVER), 1),
)


ONCE = frozenset({Repeats.WITH_TICKET, Repeats.WITH_KEY})
"""Kinds of operations that run at most once and may yet be retried."""


class Names(NamedTuple):
    """Names that operations may use."""

    models: tuple[str, ...]
    services: tuple[str, ...]
    workspaces: tuple[str, ...]


class Operation(NamedTuple):
    """One operation of a caller, which may take several attempts."""

    number: int
    kind: Kind
    name: str
    workspace: str
    tokens: int


def make_operations(
    names: Names, generator: random.Random
) -> Iterator[Operation]:
    """Yield an endless mix of operations."""
    kinds = [kind for kind, _ in KINDS]
    weights = [weight for _, weight in KINDS]
    for number in itertools.count(1):
        kind = generator.choices(kinds, weights)[0]
        candidates = names.models if kind.is_completion else names.services
        yield Operation(
            number=number,
            kind=kind,
            name=generator.choice(candidates),
            workspace=generator.choice(names.workspaces),
            tokens=generator.randint(*MAX_TOKENS),
        )


def make_body(operation: Operation, attempt: int) -> dict[str, Any]:
    """Return the body of a completion.

    It is the same in all attempts of an operation that runs at most once.
    """
    if operation.kind.repeats in ONCE:
        attempt = 0
    mark = make_mark(operation.number, attempt)
    body: dict[str, Any] = {
        "model": operation.name,
        "max_tokens": operation.tokens,
        "stream": operation.kind.streamed,
    }
    text = f"You write for {operation.workspace}. Write a note {mark}."
    if operation.kind.path == TEXT:
        return {**body, "prompt": text}
    return {**body, "messages": [{"role": "user", "content": text}]}


class Judged(NamedTuple):
    """The result of checking an answer.

    Attributes:
      wait_s: time to wait before the next attempt, in seconds
    """

    told: Told
    detail: str
    wait_s: float = PAUSE_S


def judge(
    operation: Operation, body: dict[str, Any] | None, answer: Answer
) -> Judged:
    """Compare an answer with the expected one of the operation."""
    if answer.status == 0:
        told = Told.REFUSED if answer.unsent else Told.NOTHING
        return Judged(told, answer.error)
    if answer.outcome:
        return read_error(answer.body)
    if body is None:
        uri = json.loads(answer.body)["uri"]
        whole = uri == f"/entries/{operation.number}"
        return Judged(Told.WHOLE if whole else Told.FOREIGN, uri)
    prompt = format_prompt(body)
    tokens = expected_text(operation.name, prompt, operation.tokens)
    if operation.kind.streamed:
        return judge_stream(answer.body, "".join(tokens))
    choice = json.loads(answer.body)["choices"][0]
    text = choice["message"]["content"]
    whole = text == "".join(tokens)
    return Judged(Told.WHOLE if whole else Told.FOREIGN, text[:80])


def judge_stream(body: bytes, expected: str) -> Judged:
    """Compare a streamed answer with the expected text."""
    text = ""
    for block in body.decode(errors="replace").split("\n\n"):
        fields = dict(line.partition(": ")[::2] for line in block.split("\n"))
        data = fields.get("data", "")
        if fields.get("event") == "error":
            is_prefix = expected.startswith(text)
            foreign = Judged(Told.FOREIGN, text[-80:])
            return read_error(data.encode()) if is_prefix else foreign
        if data == "[DONE]":
            whole = text == expected
            return Judged(Told.WHOLE if whole else Told.FOREIGN, text[-80:])
        if data:
            text += _read_token(data)
    return Judged(Told.CUT, text[-80:])


def _read_token(data: str) -> str:
    try:
        event = json.loads(data)
    except ValueError:
        return ""
    pieces = []
    for choice in event["choices"]:
        pieces.append(choice.get("text") or "")
        pieces.append(choice.get("delta", {}).get("content") or "")
    return "".join(pieces)


def read_error(body: bytes) -> Judged:
    """Return the result that an error body reports."""
    detail = json.loads(body)["error"]
    wait_s = min(LONGEST_PAUSE_S, detail["retry_after_ms"] / 1000)
    told = Told(detail["outcome"])
    return Judged(told, detail["code"], max(PAUSE_S, wait_s))

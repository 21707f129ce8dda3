"""Response bodies and stream events of the engine stand-in.

They have the format that common clients of model engines accept.
"""

from typing import Any, NotRequired, TypedDict

import msgspec

from chervilrock.standin.text import (
    DEFAULT_MAX_TOKENS,
    format_prompt,
    hash_request,
    make_token,
)

DONE_DATA = b"[DONE]"


class StreamOptions(TypedDict):
    """Options of a streamed answer."""

    include_usage: NotRequired[bool]


class Continuation(TypedDict):
    """The part of the answer that the caller has already received.

    Attributes:
      events: number of events received.
      text: text of these events.
    """

    events: int
    text: str


class ChatMessage(TypedDict):
    """A message of a chat."""

    role: str
    content: NotRequired[Any]


class CompletionRequest(TypedDict):
    """Body of a completion or chat request; other members are ignored."""

    model: str
    prompt: NotRequired[Any]
    messages: NotRequired[list[ChatMessage]]
    max_tokens: NotRequired[int | None]
    max_completion_tokens: NotRequired[int | None]
    stream: NotRequired[bool | None]
    stream_options: NotRequired[StreamOptions | None]
    continuation: NotRequired[Continuation | None]


class Answer:
    """The complete answer to a request, determined when it arrives.

    Attributes:
      request_id: identifier of the request.
      prompt: canonical prompt.
      token_count: number of tokens.
      event_count: number of events, without the final `[DONE]` event.
    """

    def __init__(
        self, *, request_id: str, body: CompletionRequest, chat: bool
    ) -> None:
        """Creates the answer.

        Args:
          request_id: identifier of the request.
          body: body of the request.
          chat: whether it is a chat request.
        """
        self.request_id = request_id
        self.model = body["model"]
        self.prompt = format_prompt(body)
        self.token_count = _get_max_tokens(body)
        options = body.get("stream_options") or StreamOptions()
        self._include_usage = options.get("include_usage", False)
        self.event_count = self.token_count + int(self._include_usage)
        self._digest = hash_request(self.model, self.prompt)
        self._chat = chat

    def format_event(self, number: int) -> bytes:
        """Returns an event of the stream.

        Args:
          number: 1 to `event_count`; `event_count + 1` is the `[DONE]` event.
        """
        if number > self.event_count:
            return format_sse(self.request_id, number, DONE_DATA)
        return format_sse(
            self.request_id,
            number,
            msgspec.json.encode(self._make_chunk(number)),
        )

    def join_text(self, event_count: int) -> str:
        """Returns the text of the first `event_count` events."""
        count = min(event_count, self.token_count)
        return "".join(make_token(self._digest, i) for i in range(count))

    def make_body(self) -> dict[str, Any]:
        """Returns the body of an answer that is not streamed."""
        text = self.join_text(self.token_count)
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": "length",
            "logprobs": None,
        }
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._chat else "text_completion"
        return self._make_envelope(kind, [choice]) | {
            "usage": self._make_usage()
        }

    def _make_chunk(self, number: int) -> dict[str, Any]:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        if number > self.token_count:
            usage = self._make_usage()
            return self._make_envelope(kind, []) | {"usage": usage}
        token = make_token(self._digest, number - 1)
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": "length" if number == self.token_count else None,
            "logprobs": None,
        }
        if self._chat:
            choice["delta"] = {"role": "assistant", "content": token}
        else:
            choice["text"] = token
        return self._make_envelope(kind, [choice])

    def _make_envelope(self, kind: str, choices: list[Any]) -> dict[str, Any]:
        return {
            "id": self.request_id,
            "object": kind,
            "created": 0,
            "model": self.model,
            "choices": choices,
        }

    def _make_usage(self) -> dict[str, int]:
        prompt_tokens = len(self.prompt.split())
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.token_count,
            "total_tokens": prompt_tokens + self.token_count,
        }


def _get_max_tokens(body: CompletionRequest) -> int:
    for value in (body.get("max_completion_tokens"), body.get("max_tokens")):
        if value is not None:
            return max(1, value)
    return DEFAULT_MAX_TOKENS


def format_sse(request_id: str, number: int, data: bytes) -> bytes:
    """Formats one server-sent event."""
    return b"id: %b/%d\ndata: %b\n\n" % (request_id.encode(), number, data)


def format_foreign_event(number: int) -> bytes:
    """Returns an event of a request that no caller sent."""
    body = CompletionRequest(model="foreign", prompt="foreign", max_tokens=1)
    answer = Answer(request_id="foreign", body=body, chat=False)
    event = msgspec.json.encode(answer.make_body())
    return format_sse("foreign", number, event)


def parse_event_id(value: str, request_id: str) -> int | None:
    """Returns the event number in an event identifier.

    Returns None when it is malformed or belongs to another request.
    """
    prefix, _, number = value.rpartition("/")
    if prefix != request_id or not number.isdecimal():
        return None
    return int(number)

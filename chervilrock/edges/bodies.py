"""Parsing and validation of the bodies of completion requests."""

from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.decisions.decoding import decode_plain, UnreadableError
from chervilrock.edges.parsing import (
    Finding,
    Findings,
    MAX_NAME_CHARS,
    NAME,
)

DEFAULT_MAX_TOKENS = 512
"""Assumed length of an answer when the caller sets no limit."""

MAX_ANSWER_TOKENS = 1_000_000
MAX_PROMPT_CHARS = 2_000_000

_CONTINUATION_FIELD = "continuation"


class CompletionCall(NamedTuple):
    """Fields of a completion request that the node uses.

    Attributes:
      model: name of the model.
      adapter: name of the adapter, empty for none.
      stream: whether the caller wants the answer as a stream of events.
      wants_usage: whether the last event of the stream reports token counts.
      prompt: the prompt or the messages as one string.
      max_tokens: maximum number of tokens in the answer.
      body: the unparsed body.
    """

    model: str
    adapter: str
    stream: bool
    wants_usage: bool
    prompt: str
    max_tokens: int
    body: bytes


def parse_completion(
    body: bytes, *, chat: bool
) -> Result[CompletionCall, Findings]:
    """Parses the body of a completion request.

    Args:
      body: unparsed body.
      chat: whether the body contains messages instead of a prompt.
    """
    try:
        decoded = decode_plain(body)
    except UnreadableError as error:
        return Failure((Finding("body", f"is not JSON: {error}"),))
    if not isinstance(decoded, dict):
        return Failure((Finding("body", "is not a JSON object"),))
    findings: list[Finding] = []
    call = _read_fields(decoded, body, chat, findings)
    return Failure(tuple(findings)) if findings else Success(call)


def _read_fields(
    decoded: dict[str, Any], body: bytes, chat: bool, findings: list[Finding]
) -> CompletionCall:
    model, _, adapter = _read_model(decoded, findings).partition(":")
    stream = _read_bool(decoded, "stream", findings)
    prompt = (
        _read_messages(decoded.get("messages"), findings)
        if chat
        else _read_prompt(decoded.get("prompt"), findings)
    )
    if len(prompt) > MAX_PROMPT_CHARS:
        problem = f"is longer than {MAX_PROMPT_CHARS} characters"
        findings.append(
            Finding("body.messages" if chat else "body.prompt", problem)
        )
    _check_single_answer(decoded, findings)
    return CompletionCall(
        model=model,
        adapter=adapter,
        stream=stream,
        wants_usage=_read_usage_option(decoded, findings),
        prompt=prompt,
        max_tokens=_read_max_tokens(decoded, findings),
        body=body,
    )


def _read_model(decoded: dict[str, Any], findings: list[Finding]) -> str:
    model = decoded.get("model")
    if not isinstance(model, str) or not NAME.fullmatch(model):
        findings.append(Finding("body.model", "is not the name of a model"))
        return ""
    if len(model) > MAX_NAME_CHARS:
        findings.append(Finding("body.model", "is too long"))
    return model


def _read_bool(
    decoded: dict[str, Any], name: str, findings: list[Finding]
) -> bool:
    value = decoded.get(name)
    if value is not None and not isinstance(value, bool):
        findings.append(Finding(f"body.{name}", "is not true or false"))
    return value is True


def _read_usage_option(
    decoded: dict[str, Any], findings: list[Finding]
) -> bool:
    options = decoded.get("stream_options")
    if options is None:
        return False
    if not isinstance(options, dict):
        findings.append(Finding("body.stream_options", "is not an object"))
        return False
    return options.get("include_usage") is True


def _read_max_tokens(decoded: dict[str, Any], findings: list[Finding]) -> int:
    found = DEFAULT_MAX_TOKENS
    for name in ("max_tokens", "max_completion_tokens"):
        value = decoded.get(name)
        if value is None:
            continue
        if type(value) is not int or not 0 < value <= MAX_ANSWER_TOKENS:
            problem = f"is not 1 to {MAX_ANSWER_TOKENS}"
            findings.append(Finding(f"body.{name}", problem))
        else:
            found = value
    return found


def _check_single_answer(
    decoded: dict[str, Any], findings: list[Finding]
) -> None:
    """Checks that the request asks for a single answer.

    Only a single answer can be continued on another server. The field for the
    continuation is reserved for nodes.
    """
    for name in ("n", "best_of"):
        value = decoded.get(name)
        if value is not None and (type(value) is not int or value != 1):
            findings.append(Finding(f"body.{name}", "must be 1"))
    if _CONTINUATION_FIELD in decoded:
        findings.append(
            Finding(f"body.{_CONTINUATION_FIELD}", "is not for callers")
        )


def _read_prompt(prompt: Any, findings: list[Finding]) -> str:
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        findings.append(Finding("body.prompt", "is not one text"))
        return ""
    return prompt


def _read_messages(messages: Any, findings: list[Finding]) -> str:
    """Returns the messages as one string with one line per message."""
    if not isinstance(messages, list) or not messages:
        findings.append(Finding("body.messages", "is not a list of messages"))
        return ""
    lines = []
    for index, message in enumerate(messages):
        location = f"body.messages[{index}]"
        if not isinstance(message, dict):
            findings.append(Finding(location, "is not an object"))
            continue
        role = message.get("role")
        if not isinstance(role, str):
            findings.append(Finding(f"{location}.role", "is not a text"))
        text = _read_content(message.get("content"), location, findings)
        lines.append(f"{role}: {text}")
    return "\n".join(lines)


def _read_content(content: Any, location: str, findings: list[Finding]) -> str:
    if content is None or isinstance(content, str):
        return content or ""
    if not isinstance(content, list):
        findings.append(Finding(f"{location}.content", "is not text or parts"))
        return ""
    texts = []
    for part in content:
        if not isinstance(part, dict):
            findings.append(Finding(f"{location}.content", "has an odd part"))
            continue
        text = part.get("text", "")
        texts.append(text if isinstance(text, str) else "")
    return "".join(texts)


def add_continuation(body: bytes, events: int, text: str) -> bytes:
    """Adds the part of the answer that the caller already has to a valid body.

    Args:
      body: validated body of the request.
      events: number of events that the caller has received.
      text: text of these events.
    """
    decoded = decode_plain(body)
    decoded[_CONTINUATION_FIELD] = {"events": events, "text": text}
    return msgspec.json.encode(decoded)

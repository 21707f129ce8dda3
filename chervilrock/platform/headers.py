"""Names of the headers of requests and answers, decoded and encoded."""

from collections.abc import Iterable, Mapping
import re

from chervilrock.decisions.serving.messages import (
    AnswerFacts,
    ForwardedFields,
    RequestFacts,
    StatedLimit,
)

Pairs = tuple[tuple[str, str], ...]

EXPECTED_SERVER = "X-Expect-Instance"

_REQUEST_ID = "x-request-id"
_KEY = "api-key"
_DEADLINE = "x-deadline-ms"  # how long the caller waits, no point in time
_MODEL = "x-model"
_TOKENS = "x-token-count"  # prompt and greatest output, with a comma
_LAST_EVENT = "last-event-id"
_WORKSPACE = "x-tenant"
_URGENCY = "x-request-urgency"
_RECEIPT = "x-server-stamp"
_NOT_RUN = "x-not-executed"
_LIMIT = "server-limit"
_MS_PER_S = 1000.0

_MISDIRECTED = 421
_NOT_RUN_STATUSES = frozenset({_MISDIRECTED})
_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)
_MAX_LIMIT = 1e9  # requests a second; whatever is greater limits nothing
_MAX_SHOWN = 40  # characters of a value that is no number
_EVENT_STREAM = "text/event-stream"

_ONE_CONNECTION = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only."""

_SET_BY_NODES = frozenset(
    {
        EXPECTED_SERVER.lower(),
        _DEADLINE,
        _KEY,
        _LAST_EVENT,
        _URGENCY,
        _WORKSPACE,
    }
)
"""Headers of callers that are replaced or not passed on."""


def read_request(pairs: Iterable[tuple[str, str]]) -> RequestFacts:
    """Return what the headers of a request tell."""
    values = {name.lower(): value.strip() for name, value in pairs}
    prompt, _, output = values.get(_TOKENS, "").partition(",")
    deadline = _parse_count(values.get(_DEADLINE, ""))
    return RequestFacts(
        request_id=values.get(_REQUEST_ID, ""),
        key=values.get(_KEY, ""),
        deadline_s=None if deadline is None else deadline / _MS_PER_S,
        model=values.get(_MODEL, ""),
        prompt_tokens=_parse_count(prompt) or 0,
        output_tokens=_parse_count(output) or 0,
        last_event=values.get(_LAST_EVENT, ""),
    )


def make_forwarded_headers(
    pairs: Iterable[tuple[str, str]], forwarded: ForwardedFields
) -> Pairs:
    """Return the headers of a request as a server gets them."""
    kept = list(_drop_connection_headers(pairs, _SET_BY_NODES))
    milliseconds = max(1, int(forwarded.remaining_s * _MS_PER_S))
    kept.append(("X-Deadline-Ms", str(milliseconds)))
    kept.append((EXPECTED_SERVER, forwarded.server))
    if forwarded.workspace:
        kept.append(("X-Tenant", forwarded.workspace))
    if forwarded.last_event:
        kept.append(("Last-Event-Id", forwarded.last_event))
    if forwarded.urgency is not None:
        kept.append(("X-Request-Urgency", str(forwarded.urgency)))
    return tuple(kept)


def read_answer(status: int, pairs: Iterable[tuple[str, str]]) -> AnswerFacts:
    """Return what the head of a server's answer tells."""
    values = {name.lower(): value.strip() for name, value in pairs}
    content_type = values.get("content-type", "").lower()
    return AnswerFacts(
        status=status,
        request_id=values.get(_REQUEST_ID, ""),
        has_receipt=bool(values.get(_RECEIPT)),
        is_not_run=_NOT_RUN in values or status in _NOT_RUN_STATUSES,
        is_encoded="content-encoding" in values,
        is_stream=content_type.startswith(_EVENT_STREAM),
        limit=None if status == _MISDIRECTED else _read_limit(values),
    )


def _read_limit(values: Mapping[str, str]) -> StatedLimit:
    """Return what the headers of an answer say of a limit."""
    text = values.get(_LIMIT)
    if text is None:
        return StatedLimit(None)
    if not _DECIMAL.fullmatch(text):
        return StatedLimit(None, unreadable=text[:_MAX_SHOWN] or "nothing")
    return StatedLimit(min(float(text), _MAX_LIMIT))


def make_caller_headers(pairs: Iterable[tuple[str, str]]) -> Pairs:
    """Return the headers of a server's answer as the caller gets them."""
    return tuple(_drop_connection_headers(pairs, frozenset()))


def _drop_connection_headers(
    pairs: Iterable[tuple[str, str]], others: frozenset[str]
) -> Iterable[tuple[str, str]]:
    """Yield the headers that go on, without those of one connection."""
    listed = list(pairs)
    named = {
        token.strip().lower()
        for name, value in listed
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _ONE_CONNECTION | others | named
    for name, value in listed:
        if name.lower() not in dropped:
            yield name, value


def _parse_count(text: str) -> int | None:
    """Return a number of decimal digits, None for anything else."""
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() else None

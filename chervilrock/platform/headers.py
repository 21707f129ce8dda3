"""Decodes and encodes the headers of requests and answers."""

from collections.abc import Iterable, Mapping, Sequence

from chervilrock.decisions.serving.messages import (
    AnswerFacts,
    ForwardedFields,
    Framing,
    RequestFacts,
)
from chervilrock.platform.statements import MISDIRECTED, read_statement

HeaderPairs = tuple[tuple[str, str], ...]

EXPECTED_SERVER = "X-Expect-Instance"

_REQUEST_ID = "x-request-id"
_API_KEY = "api-key"
_DEADLINE_MS = "x-deadline-ms"  # the caller's timeout, not a point in time
_MODEL = "x-model"
_TOKEN_COUNTS = "x-token-count"  # length of the prompt, comma, maximum output
_PROMPT_PREFIX = "x-prompt-prefix"  # parts, each as hexadecimal id:tokens
_LAST_EVENT = "last-event-id"
_TENANT = "x-tenant"
_URGENCY = "x-request-urgency"
_SERVER_STAMP = "x-server-stamp"
_IDENTITY = (_REQUEST_ID, _SERVER_STAMP)
_NOT_EXECUTED = "x-not-executed"
_MS_PER_S = 1000.0

_NOT_EXECUTED_STATUSES = frozenset({MISDIRECTED})
_CHUNKED = "chunked"
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_EVENT_STREAM = "text/event-stream"

MAX_PROMPT_PARTS = 64
"""Parts of a prompt that are read, the first ones."""

MAX_PART_DIGITS = 32
"""Hexadecimal digits of the identifier of a part."""

MAX_COUNT_DIGITS = 15
"""Digits of a number that are read; such numbers are exact as floats."""

_MAX_COUNT: int = 10**MAX_COUNT_DIGITS - 1

_HEX_DIGITS = frozenset("0123456789abcdef")

_HOP_BY_HOP = frozenset(
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
"""Headers of a single connection, which are not forwarded."""

_NOT_FORWARDED = frozenset(
    {
        EXPECTED_SERVER.lower(),
        _DEADLINE_MS,
        _API_KEY,
        _LAST_EVENT,
        _URGENCY,
        _TENANT,
    }
)
"""Headers of callers that nodes replace or do not forward."""


def read_request(pairs: Iterable[tuple[str, str]]) -> RequestFacts:
    """Return the facts that the headers of a request state."""
    values = {name.lower(): value.strip() for name, value in pairs}
    prompt, _, output = values.get(_TOKEN_COUNTS, "").partition(",")
    deadline_ms = _parse_count(values.get(_DEADLINE_MS, ""))
    return RequestFacts(
        request_id=values.get(_REQUEST_ID, ""),
        key=values.get(_API_KEY, ""),
        deadline_s=None if deadline_ms is None else deadline_ms / _MS_PER_S,
        model=values.get(_MODEL, ""),
        prompt_tokens=_parse_count(prompt) or 0,
        output_tokens=_parse_count(output) or 0,
        last_event=values.get(_LAST_EVENT, ""),
        prompt_parts=_parse_prompt_parts(values.get(_PROMPT_PREFIX, "")),
    )


def make_forwarded_headers(
    pairs: Iterable[tuple[str, str]], forwarded: ForwardedFields
) -> HeaderPairs:
    """Return the headers of a request as forwarded to a server."""
    kept = list(_drop_hop_by_hop(pairs, _NOT_FORWARDED))
    remaining_ms = max(1, int(forwarded.remaining_s * _MS_PER_S))
    kept.append(("X-Deadline-Ms", str(remaining_ms)))
    kept.append((EXPECTED_SERVER, forwarded.server))
    if forwarded.workspace:
        kept.append(("X-Tenant", forwarded.workspace))
    if forwarded.last_event:
        kept.append(("Last-Event-Id", forwarded.last_event))
    if forwarded.urgency is not None:
        kept.append(("X-Request-Urgency", str(forwarded.urgency)))
    return tuple(kept)


def make_passed_on_headers(
    pairs: Iterable[tuple[str, str]], remaining_s: float, last_event: str
) -> HeaderPairs:
    """Return the headers of a request as passed on to another node.

    Args:
      pairs: headers of the caller.
      remaining_s: time that is left, in seconds.
      last_event: last event that the caller has, empty for none.
    """
    kept = list(_drop_hop_by_hop(pairs, frozenset({_DEADLINE_MS, _LAST_EVENT})))
    remaining_ms = max(1, int(remaining_s * _MS_PER_S))
    kept.append(("X-Deadline-Ms", str(remaining_ms)))
    if last_event:
        kept.append(("Last-Event-Id", last_event))
    return tuple(kept)


def read_answer(
    status: int, pairs: Sequence[tuple[str, str]], unix_time_s: float
) -> AnswerFacts:
    """Return the facts that the head of a server's answer states.

    Args:
      status: HTTP status.
      pairs: names and values of the headers.
      unix_time_s: current time of day.
    """
    values = {name.lower(): value.strip() for name, value in pairs}
    content_type = values.get("content-type", "").lower()
    return AnswerFacts(
        status=status,
        request_id=values.get(_REQUEST_ID, ""),
        has_receipt=bool(values.get(_SERVER_STAMP)),
        is_not_run=_NOT_EXECUTED in values or status in _NOT_EXECUTED_STATUSES,
        is_encoded="content-encoding" in values,
        is_stream=content_type.startswith(_EVENT_STREAM),
        statement=read_statement(status, pairs, unix_time_s),
        framing=find_framing(status, values),
        is_ambiguous=_is_ambiguous(pairs),
    )


def _is_ambiguous(pairs: Iterable[tuple[str, str]]) -> bool:
    """Return whether a head states two requests or two receipts."""
    stated: dict[str, str] = {}
    return any(
        stated.setdefault(name.lower(), value.strip()) != value.strip()
        for name, value in pairs
        if name.lower() in _IDENTITY
    )


def find_framing(status: int, values: Mapping[str, str]) -> Framing:
    """Return what states where the body ends (RFC 9112, section 6.3).

    Args:
      status: HTTP status.
      values: headers by their names in lower case.
    """
    if status in _STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    coding = values.get("transfer-encoding")
    if coding is not None:
        last = coding.lower().rpartition(",")[2].strip()
        return Framing.CHUNKS if last == _CHUNKED else Framing.CONNECTION
    return Framing.LENGTH if "content-length" in values else Framing.CONNECTION


def make_caller_headers(pairs: Iterable[tuple[str, str]]) -> HeaderPairs:
    """Return the headers of a server's answer as sent to the caller."""
    return tuple(_drop_hop_by_hop(pairs, frozenset()))


def _drop_hop_by_hop(
    pairs: Iterable[tuple[str, str]], excluded: frozenset[str]
) -> Iterable[tuple[str, str]]:
    """Yield the headers to forward, without hop-by-hop headers and `excluded`.

    Headers that `Connection` lists are hop-by-hop as well.
    """
    all_pairs = list(pairs)
    connection_tokens = {
        token.strip().lower()
        for name, value in all_pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | excluded | connection_tokens
    for name, value in all_pairs:
        if name.lower() not in dropped:
            yield name, value


def _parse_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the identifiers of the shared parts of a prompt, each once.

    Malformed entries are left out, and so is the last entry, which belongs to
    the request or its session.
    """
    entries = text.split(",", MAX_PROMPT_PARTS)[:-1]
    parts = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(dict.fromkeys(part for part in parts if _is_part(part)))


def _is_part(text: str) -> bool:
    """Return whether a text may identify a part of a prompt."""
    return 0 < len(text) <= MAX_PART_DIGITS and _HEX_DIGITS.issuperset(text)


def _parse_count(text: str) -> int | None:
    """Return the value of ASCII decimal digits, None for anything else.

    A longer number than is read counts as the largest one.
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit()):
        return None
    text = text.lstrip("0")
    if len(text) > MAX_COUNT_DIGITS:
        return _MAX_COUNT
    return int(text or "0")

"""Outcome of a request, derived from how its attempts ended."""

from collections.abc import Iterable
import enum

from chervilrock.generated.interfaces import Outcome

STATUS_CONFLICT = 409
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
REFUSAL_CODES = frozenset({"not_leader", "unknown_attempt"})
"""Error codes with which an engine reports that it did not run a request."""

_SUCCESSES = range(200, 300)
_SERVER_ERRORS = range(500, 600)


class AttemptEnd(enum.StrEnum):
    """How one attempt to get an answer from a backend server ended.

    Attributes:
      NOT_SENT: no byte of the request was sent, since no connection was made.
      REFUSED: the backend server proved that it has not run the request and
        will not run it.
      LOST: part of the request may have been sent, and no answer arrived.
      DENIED: the backend server answered that the request is invalid.
      ERROR: the backend server answered with a server error that does not
        prove that nothing ran.
      BROKEN: the answer broke off after a part of it.
      FOREIGN: the received data was not the answer to this attempt.
      COMPLETE: the whole answer arrived.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    LOST = "lost"
    DENIED = "denied"
    ERROR = "error"
    BROKEN = "broken"
    FOREIGN = "foreign"
    COMPLETE = "complete"


PROVES_NOT_RUN = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.REFUSED})
"""Ends that prove that the attempt did not run."""

PROVES_ENDED = frozenset(
    {AttemptEnd.DENIED, AttemptEnd.ERROR, AttemptEnd.BROKEN}
)
"""Ends that prove that the attempt began and gives no whole answer."""


def judge_outcome(ends: Iterable[AttemptEnd]) -> Outcome:
    """Returns what is known about a request that got no whole answer.

    A single attempt that may have run rules out `not_run`, even if later
    attempts provably did not run.

    Args:
      ends: how its attempts ended; empty if it was never sent.

    Returns:
      `not_run` only if every attempt provably did not run, `unknown` if an
      attempt may still run or may have completed unobserved, else `failed`.
    """
    possible = [end for end in ends if end not in PROVES_NOT_RUN]
    if not possible:
        return Outcome.NOT_RUN
    if all(end in PROVES_ENDED for end in possible):
        return Outcome.FAILED
    return Outcome.UNKNOWN


def judge_attempt_end(end: AttemptEnd, *, repeated: bool) -> AttemptEnd:
    """Returns how an attempt ended whose request may have been sent twice.

    A rejection proves nothing about an earlier send of the same attempt.

    Args:
      end: how the last send ended.
      repeated: whether there was an earlier send.
    """
    if repeated and end in PROVES_NOT_RUN:
        return AttemptEnd.LOST
    return end


def judge_engine_answer(
    status: int, *, not_run_header: bool, code: str, is_whole: bool
) -> AttemptEnd:
    """Returns how an attempt ended, from the answer of an engine.

    Args:
      status: HTTP status of the answer.
      not_run_header: whether the answer carries `X-Not-Run: true`.
      code: error code in the body, empty if there is none.
      is_whole: whether the body was received in full.

    Returns:
      `COMPLETE` for a success, `REFUSED` for answers that prove that nothing
      ran, `LOST` for a conflict of unknown code, else `ERROR` or `DENIED`.
    """
    if status in _SUCCESSES:
        return AttemptEnd.COMPLETE
    if status == STATUS_CONFLICT and code in REFUSAL_CODES:
        return AttemptEnd.REFUSED
    if status == STATUS_CONFLICT and not is_whole:
        return AttemptEnd.LOST
    if status == STATUS_TOO_MANY_REQUESTS:
        return AttemptEnd.REFUSED
    if status == STATUS_UNAVAILABLE and not_run_header:
        return AttemptEnd.REFUSED
    if status in _SERVER_ERRORS:
        return AttemptEnd.ERROR
    return AttemptEnd.DENIED


def judge_service_answer(status: int, *, not_run_header: bool) -> AttemptEnd:
    """Returns how an attempt ended, from the answer of a plain service.

    The answer of a plain service is forwarded whatever its status is, since
    only the caller knows what it means. The only exception is an answer that
    proves that nothing ran.

    Args:
      status: HTTP status of the answer.
      not_run_header: whether the answer carries `X-Not-Run: true`.
    """
    if status == STATUS_UNAVAILABLE and not_run_header:
        return AttemptEnd.REFUSED
    return AttemptEnd.COMPLETE

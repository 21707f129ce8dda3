"""What may be said of a request, given how its attempts ended."""

from collections.abc import Iterable
import enum

from chervilrock.generated.interfaces import Outcome

STATUS_CONFLICT = 409
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
REFUSAL_CODES = frozenset({"not_leader", "unknown_attempt"})
"""Codes with which an engine says that it holds nothing to run."""

_SUCCESSES = range(200, 300)
_SERVER_ERRORS = range(500, 600)


class AttemptEnd(enum.StrEnum):
    """How one attempt to get an answer from a backend server ended.

    Attributes:
      NOT_SENT: no byte of the request left, since no connection was made.
      REFUSED: the backend server proved that it has not run the request and
        will not.
      LOST: a byte may have left, and no answer came.
      DENIED: the backend server answered that the request itself is wrong.
      ERROR: the backend server answered with an error of its own that does
        not prove that nothing ran.
      BROKEN: a part of the answer came and then no more.
      FOREIGN: what came was not the answer to this attempt.
      COMPLETE: the whole answer came.
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
"""Ends after which the attempt surely did not run."""

PROVES_ENDED = frozenset(
    {AttemptEnd.DENIED, AttemptEnd.ERROR, AttemptEnd.BROKEN}
)
"""Ends after which the attempt surely began, and gives no whole answer."""


def judge_outcome(ends: Iterable[AttemptEnd]) -> Outcome:
    """Tells what is known of a request that got no whole answer.

    One attempt that may have run is enough to rule out `not_run`, whatever
    later attempts proved of themselves.

    Args:
      ends: how its attempts ended; none when it was never sent.

    Returns:
      `not_run` only when every attempt is proved not to have run, `unknown`
      when one may run or have run to its end unseen, else `failed`.
    """
    possible = [end for end in ends if end not in PROVES_NOT_RUN]
    if not possible:
        return Outcome.NOT_RUN
    if all(end in PROVES_ENDED for end in possible):
        return Outcome.FAILED
    return Outcome.UNKNOWN


def judge_sends(end: AttemptEnd, *, repeated: bool) -> AttemptEnd:
    """Tells how an attempt ended whose request may have been sent twice.

    A refusal proves nothing of an earlier send of the same attempt.

    Args:
      end: how the last send ended.
      repeated: whether there was an earlier one.
    """
    if repeated and end in PROVES_NOT_RUN:
        return AttemptEnd.LOST
    return end


def judge_engine_answer(
    status: int, *, not_run_header: bool, code: str
) -> AttemptEnd:
    """Tells how an attempt ended from the answer of an engine.

    Args:
      status: HTTP status of the answer.
      not_run_header: whether the answer carries `X-Not-Run: true`.
      code: code of the error in the body, empty when there is none.

    Returns:
      `COMPLETE` for a success, `REFUSED` for the answers that prove that
      nothing ran, else `ERROR` or `DENIED`.
    """
    if status in _SUCCESSES:
        return AttemptEnd.COMPLETE
    if status == STATUS_CONFLICT and code in REFUSAL_CODES:
        return AttemptEnd.REFUSED
    if status == STATUS_TOO_MANY_REQUESTS:
        return AttemptEnd.REFUSED
    if status == STATUS_UNAVAILABLE and not_run_header:
        return AttemptEnd.REFUSED
    if status in _SERVER_ERRORS:
        return AttemptEnd.ERROR
    return AttemptEnd.DENIED


def judge_service_answer(status: int, *, not_run_header: bool) -> AttemptEnd:
    """Tells how an attempt ended from the answer of a plain service.

    The answer of a plain service is passed on whatever its status is, since
    only the caller knows what it means. The one exception is an answer that
    proves that nothing ran.

    Args:
      status: HTTP status of the answer.
      not_run_header: whether the answer carries `X-Not-Run: true`.
    """
    if status == STATUS_UNAVAILABLE and not_run_header:
        return AttemptEnd.REFUSED
    return AttemptEnd.COMPLETE

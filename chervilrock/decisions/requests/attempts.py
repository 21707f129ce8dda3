"""Attempts and sends of one request, and what follows the end of a send.

An *attempt* is one run of the request at a backend server. A *send* is one
HTTP request; resuming a stream on its engine is a second send of the same
attempt. Only the latest send counts: reports of older sends are ignored.
"""

import enum
from typing import NamedTuple

from chervilrock.decisions.requests import outcomes
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.generated.interfaces import Outcome

MAX_SENDS = 6
"""Maximum number of sends for one request."""

MAX_RESUMES_WITHOUT_PROGRESS = 1
"""Maximum number of consecutive resumes that yield no further event."""


class SendMode(enum.StrEnum):
    """Which part of the answer a send requests.

    Attributes:
      START: the whole answer.
      RESUME: the rest of the same attempt, from the engine that runs it.
      CONTINUE: the rest of the answer, from a group that has not run it.
    """

    START = "start"
    RESUME = "resume"
    CONTINUE = "continue"


class Send(NamedTuple):
    """One HTTP request to a backend server.

    Attributes:
      number: sequence number among the sends of this request, from 1.
      attempt: identifier of the attempt, for the backend server.
      target: name of the group, or address of the backend server.
      mode: which part of the answer is requested.
      after: number of events that the caller already has.
    """

    number: int
    attempt: str
    target: str
    mode: SendMode
    after: int


class Resume(NamedTuple):
    """Resume the attempt on the same engine.

    Attributes:
      target: group that runs the attempt.
      after: number of events that the caller already has.
    """

    target: str
    after: int


class TryElsewhere(NamedTuple):
    """Start at another backend server; the caller has received nothing yet.

    Attributes:
      exclude: targets of the attempts so far.
      allow_excluded: whether to use one of them if no other is available.
    """

    exclude: frozenset[str]
    allow_excluded: bool = False


class ContinueElsewhere(NamedTuple):
    """Continue at another group after the events that the caller has.

    Attributes:
      exclude: targets of the attempts so far.
      after: number of events that the caller already has.
      allow_excluded: whether to use one of them if no other is available.
    """

    exclude: frozenset[str]
    after: int
    allow_excluded: bool = False


class Deliver(NamedTuple):
    """The caller has, or now receives, the whole answer."""


class GiveUp(NamedTuple):
    """The caller gets an error.

    Attributes:
      outcome: what is known about the request.
      end: how its last attempt ended, None if there was none.
      mid_stream: whether the caller already has part of the answer, so that
        the error has to be sent within the stream.
    """

    outcome: Outcome
    end: AttemptEnd | None
    mid_stream: bool


Decision = Resume | TryElsewhere | ContinueElsewhere | Deliver | GiveUp


class SendReport(NamedTuple):
    """How a send ended.

    Attributes:
      number: number of the send.
      end: how it ended.
      position: number of events that the caller has now.
      target_has_attempt: whether the group of the send still runs the
        attempt.
      continuable: whether the answer so far is a single plain text.
    """

    number: int
    end: AttemptEnd
    position: int = 0
    target_has_attempt: bool = False
    continuable: bool = False


class AttemptTracker:
    """Tracks the attempts and sends of one request.

    Attributes:
      ends: how each completed attempt ended, in order.
    """

    def __init__(
        self,
        *,
        request_id: str,
        idempotent: bool,
        deadline: float,
        max_sends: int = MAX_SENDS,
    ) -> None:
        """Creates a tracker for a request that has not been sent.

        Args:
          request_id: identifier of the request.
          idempotent: whether the request may run more than once.
          deadline: time in seconds after which no further send is started.
          max_sends: maximum number of sends.
        """
        self._request_id = request_id
        self._idempotent = idempotent
        self._deadline = deadline
        self._max_sends = max_sends
        self._send: Send | None = None
        self._sends = 0
        self._attempts = 0
        self._resumes_without_progress = 0
        self._end_before_resume: AttemptEnd | None = None
        self._position = 0
        self._targets: set[str] = set()
        self.ends: list[AttemptEnd] = []

    @property
    def position(self) -> int:
        """Number of events that the caller has, as last reported."""
        return self._position

    @property
    def sends(self) -> int:
        """Number of sends so far."""
        return self._sends

    def begin(self, target: str, mode: SendMode) -> Send:
        """Records the start of a send.

        Args:
          target: name of the group, or address of the backend server.
          mode: which part of the answer is requested; `START` for the first
            send.

        Raises:
          ValueError: another send is in progress, or the mode does not match
            the number of events that the caller has.
        """
        if self._send is not None:
            raise ValueError("another send is in progress")
        if (mode is SendMode.START) != (self._position == 0):
            raise ValueError(
                f"{mode} is not valid after {self._position} events"
            )
        self._sends += 1
        if mode is not SendMode.RESUME:
            self._attempts += 1
            self._resumes_without_progress = 0
            self._end_before_resume = None
        self._targets.add(target)
        self._send = Send(
            number=self._sends,
            attempt=f"{self._request_id}.{self._attempts}",
            target=target,
            mode=mode,
            after=self._position,
        )
        return self._send

    def is_current(self, number: int) -> bool:
        """Returns whether a send is the latest one and still in progress."""
        return self._send is not None and self._send.number == number

    def finish(self, report: SendReport, now: float) -> Decision | None:
        """Records the end of a send and returns what follows.

        Args:
          report: how the send ended.
          now: current time in seconds.

        Returns:
          What to do next, or None if the report is of an older send.
        """
        if not self.is_current(report.number):
            return None
        assert self._send is not None
        send = self._send
        self._send = None
        progress = report.position > self._position
        self._position = max(self._position, report.position)
        if report.end is AttemptEnd.COMPLETE:
            return Deliver()
        if self._may_send(report, now):
            return self._choose_next(send, report, progress)
        self._record_end(report.end)
        return self.give_up()

    def give_up(self) -> GiveUp:
        """Returns the final decision, with what is known about the request."""
        return GiveUp(
            outcome=outcomes.judge_outcome(self.ends),
            end=self.ends[-1] if self.ends else None,
            mid_stream=self._position > 0,
        )

    def _may_send(self, report: SendReport, now: float) -> bool:
        """Returns whether a further send is allowed at all."""
        if now >= self._deadline or self._sends >= self._max_sends:
            return False
        if report.end is AttemptEnd.DENIED:
            return False
        return self._idempotent or report.end in outcomes.PROVES_NOT_RUN

    def _choose_next(
        self, send: Send, report: SendReport, progress: bool
    ) -> Decision:
        exclude = frozenset(self._targets)
        allow_excluded = report.end not in outcomes.PROVES_NOT_RUN
        if self._position == 0:
            self._record_end(report.end)
            return TryElsewhere(exclude, allow_excluded)
        if self._may_resume(report, progress):
            self._resumes_without_progress = (
                0 if progress else self._resumes_without_progress + 1
            )
            self._end_before_resume = report.end
            return Resume(send.target, self._position)
        self._record_end(report.end)
        if report.continuable:
            return ContinueElsewhere(exclude, self._position, allow_excluded)
        return self.give_up()

    def _record_end(self, end: AttemptEnd) -> None:
        """Records the end of an attempt, which may have had several sends.

        A rejected resume proves nothing about the previous send, so the end
        of that send counts.
        """
        if (
            end in outcomes.PROVES_NOT_RUN
            and self._end_before_resume is not None
        ):
            end = self._end_before_resume
        self.ends.append(end)

    def _may_resume(self, report: SendReport, progress: bool) -> bool:
        if not report.target_has_attempt:
            return False
        if report.end not in (AttemptEnd.BROKEN, AttemptEnd.LOST):
            return False
        return (
            progress
            or self._resumes_without_progress < MAX_RESUMES_WITHOUT_PROGRESS
        )

"""Sends of one request: which one counts, and what follows when it ends.

An *attempt* is one run of the request at a backend server. A *send* is one
HTTP request; a stream that is resumed on its engine is a second send of the
same attempt. Whatever carries the number of an older send is dropped.
"""

import enum
from typing import NamedTuple

from chervilrock.decisions.requests import outcomes
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.generated.interfaces import Outcome

MAX_SENDS = 6
"""Most sends for one request."""

MAX_RESUMES = 1
"""Most resumes of one attempt that bring no further event."""


class SendMode(enum.StrEnum):
    """What a send asks for.

    Attributes:
      START: the answer from its beginning.
      RESUME: the rest of the same attempt, from the engine that has it.
      CONTINUE: the rest of the answer, from a group that has not seen it.
    """

    START = "start"
    RESUME = "resume"
    CONTINUE = "continue"


class Send(NamedTuple):
    """One HTTP request to a backend server.

    Attributes:
      number: counts the sends of this request from 1.
      attempt: identity of the attempt, for the backend server.
      target: name of the group, or address of the backend server.
      mode: what is asked for.
      after: events that the caller has already.
    """

    number: int
    attempt: str
    target: str
    mode: SendMode
    after: int


class Resume(NamedTuple):
    """Ask the same engine for the rest.

    Attributes:
      target: group to ask.
      after: events that the caller has already.
    """

    target: str
    after: int


class TryElsewhere(NamedTuple):
    """Start at another backend server; the caller has got nothing yet.

    Attributes:
      exclude: targets of the attempts so far.
      again: whether one of them will do when there is no other.
    """

    exclude: frozenset[str]
    again: bool = False


class ContinueElsewhere(NamedTuple):
    """Go on at another group after the events that the caller has.

    Attributes:
      exclude: targets of the attempts so far.
      after: events that the caller has already.
      again: whether one of them will do when there is no other.
    """

    exclude: frozenset[str]
    after: int
    again: bool = False


class Deliver(NamedTuple):
    """The caller has, or now gets, its whole answer."""


class GiveUp(NamedTuple):
    """The caller gets an error.

    Attributes:
      outcome: what is known of the request.
      end: how its last attempt ended, None when there was none.
      marked: whether a part of the answer is with the caller, so that the
        error has to be marked within the stream.
    """

    outcome: Outcome
    end: AttemptEnd | None
    marked: bool


Decision = Resume | TryElsewhere | ContinueElsewhere | Deliver | GiveUp


class SendReport(NamedTuple):
    """How a send ended.

    Attributes:
      number: number of the send.
      end: how it ended.
      position: events that the caller has now.
      target_holds: whether the group of the send still works on it.
      continuable: whether the answer so far is one plain text.
    """

    number: int
    end: AttemptEnd
    position: int = 0
    target_holds: bool = False
    continuable: bool = False


class AttemptTracker:
    """State of the sends of one request.

    Attributes:
      ends: how each attempt ended that is over.
    """

    def __init__(
        self,
        *,
        request_id: str,
        idempotent: bool,
        deadline: float,
        max_sends: int = MAX_SENDS,
    ) -> None:
        """Starts with nothing sent.

        Args:
          request_id: identity of the request.
          idempotent: whether it may run more than once.
          deadline: time in seconds after which nothing is sent any more.
          max_sends: most sends.
        """
        self._request_id = request_id
        self._idempotent = idempotent
        self._deadline = deadline
        self._max_sends = max_sends
        self._send: Send | None = None
        self._sends = 0
        self._attempts = 0
        self._resumes = 0
        self._resumed_end: AttemptEnd | None = None
        self._position = 0
        self._targets: set[str] = set()
        self.ends: list[AttemptEnd] = []

    @property
    def position(self) -> int:
        """Events that the caller has, as last reported."""
        return self._position

    @property
    def sends(self) -> int:
        """Number of sends so far."""
        return self._sends

    def begin(self, target: str, mode: SendMode) -> Send:
        """Takes note of a send that follows.

        Args:
          target: where it goes.
          mode: what it asks for; `START` for the first one.

        Raises:
          ValueError: a send is on its way already, or the mode does not fit
            what the caller has.
        """
        if self._send is not None:
            raise ValueError("a send is on its way")
        if (mode is SendMode.START) != (self._position == 0):
            raise ValueError(f"{mode} does not fit {self._position} events")
        self._sends += 1
        if mode is not SendMode.RESUME:
            self._attempts += 1
            self._resumes = 0
            self._resumed_end = None
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
        """Tells whether a send is the one whose answer counts."""
        return self._send is not None and self._send.number == number

    def finish(self, report: SendReport, now: float) -> Decision | None:
        """Takes note of the end of a send and tells what follows.

        Args:
          report: how it ended.
          now: present time in seconds.

        Returns:
          What to do, or None when the report is of an older send.
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
        """Ends the request with what is known of it."""
        return GiveUp(
            outcome=outcomes.judge_outcome(self.ends),
            end=self.ends[-1] if self.ends else None,
            marked=self._position > 0,
        )

    def _may_send(self, report: SendReport, now: float) -> bool:
        """Tells whether a further send is allowed at all."""
        if now >= self._deadline or self._sends >= self._max_sends:
            return False
        if report.end is AttemptEnd.DENIED:
            return False
        return self._idempotent or report.end in outcomes.PROVES_NOT_RUN

    def _choose_next(
        self, send: Send, report: SendReport, progress: bool
    ) -> Decision:
        exclude = frozenset(self._targets)
        again = report.end not in outcomes.PROVES_NOT_RUN
        if self._position == 0:
            self._record_end(report.end)
            return TryElsewhere(exclude, again)
        if self._may_resume(report, progress):
            self._resumes = 0 if progress else self._resumes + 1
            self._resumed_end = report.end
            return Resume(send.target, self._position)
        self._record_end(report.end)
        if report.continuable:
            return ContinueElsewhere(exclude, self._position, again)
        return self.give_up()

    def _record_end(self, end: AttemptEnd) -> None:
        """Records the end of an attempt, which may have had several sends.

        A resume that was refused proves nothing of the send before it.
        """
        if end in outcomes.PROVES_NOT_RUN and self._resumed_end is not None:
            end = self._resumed_end
        self.ends.append(end)

    def _may_resume(self, report: SendReport, progress: bool) -> bool:
        if not report.target_holds:
            return False
        if report.end not in (AttemptEnd.BROKEN, AttemptEnd.LOST):
            return False
        return progress or self._resumes < MAX_RESUMES

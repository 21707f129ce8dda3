"""A simple oracle for the decisions about one request."""

from typing import NamedTuple

from hypothesis import strategies as st

from chervilrock.decisions.requests import attempts
from chervilrock.decisions.requests.attempts import (
    AttemptTracker,
    Send,
    SendMode,
    SendReport,
)
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.decisions.requests.positions import StreamPositions
from chervilrock.generated.interfaces import Outcome

REQUEST_ID = "n-i-7"
EVENTS = 6
DEADLINE = 100.0
GROUPS = ("a", "b", "c")


class Step(NamedTuple):
    """What happens to one send.

    Attributes:
      end: how it ends, as far as the node can see.
      ran: whether the backend server ran it, when the end leaves that open.
      events: numbers of the events that come, in the order of their coming.
      late: whether the end of the send before comes again.
      serves: whether its group still serves.
      seconds: time that it takes.
    """

    end: AttemptEnd
    ran: bool
    events: tuple[int, ...]
    late: bool
    serves: bool
    seconds: float


class Script(NamedTuple):
    """A request and everything that happens to it."""

    idempotent: bool
    continuable: bool
    steps: tuple[Step, ...]


STEPS = st.builds(
    Step,
    end=st.sampled_from(AttemptEnd),
    ran=st.booleans(),
    events=st.lists(st.integers(1, EVENTS + 1), max_size=12).map(tuple),
    late=st.booleans(),
    serves=st.booleans(),
    seconds=st.sampled_from([0.0, 1.0, 60.0]),
)
SCRIPTS = st.builds(
    Script,
    idempotent=st.booleans(),
    continuable=st.booleans(),
    steps=st.lists(STEPS, min_size=1, max_size=10).map(tuple),
)


def make_event(number: int) -> bytes:
    """Returns an event of the answer, the last one saying done."""
    data = b"[DONE]" if number == EVENTS + 1 else b'{"n":%d}' % number
    return b"id: %b/%d\ndata: %b\n\n" % (REQUEST_ID.encode(), number, data)


WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 2))


class World:
    """Plays a script against the decisions and holds them to the promises."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.tracker = AttemptTracker(
            request_id=REQUEST_ID,
            idempotent=script.idempotent,
            deadline=DEADLINE,
        )
        self.now = 0.0
        self.runs = 0
        self.may_have_left = False
        self.given = b""
        self.unseen_run = False

    def play(self) -> None:
        """Plays the script to its end."""
        decision: attempts.Decision = attempts.TryElsewhere(frozenset())
        for step in self.script.steps:
            if isinstance(decision, attempts.Deliver | attempts.GiveUp):
                break
            decision = self._take_step(decision, step)
        if isinstance(decision, attempts.Deliver):
            assert self.given == WHOLE, "the answer is not whole"
        elif isinstance(decision, attempts.GiveUp):
            self._check_outcome(decision)

        assert WHOLE.startswith(self.given), "events are out of place"

    def _take_step(
        self, decision: attempts.Decision, step: Step
    ) -> attempts.Decision:
        assert self.now < DEADLINE or self.tracker.sends == 0, "sent too late"
        if not self.script.idempotent:
            assert not self.may_have_left, "sent twice"
        send = self.tracker.begin(*self._choose(decision))
        if step.late:
            stale = SendReport(number=send.number - 1, end=AttemptEnd.REFUSED)
            assert self.tracker.finish(stale, self.now) is None
        assert send.after == self._position()
        end = self._run(send, step)
        self.now += step.seconds
        report = SendReport(
            number=send.number,
            end=end,
            position=self._position(),
            target_holds=step.serves,
            continuable=self.script.continuable,
        )
        decided = self.tracker.finish(report, self.now)
        assert decided is not None
        return decided

    def _choose(self, decision: attempts.Decision) -> tuple[str, SendMode]:
        if isinstance(decision, attempts.Resume):
            return decision.target, SendMode.RESUME
        assert isinstance(
            decision, attempts.TryElsewhere | attempts.ContinueElsewhere
        )
        left = [name for name in GROUPS if name not in decision.exclude]
        assert left or decision.again or decision.exclude
        mode = (
            SendMode.START
            if isinstance(decision, attempts.TryElsewhere)
            else SendMode.CONTINUE
        )
        return (left or list(GROUPS))[0], mode

    def _run(self, send: Send, step: Step) -> AttemptEnd:
        """Lets a backend server do what the step says."""
        if step.end in (AttemptEnd.NOT_SENT, AttemptEnd.REFUSED):
            return step.end
        self.may_have_left = True
        if step.end in (AttemptEnd.LOST, AttemptEnd.FOREIGN):
            self.runs += step.ran
            self.unseen_run = self.unseen_run or step.ran
            return step.end
        if step.end in (AttemptEnd.ERROR, AttemptEnd.DENIED):
            return step.end
        self.runs += 1
        return self._stream(send, step)

    def _stream(self, send: Send, step: Step) -> AttemptEnd:
        positions = StreamPositions(request_id=REQUEST_ID, after=send.after)
        numbers = list(step.events)
        if step.end is AttemptEnd.COMPLETE:
            numbers += range(send.after + 1, EVENTS + 2)
        for number in numbers:
            self.given += positions.feed(make_event(number))
        return AttemptEnd.COMPLETE if positions.done else AttemptEnd.BROKEN

    def _position(self) -> int:
        return self.given.count(b"\n\n")

    def _check_outcome(self, decision: attempts.GiveUp) -> None:
        assert decision.marked == (self._position() > 0)
        if decision.outcome is Outcome.NOT_RUN:
            assert self.runs == 0, "told not_run, but it ran"
            assert not self.may_have_left, "told not_run after a send"
        elif decision.outcome is Outcome.FAILED:
            assert not self.unseen_run, "told failed, but it may be whole"

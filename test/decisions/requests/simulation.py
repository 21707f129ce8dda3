"""Simulation of one request that checks the decisions about it."""

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
DEADLINE_S = 100.0
GROUPS = ("a", "b", "c")


class Step(NamedTuple):
    """What happens to one send.

    Attributes:
      end: how the send ends, as observed by the node.
      ran: whether the backend server ran it, if the end leaves that open.
      events: numbers of the events that arrive, in order of arrival.
      late: whether the report of the previous send arrives again.
      serves: whether the group of the send still serves.
      seconds: duration of the send.
    """

    end: AttemptEnd
    ran: bool
    events: tuple[int, ...]
    late: bool
    serves: bool
    seconds: float


class Script(NamedTuple):
    """A request and what happens to each of its sends."""

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
    """Returns an event of the answer; the last event marks its end."""
    data = b"[DONE]" if number == EVENTS + 1 else b'{"n":%d}' % number
    return b"id: %b/%d\ndata: %b\n\n" % (REQUEST_ID.encode(), number, data)


WHOLE_ANSWER = b"".join(make_event(number) for number in range(1, EVENTS + 2))


class RequestSimulation:
    """Runs a script against the decisions and checks their guarantees."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.tracker = AttemptTracker(
            request_id=REQUEST_ID,
            idempotent=script.idempotent,
            deadline=DEADLINE_S,
        )
        self.now = 0.0
        self.runs = 0
        self.may_have_been_sent = False
        self.delivered = b""
        self.unobserved_run = False

    def run(self) -> None:
        """Runs the script to its end."""
        decision: attempts.Decision = attempts.TryElsewhere(frozenset())
        for step in self.script.steps:
            if isinstance(decision, attempts.Deliver | attempts.GiveUp):
                break
            decision = self._run_step(decision, step)
        if isinstance(decision, attempts.Deliver):
            assert self.delivered == WHOLE_ANSWER, "the answer is incomplete"
        elif isinstance(decision, attempts.GiveUp):
            self._check_outcome(decision)

        assert WHOLE_ANSWER.startswith(self.delivered), (
            "events are missing or out of order"
        )

    def _run_step(
        self, decision: attempts.Decision, step: Step
    ) -> attempts.Decision:
        assert self.now < DEADLINE_S or self.tracker.sends == 0, (
            "sent after the deadline"
        )
        if not self.script.idempotent:
            assert not self.may_have_been_sent, "sent twice"
        send = self.tracker.begin(*self._choose_target(decision))
        if step.late:
            stale_report = SendReport(
                number=send.number - 1, end=AttemptEnd.REFUSED
            )
            assert self.tracker.finish(stale_report, self.now) is None
        assert send.after == self._position()
        end = self._run_send(send, step)
        self.now += step.seconds
        report = SendReport(
            number=send.number,
            end=end,
            position=self._position(),
            target_has_attempt=step.serves,
            continuable=self.script.continuable,
        )
        next_decision = self.tracker.finish(report, self.now)
        assert next_decision is not None
        return next_decision

    def _choose_target(
        self, decision: attempts.Decision
    ) -> tuple[str, SendMode]:
        if isinstance(decision, attempts.Resume):
            return decision.target, SendMode.RESUME
        assert isinstance(
            decision, attempts.TryElsewhere | attempts.ContinueElsewhere
        )
        available = [name for name in GROUPS if name not in decision.exclude]
        assert available or decision.allow_excluded or decision.exclude
        mode = (
            SendMode.START
            if isinstance(decision, attempts.TryElsewhere)
            else SendMode.CONTINUE
        )
        return (available or list(GROUPS))[0], mode

    def _run_send(self, send: Send, step: Step) -> AttemptEnd:
        """Simulates a backend server as the step describes."""
        if step.end in (AttemptEnd.NOT_SENT, AttemptEnd.REFUSED):
            return step.end
        self.may_have_been_sent = True
        if step.end in (AttemptEnd.LOST, AttemptEnd.FOREIGN):
            self.runs += step.ran
            self.unobserved_run = self.unobserved_run or step.ran
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
            self.delivered += positions.feed(make_event(number))
        return AttemptEnd.COMPLETE if positions.done else AttemptEnd.BROKEN

    def _position(self) -> int:
        return self.delivered.count(b"\n\n")

    def _check_outcome(self, decision: attempts.GiveUp) -> None:
        assert decision.mid_stream == (self._position() > 0)
        if decision.outcome is Outcome.NOT_RUN:
            assert self.runs == 0, "reported not_run, but it ran"
            assert not self.may_have_been_sent, "reported not_run after a send"
        elif decision.outcome is Outcome.FAILED:
            assert not self.unobserved_run, (
                "reported failed, but a run may have completed"
            )

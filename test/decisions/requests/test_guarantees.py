from hypothesis import given, Phase, settings
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.requests import attempts, outcomes
from chervilrock.decisions.requests.attempts import (
    AttemptTracker,
    SendMode,
    SendReport,
)
from chervilrock.decisions.requests.outcomes import AttemptEnd
from chervilrock.decisions.requests.positions import StreamPositions
from chervilrock.generated.interfaces import Outcome
from test.decisions.requests.simulation import (
    RequestSimulation,
    Script,
    SCRIPTS,
)

EXAMPLES = 300


@settings(
    max_examples=EXAMPLES,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)
@given(SCRIPTS)
def check_guarantees(script: Script) -> None:
    RequestSimulation(script).run()


def test_guarantees_hold_for_any_script() -> None:
    check_guarantees()


def accept_everything(*_arguments: object) -> bool:
    return True


def forward_everything(_positions: StreamPositions, chunk: bytes) -> bytes:
    return chunk


def deny_every_run(_ends: object) -> Outcome:
    return Outcome.NOT_RUN


MUTATIONS = [
    (AttemptTracker, "_may_send", accept_everything),
    (AttemptTracker, "is_current", accept_everything),
    (StreamPositions, "feed", forward_everything),
    (outcomes, "judge_outcome", deny_every_run),
    (outcomes, "PROVES_NOT_RUN", frozenset(AttemptEnd)),
    (outcomes, "PROVES_ENDED", frozenset(AttemptEnd)),
]


@pytest.mark.parametrize(("target", "name", "mutant"), MUTATIONS)
def test_simulation_detects_mutation(
    monkeypatch: pytest.MonkeyPatch, target: object, name: str, mutant: object
) -> None:
    monkeypatch.setattr(target, name, mutant)
    with pytest.raises((AssertionError, ValueError)):
        check_guarantees()


def test_rejected_resume_does_not_hide_the_earlier_run() -> None:
    tracker = AttemptTracker(request_id="r", idempotent=True, deadline=9.0)
    send = tracker.begin("a", SendMode.START)
    report = SendReport(
        number=send.number,
        end=AttemptEnd.BROKEN,
        position=2,
        target_has_attempt=True,
    )
    assert tracker.finish(report, 0.0) == attempts.Resume("a", 2)
    send = tracker.begin("a", SendMode.RESUME)
    report = SendReport(number=send.number, end=AttemptEnd.REFUSED, position=2)
    expected = attempts.GiveUp(Outcome.FAILED, AttemptEnd.BROKEN, True)
    assert tracker.finish(report, 0.0) == expected


def test_invalid_start_of_a_send_is_an_error() -> None:
    tracker = AttemptTracker(request_id="r", idempotent=True, deadline=9.0)
    with pytest.raises(ValueError, match="is not valid after"):
        tracker.begin("a", SendMode.RESUME)
    tracker.begin("a", SendMode.START)
    with pytest.raises(ValueError, match="another send is in progress"):
        tracker.begin("a", SendMode.START)


ENGINE_ANSWERS = [
    (200, False, "", AttemptEnd.COMPLETE),
    (409, False, "not_leader", AttemptEnd.REFUSED),
    (409, False, "", AttemptEnd.DENIED),
    (429, False, "", AttemptEnd.REFUSED),
    (503, True, "", AttemptEnd.REFUSED),
    (503, False, "", AttemptEnd.ERROR),
    (500, True, "", AttemptEnd.ERROR),
    (400, False, "", AttemptEnd.DENIED),
    (302, False, "", AttemptEnd.DENIED),
]


@pytest.mark.parametrize(("status", "header", "code", "end"), ENGINE_ANSWERS)
def test_end_of_an_attempt_from_the_answer_of_an_engine(
    status: int, header: bool, code: str, end: AttemptEnd
) -> None:
    result = outcomes.judge_engine_answer(
        status, not_run_header=header, code=code, is_whole=True
    )
    assert result is end


@pytest.mark.parametrize(("status", "header", "code", "end"), ENGINE_ANSWERS)
def test_end_of_an_attempt_from_an_error_that_is_cut_in_its_body(
    status: int, header: bool, code: str, end: AttemptEnd
) -> None:
    # Only the code, which is in the body, tells whether a conflict was run.
    result = outcomes.judge_engine_answer(
        status, not_run_header=header, code=code, is_whole=False
    )
    is_unknown = status == outcomes.STATUS_CONFLICT and not code
    assert_that(result, Is(AttemptEnd.LOST if is_unknown else end))


def test_answers_of_plain_services_are_forwarded() -> None:
    for status in (200, 409, 429, 500, 503):
        result = outcomes.judge_service_answer(status, not_run_header=False)
        assert_that(result, Equals(AttemptEnd.COMPLETE))
    result = outcomes.judge_service_answer(503, not_run_header=True)
    assert_that(result, Equals(AttemptEnd.REFUSED))

"""Guarantees of the system, checked in the histories of all runs."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Not

from chervilrock.standin.history import Ended, Told
from chervilrock.standin.history_checks import check_history
from chervilrock.standin.history_findings import Finding, Promise
from test.history.runs import BROKEN_RUNS, Run, RUNS

MIN_REQUESTS = 2000

FOUND = {
    "doubled send": Promise.AT_MOST_ONCE,
    "forgotten ticket": Promise.AT_MOST_ONCE,
    "untrue not_run": Promise.NOT_RUN,
    "silent cut": Promise.WHOLE_ANSWER,
    "unproved presence": Promise.WHOLE_GROUP,
    "stale base": Promise.CONFIGURATION,
    "ignored leaving": Promise.LEAVING,
    "hasty stop": Promise.GRACEFUL_STOP,
}


NO_VIOLATIONS: list[str] = []


def check(get_history, name: str, run: Run) -> tuple[Finding, ...]:
    return check_history(get_history(name), blind=run.options.blind)


@pytest.mark.parametrize("name", RUNS)
def test_run_has_a_history(get_history, name):
    assert_that(get_history(name), Not(HasLength(0)))


@pytest.mark.parametrize(
    "promise", Promise, ids=lambda promise: promise.name.lower()
)
def test_promise_holds_in_every_run(get_history, promise):
    broken = [
        f"{name}: {finding.message}"
        for name, run in RUNS.items()
        for finding in check(get_history, name, run)
        if finding.promise is promise
    ]
    assert_that(broken, Equals(NO_VIOLATIONS))


def test_enough_requests_ended(get_history):
    ended = [
        entry.event
        for name in RUNS
        for entry in get_history(name)
        if isinstance(entry.event, Ended)
    ]
    assert_that(len(ended), GreaterThan(MIN_REQUESTS - 1))
    whole = [event for event in ended if event.told is Told.WHOLE]
    assert_that(len(whole), GreaterThan(MIN_REQUESTS // 2))


@pytest.mark.parametrize("name", BROKEN_RUNS)
def test_broken_product_is_found(get_history, name):
    findings = check(get_history, name, BROKEN_RUNS[name])
    promises = [finding.promise for finding in findings]
    assert_that(promises, Contains(FOUND[name]))

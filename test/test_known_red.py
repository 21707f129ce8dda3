import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, MatchesStructure, Not

from test import known_red

SUITE = """
def test_good():
    pass

def test_bad():
    assert False
"""
BAD = "test_suite.py::test_bad: counts wrongly, issue 7"


@pytest.fixture
def suite(pytester):
    pytester.makepyfile(test_suite=SUITE)
    return pytester


def run_suite(suite, *lines):
    if lines:
        suite.path.joinpath("KNOWN-RED.txt").write_text("\n".join(lines))
    return suite.runpytest_inprocess(plugins=[known_red])


def test_failure_counts_when_there_is_no_list(suite):
    result = run_suite(suite)
    result.assert_outcomes(passed=1, failed=1)
    assert_that(result.ret, Equals(pytest.ExitCode.TESTS_FAILED))


def test_listed_failure_is_expected_and_printed(suite):
    result = run_suite(suite, BAD)
    result.assert_outcomes(passed=1, xfailed=1)
    assert_that(result.ret, Equals(pytest.ExitCode.OK))
    assert_that(
        result.stdout.str(),
        Contains(
            "test_suite.py::test_bad: fails as known: counts wrongly, issue 7"
        ),
    )


def test_listed_test_that_passes_is_printed(suite):
    result = run_suite(suite, "test_suite.py::test_good: was slow, issue 8")
    result.assert_outcomes(xpassed=1, failed=1)
    assert_that(
        result.stdout.str(),
        Contains("test_suite.py::test_good: passes now"),
    )


def test_unlisted_failure_still_counts(suite):
    result = run_suite(suite, "test_suite.py::test_gone: gone, issue 9")
    result.assert_outcomes(passed=1, failed=1)
    assert_that(result.stdout.str(), Contains("test_gone: was not run"))


@pytest.mark.parametrize(
    ("lines", "finding"),
    [
        ([BAD] * 4, "4 lines, at most 3 allowed"),
        (["test_suite.py::test_bad"], "is not of the form"),
        (["test_suite.py::test_bad: no issue named"], "is not of the form"),
    ],
)
def test_bad_list_stops_the_run(suite, lines, finding):
    result = run_suite(suite, *lines)
    assert_that(result.ret, Equals(pytest.ExitCode.USAGE_ERROR))
    assert_that(result.stderr.str(), Contains(finding))


def test_three_lines_are_allowed(suite):
    result = run_suite(suite, BAD, BAD, BAD)
    assert_that(
        result,
        MatchesStructure(ret=Not(Equals(pytest.ExitCode.USAGE_ERROR))),
    )

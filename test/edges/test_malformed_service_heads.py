"""Answers of plain services, engines and nodes with heads that are not HTTP.

Failure: the lines that were malformed were dropped, and the rest was passed on
as the answer.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import HasLength

from test.edges.cutanswers import CHUNKED, CLOSED, STREAM
from test.edges.test_cut_service_answers import (
    by_length,
    EVENTS,
    in_chunks,
    INTERIM,
    list_wrong,
    LOST,
    make_answer,
    OWN,
    RECEIVERS,
    WHOLE_BODY,
)
from test.malformed import (
    BAD_FIELDS,
    BAD_STATUSES,
    BAD_VALUES,
    spoil_names,
)

BODIES = (WHOLE_BODY, EVENTS)


def make_answers(*lines: bytes, status: bytes = b"200 OK") -> list[bytes]:
    """Return whole answers with the same further lines in their heads."""
    answers = []
    for body in BODIES:
        fields = (OWN, STREAM if body is EVENTS else b"", *lines)
        for framing in (by_length(body), CHUNKED, CLOSED):
            framed = in_chunks(body) if framing is CHUNKED else body
            answers.append(make_answer(status, *fields, framing, body=framed))
    return answers


@pytest.mark.parametrize("make", RECEIVERS)
@pytest.mark.parametrize("status", [b"200 OK", b"409 No", b"503 No"])
def test_an_answer_with_a_malformed_field_is_lost(status, make) -> None:
    answers = [
        answer
        for line in (*BAD_FIELDS, *BAD_VALUES)
        for answer in make_answers(b"X-Not-Run: true\r\n", line, status=status)
    ]
    assert_that(list_wrong(make, answers, LOST), HasLength(0))


@pytest.mark.parametrize("make", RECEIVERS)
def test_an_answer_after_a_malformed_interim_one_is_lost(make) -> None:
    answers = [
        INTERIM[:-2] + line + b"\r\n" + answer
        for line in BAD_FIELDS
        for answer in make_answers()
    ]
    assert_that(list_wrong(make, answers, LOST), HasLength(0))


@pytest.mark.parametrize("make", RECEIVERS)
def test_an_answer_that_misnames_its_fields_is_lost(make) -> None:
    fields = (CHUNKED, by_length(EVENTS), STREAM)
    answers = [
        answer.replace(field, bad)
        for field in fields
        for bad in spoil_names(field)
        for answer in make_answers()
        if field in answer
    ]
    assert_that(list_wrong(make, answers, LOST), HasLength(0))


# Failure: callers got 600 and more as the status that the service gave.
@pytest.mark.parametrize("make", RECEIVERS)
def test_an_answer_with_an_undefined_status_is_lost(make) -> None:
    answers = [
        before + answer
        for status in BAD_STATUSES
        for answer in make_answers(status=status + b" OK")
        for before in (b"", INTERIM)
    ]
    assert_that(list_wrong(make, answers, LOST), HasLength(0))

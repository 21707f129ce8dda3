"""An accepted configuration stays in force, wherever it is read from."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.configurations import ConfigurationFold, Winner
from chervilrock.decisions.records import encode_body
from chervilrock.decisions.verdicts import Reason, VerdictKind
from chervilrock.generated.records import (
    ConfigurationApplied,
    Record,
    RecordId,
    RecordKind,
    StoredRecord,
)

DOCUMENT = {"name": "n", "data_centres": [], "models": []}


def make_stored(offset, base, operator="o", document=None):
    body = ConfigurationApplied(base, operator, "d", document or DOCUMENT)
    record_id = RecordId(operator, offset)
    kind = RecordKind.CONFIGURATION_APPLIED
    return StoredRecord(offset, Record(kind, record_id, encode_body(body)))


@pytest.fixture
def log():
    return [
        make_stored(1, 0),
        make_stored(2, 1, "ana"),
        make_stored(3, 1, "luz"),
        make_stored(4, 2),
    ]


@pytest.fixture
def fold():
    return ConfigurationFold()


def test_first_record_on_a_base_wins_and_is_named_to_the_second(fold, log):
    verdicts = [fold.judge(stored) for stored in log]
    accepted = [judged.verdict.accepted for judged in verdicts]
    assert_that(accepted, Equals([True, True, False, True]))
    assert_that(verdicts[2].verdict.reason, Is(Reason.STALE_BASE))
    assert_that(verdicts[2].winner, Equals(Winner(2, "ana")))
    assert_that(fold.revision, Equals(4))


def test_a_record_sent_again_is_a_duplicate_without_a_winner(fold, log):
    fold.apply(log[0])
    again = fold.judge(StoredRecord(2, log[0].record))
    assert_that(again.verdict.kind, Is(VerdictKind.DUPLICATE))
    assert_that(again.winner, Is(None))


def test_only_greater_revisions_are_adopted_from_a_peer(fold, log):
    assert fold.adopt(log[3])
    assert_that(fold.adopt(log[1]), Is(False))
    assert_that(fold.adopt(log[3]), Is(False))
    assert_that(fold.revision, Equals(4))


def test_reading_earlier_records_again_neither_reverts_nor_rejects(fold, log):
    fold.adopt(log[3])
    accepted = []
    for stored in log:
        accepted.append(fold.judge(stored).verdict.accepted)
        assert_that(fold.revision, Equals(4))
    assert_that(accepted, Equals([True, True, False, True]))
    assert fold.judge(make_stored(5, 4)).verdict.accepted
    assert_that(fold.revision, Equals(5))


def test_an_adopted_record_bridges_a_trimmed_log(fold, log):
    fold.apply(log[0])
    fold.adopt(log[1])
    assert_that(fold.resume(4), Is(False))
    assert fold.resume(3)
    assert_that(fold.judge(log[2]).winner, Equals(Winner(2, "ana")))
    assert fold.judge(log[3]).verdict.accepted


def test_a_document_of_the_wrong_type_is_rejected(fold):
    verdict = fold.apply(make_stored(1, 0, document={"name": 1}))
    assert_that(verdict.reason, Is(Reason.UNREADABLE))
    assert_that(fold.adopt(make_stored(1, 0, document={"name": 1})), Is(False))
    assert_that(fold.revision, Equals(0))


def test_a_snapshot_restores_the_accepted_record(fold, log):
    for stored in log:
        fold.apply(stored)
    restored = ConfigurationFold.restore(fold.export())
    assert_that(restored.export(), Equals(fold.export()))
    assert_that(restored.revision, Equals(4))
    assert restored.apply(make_stored(5, 4)).accepted

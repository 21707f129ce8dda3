"""Entries of servers from a store that came back from a copy."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is

from chervilrock.decisions.serving.entries import NewestEntries
from chervilrock.decisions.serving.site import BackendServer
from chervilrock.decisions.serving.terms import make_term, OFFSETS_PER_ERA


def make_entry(writes: int, *, born: int = 7, is_leaving: bool = False):
    return BackendServer(
        server="i-1",
        service="desk",
        address="127.0.0.1:1",
        data_centre="a",
        domain="",
        is_leaving=is_leaving,
        slots=4,
        staged=(),
        membership=None,
        born=born,
        writes=writes,
    )


@pytest.fixture
def entries() -> NewestEntries:
    entries = NewestEntries()
    entries.take(make_entry(5, is_leaving=True))
    return entries


def test_a_server_that_leaves_is_not_ready_again(
    entries: NewestEntries,
) -> None:
    entries.note_copy()
    assert_that(entries.take(make_entry(4)).is_leaving, Is(True))


def test_a_server_is_known_though_it_was_gone(entries: NewestEntries) -> None:
    entries.note_gone("i-1")
    assert_that(list(entries.list_present()), HasLength(0))
    entries.note_copy()
    assert_that(entries.take(make_entry(4)).is_leaving, Is(True))


@pytest.mark.parametrize(
    "entry",
    [make_entry(6), make_entry(1, born=8), make_entry(1, born=0)],
    ids=["written again", "started again", "does not tell its start"],
)
def test_what_is_newer_counts(
    entries: NewestEntries, entry: BackendServer
) -> None:
    entries.note_copy()
    assert_that(entries.take(entry).is_leaving, Is(False))


def test_order_matters_only_after_a_copy(entries: NewestEntries) -> None:
    assert_that(entries.take(make_entry(4)).is_leaving, Is(False))


def test_a_claim_of_a_later_era_is_newer_than_all_before() -> None:
    assert_that(make_term(0, 9), Equals(9))
    assert_that(make_term(1, 0), GreaterThan(make_term(0, OFFSETS_PER_ERA - 1)))

"""Entries of servers from a store that was restored from a backup."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is

from chervilrock.decisions.serving.nodes.terms import make_term, OFFSETS_PER_ERA
from chervilrock.decisions.serving.servers.entries import NewestEntries
from chervilrock.decisions.serving.site import BackendServer


def make_entry(writes: int, *, started_ms: int = 7, is_leaving: bool = False):
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
        started_ms=started_ms,
        writes=writes,
    )


@pytest.fixture
def entries() -> NewestEntries:
    entries = NewestEntries()
    entries.update(make_entry(5, is_leaving=True))
    return entries


def test_an_older_entry_does_not_make_a_leaving_server_ready(
    entries: NewestEntries,
) -> None:
    entries.record_restore()
    assert_that(entries.update(make_entry(4)).is_leaving, Is(True))


def test_the_last_entry_of_a_server_that_is_gone_is_kept(
    entries: NewestEntries,
) -> None:
    entries.record_gone("i-1")
    assert_that(list(entries.list_present()), HasLength(0))
    entries.record_restore()
    assert_that(entries.update(make_entry(4)).is_leaving, Is(True))


@pytest.mark.parametrize(
    "entry",
    [make_entry(6), make_entry(1, started_ms=8), make_entry(1, started_ms=0)],
    ids=["written again", "started again", "does not report its start"],
)
def test_an_entry_that_may_be_newer_replaces_the_known_one(
    entries: NewestEntries, entry: BackendServer
) -> None:
    entries.record_restore()
    assert_that(entries.update(entry).is_leaving, Is(False))


def test_write_counts_are_compared_only_after_a_restore(
    entries: NewestEntries,
) -> None:
    assert_that(entries.update(make_entry(4)).is_leaving, Is(False))


def test_a_claim_of_a_later_era_is_newer_than_all_before() -> None:
    assert_that(make_term(0, 9), Equals(9))
    assert_that(make_term(1, 0), GreaterThan(make_term(0, OFFSETS_PER_ERA - 1)))

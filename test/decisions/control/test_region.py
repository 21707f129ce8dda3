"""Rules by which the region fold accepts and rejects records."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.ownership import Ownership
from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.region import RegionState
from chervilrock.decisions.verdicts import Reason, VerdictKind
from chervilrock.generated.records import (
    ControllerClaimed,
    ControllerReleased,
    ControllerRenewed,
    GroupGranted,
    GroupPhase,
    GroupPhaseChanged,
    GroupRepaired,
    HostCleared,
    HostQuarantined,
    HostReleased,
    KeyFinished,
    SparesGranted,
    StoredRecord,
)

HOSTS = ("h0", "h1")


class Driver:
    """A fold to which bodies are applied at the next offset."""

    def __init__(self):
        self.state = RegionState()
        self.writer = RecordWriter(node="a", incarnation="1")

    def apply(self, body):
        record = self.writer.prepare(body)
        return self.state.apply(StoredRecord(self.state.upto + 1, record))

    def claim(self):
        state = self.state
        return self.apply(
            ControllerClaimed("a", "x", state.epoch, 3000, state.renewed)
        )

    def grant(self, name="g", hosts=HOSTS):
        body = GroupGranted(self.state.epoch, name, "m", "v", (), hosts, "f", 1)
        return self.apply(body)

    def phase(self, phase, fence=2, incarnations=()):
        epoch = self.state.epoch
        body = GroupPhaseChanged(epoch, "g", fence, phase, incarnations)
        return self.apply(body)

    def repair(self, hosts, fence=2, reserve=0):
        epoch = self.state.epoch
        return self.apply(GroupRepaired(epoch, "g", fence, hosts, "f", reserve))

    def spares(self, hosts, fence=2):
        incarnations = tuple("i" for _ in hosts)
        return self.apply(
            SparesGranted(self.state.epoch, "g", fence, hosts, incarnations)
        )


@pytest.fixture
def driver():
    claimed = Driver()
    claimed.claim()
    return claimed


def test_claims_name_the_epoch_and_the_last_renewal(driver):
    stale = ControllerClaimed("b", "x", 0, 3000, 0)
    assert_that(driver.apply(stale).reason, Is(Reason.STALE_EPOCH))
    driver.apply(ControllerRenewed(1))
    late = ControllerClaimed("b", "x", 1, 3000, 1)
    assert_that(driver.apply(late).accepted, Is(False))
    assert driver.claim().accepted
    assert_that(driver.state.epoch, Equals(5))
    assert_that(driver.apply(ControllerRenewed(1)).accepted, Is(False))


def test_a_released_epoch_changes_nothing_more(driver):
    assert driver.apply(ControllerReleased(1)).accepted
    assert_that(driver.grant().reason, Is(Reason.STALE_EPOCH))
    assert driver.claim().accepted


def test_grants_need_free_hosts_and_a_new_name(driver):
    assert driver.grant().accepted
    assert_that(driver.grant("o").reason, Is(Reason.HOST_OWNED))
    assert_that(
        driver.grant(hosts=("h5", "h6")).reason, Is(Reason.GROUP_EXISTS)
    )
    assert_that(driver.grant("o", ("h2", "h2")).reason, Is(Reason.WRONG_HOSTS))
    assert_that(driver.grant("o", ()).reason, Is(Reason.WRONG_HOSTS))
    assert_that(driver.state.groups["g"].fence, Equals(2))


def test_phases_go_forward_only(driver):
    driver.grant()
    assert driver.phase(GroupPhase.SERVING, incarnations=("i", "j")).accepted
    assert_that(driver.phase(GroupPhase.LOADING).reason, Is(Reason.WRONG_PHASE))
    assert driver.phase(GroupPhase.DRAINING).accepted
    assert driver.phase(GroupPhase.DISSOLVED).accepted
    assert_that(driver.repair(("h0", "h2")).reason, Is(Reason.WRONG_PHASE))


def test_a_repaired_group_keeps_its_former_host_until_release(driver):
    driver.grant()
    driver.phase(GroupPhase.SERVING)
    assert driver.repair(("h0", "h2")).accepted
    group = driver.state.groups["g"]
    assert_that(group.fence, Equals(4))
    assert_that(group.phase, Is(GroupPhase.LOADING))
    assert_that(driver.state.owners["h1"], Equals(Ownership("g", 2, False, 4)))
    assert_that(driver.grant("o", ("h1", "h3")).reason, Is(Reason.HOST_OWNED))
    assert_that(
        driver.repair(("h0", "h1"), fence=4).reason, Is(Reason.HOST_OWNED)
    )
    assert_that(driver.repair(("h0", "h3")).reason, Is(Reason.STALE_FENCE))
    assert_that(
        driver.apply(HostReleased(1, "h0", 4)).reason,
        Is(Reason.HOST_NOT_REVOKED),
    )
    assert driver.apply(HostReleased(1, "h1", 2)).accepted
    assert driver.grant("o", ("h1", "h3")).accepted


def test_a_dissolved_group_is_removed_with_its_last_host(driver):
    driver.grant()
    driver.phase(GroupPhase.DISSOLVED)
    driver.apply(HostReleased(1, "h0", 2))
    assert "g" in driver.state.groups
    assert driver.apply(HostQuarantined(1, "h1", 2, "x")).accepted
    assert "g" not in driver.state.groups
    assert_that(driver.state.is_free("h1"), Is(False))
    assert not driver.apply(HostReleased(1, "h1", 2)).accepted
    assert driver.apply(HostCleared(1, "h1", 2)).accepted
    assert driver.state.is_free("h1")


def test_spares_are_reserved_for_their_group(driver):
    driver.grant()
    assert driver.spares(("h2", "h3")).accepted
    assert_that(driver.grant("o", ("h2", "h4")).reason, Is(Reason.HOST_OWNED))
    assert driver.spares(("h3",)).accepted
    assert_that(driver.state.owners["h2"].revoked, Equals(5))
    assert driver.repair(("h3", "h1")).accepted
    assert_that(driver.state.groups["g"].spares, Equals(()))
    assert_that(driver.state.groups["g"].reserve, Equals(0))


def test_a_repair_done_in_an_outage_keeps_its_reserve_fence(driver):
    driver.grant()
    driver.phase(GroupPhase.SERVING)
    driver.spares(("h2",))
    assert_that(
        driver.repair(("h0", "h2"), reserve=3).reason, Is(Reason.STALE_FENCE)
    )
    assert driver.repair(("h0", "h2"), reserve=4).accepted
    assert_that(driver.state.groups["g"].fence, Equals(4))
    assert driver.phase(GroupPhase.SERVING, fence=4).accepted


def test_duplicates_and_earlier_offsets_change_nothing(driver):
    record = driver.writer.prepare(
        GroupGranted(1, "g", "m", "v", (), HOSTS, "f", 1)
    )
    assert driver.state.apply(StoredRecord(2, record)).accepted
    again = driver.state.apply(StoredRecord(3, record))
    assert_that(again.kind, Is(VerdictKind.DUPLICATE))
    earlier = driver.state.apply(StoredRecord(2, record))
    assert_that(earlier.kind, Is(VerdictKind.SKIPPED))
    assert_that(driver.state.upto, Equals(3))


def test_records_of_other_streams_are_rejected(driver):
    verdict = driver.apply(KeyFinished("k", "w", "o"))
    assert_that(verdict.reason, Is(Reason.FOREIGN_KIND))


def test_a_snapshot_restores_everything(driver):
    driver.grant()
    driver.phase(GroupPhase.SERVING, incarnations=("i", "j"))
    driver.spares(("h5",))
    driver.repair(("h0", "h2"))
    driver.apply(HostQuarantined(1, "h1", 2, "x"))
    text = driver.state.export()
    restored = RegionState.restore(text)
    assert_that(restored.export(), Equals(text))
    assert_that(restored.quarantined, Equals({"h1": None}))
    assert_that(restored.groups, Equals(driver.state.groups))

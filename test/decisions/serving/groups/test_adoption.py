"""Tests that a new leader adopts groups beside entries of other programs."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.groups import groupnames
from chervilrock.decisions.serving.site import (
    Membership,
    MemberState,
    Service,
    SiteConfiguration,
)
from test.decisions.serving.fleet import CONFIGURATION, Fleet

PLAIN_SERVICE = "apps"
"""Service of the configuration whose servers form no groups."""

ODD_FIELDS: Mapping[str, Mapping[str, Any]] = MappingProxyType(
    {
        "service": {"service": "nowhere"},
        "plain service": {"service": PLAIN_SERVICE},
        "service, address, domain": {
            "service": "nowhere",
            "address": "127.0.0.1:9",
            "domain": "elsewhere",
        },
        "domain": {"domain": "elsewhere"},
        "address": {"address": "127.0.0.1:9"},
        "key": {},
    }
)
"""Fields in which the copy of an entry differs, besides its key."""


@pytest.fixture
def fleet() -> Fleet:
    """Return a fleet of two domains with serving groups."""
    made = Fleet(domains=2, hosts=8, seed=1)
    made.run(8.0)
    made.start_traffic()
    return made


def list_memberships(fleet: Fleet) -> dict[str, Membership | None]:
    """Return the memberships of the servers of the fleet."""
    return {
        name: server.membership
        for name, server in fleet.servers.items()
        if name not in fleet.foreign_entries
    }


def copy_entry(
    fleet: Fleet, key: str, rank: int, fields: Mapping[str, Any]
) -> None:
    """Write a copy of a member's entry under a key of its own."""
    group = fleet.controller.list_groups(fleet.now)[0]
    original = fleet.servers[group.server].members[rank]
    entry = fleet.make_entry(fleet.servers[original])
    fleet.foreign_entries[key] = entry._replace(server=key, **fields)
    copy = fleet.add(key, "")
    copy.has_entry = False
    if "address" in fields:
        copy.is_unreachable = True
    else:
        copy.successor = original


@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("key", ["a-first", "z-last"])
@pytest.mark.parametrize("odd", ODD_FIELDS)
def test_a_copy_of_an_entry_takes_no_group_apart(
    fleet: Fleet, odd: str, key: str, rank: int
) -> None:
    # Failure: the copy makes a new leader forget or dissolve an open group, and
    # its head joins another one while it is open.
    before = list_memberships(fleet)
    copy_entry(fleet, key, rank, ODD_FIELDS[odd])
    services = {PLAIN_SERVICE: Service(PLAIN_SERVICE, None)}
    controller = fleet.make_controller(term=2)
    controller.set_configuration(
        CONFIGURATION._replace(services={**CONFIGURATION.services, **services})
    )
    fleet.run(6.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(list_memberships(fleet), Equals(before))
    assert_that(fleet.serving(), Equals({"large": 2, "small": 2}))


def test_copies_for_all_groups_take_none_apart(fleet: Fleet) -> None:
    # Failure: with a copy for each group, all groups are taken apart at once.
    before = list_memberships(fleet)
    for number, group in enumerate(fleet.controller.list_groups(fleet.now)):
        entry = fleet.make_entry(fleet.servers[group.server])
        key = f"a-{number}"
        copy = fleet.add(key, "")
        copy.is_unreachable = True
        copy.has_entry = False
        fleet.foreign_entries[key] = entry._replace(
            server=key, service="nowhere"
        )
    fleet.make_controller(term=2)
    fleet.run(6.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(list_memberships(fleet), Equals(before))


@pytest.mark.parametrize("rank", [9, 0])
@pytest.mark.parametrize("epoch", [0, 7, 100_001, 900_001])
def test_an_odd_rank_or_epoch_takes_no_group_apart(
    fleet: Fleet, rank: int, epoch: int
) -> None:
    # Failure: a group seems to have a member too many, and is dissolved.
    before = list_memberships(fleet)
    copy_entry(fleet, "a-first", 0, {})
    odd = fleet.foreign_entries["a-first"]
    assert odd.membership is not None
    changed = odd.membership._replace(
        rank=rank, epoch=epoch or odd.membership.epoch
    )
    fleet.foreign_entries["a-first"] = odd._replace(membership=changed)
    fleet.make_controller(term=2)
    fleet.run(6.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(list_memberships(fleet), Equals(before))


def test_a_copy_that_is_removed_takes_no_group_apart(fleet: Fleet) -> None:
    # Failure: the removal of a copy counts as the loss of a member.
    before = list_memberships(fleet)
    copy_entry(fleet, "a-first", 0, ODD_FIELDS["address"])
    fleet.make_controller(term=2)
    fleet.run(1.0)
    fleet.controller.record_removed("a-first")
    fleet.run(5.0)
    assert_that(list_memberships(fleet), Equals(before))
    assert_that(fleet.violations, HasLength(0))


@pytest.mark.parametrize(
    "first",
    [None, CONFIGURATION._replace(services={})],
    ids=["unread", "without the service"],
)
def test_a_late_configuration_takes_no_group_apart(
    fleet: Fleet, first: SiteConfiguration | None
) -> None:
    # Failure: a group whose service has no engine yet counts as ended.
    before = list_memberships(fleet)
    controller = fleet.make_controller(term=2)
    controller._registry.configuration = first
    fleet.run(2.0)
    controller.set_configuration(CONFIGURATION)
    fleet.run(5.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(list_memberships(fleet), Equals(before))


def test_a_host_in_a_group_of_another_program_is_used(fleet: Fleet) -> None:
    # Failure: the head of an open group of another program joins another one.
    host = fleet.add("host", "d0")
    host.membership = Membership("theirs", 1, 0, MemberState.OPEN)
    host.members = ("host",)
    host.highest_epoch = 1
    fleet.make_controller(term=2)
    fleet.run(6.0)
    assert_that(fleet.violations, HasLength(0))
    assert host.membership is not None
    assert groupnames.parse_name(host.membership.group) is not None


def test_a_host_whose_entry_is_out_of_date_is_used(fleet: Fleet) -> None:
    # Guards against a new leader that waits until the server confirms it.
    host = fleet.add("host", "d0")
    epoch = groupnames.make_epoch(1, 500)
    name = groupnames.make_name("large", epoch, is_standby=False)
    membership = Membership(name, epoch, 1, MemberState.READY)
    host.stale_entry = fleet.make_entry(host)._replace(membership=membership)
    fleet.make_controller(term=2)
    fleet.run(4.0)
    assert host.membership is not None
    assert_that(groupnames.find_term(host.membership.epoch), Equals(2))
    assert_that(fleet.violations, HasLength(0))

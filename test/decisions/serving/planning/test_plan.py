"""Assignment of hosts to groups, and groups that are dissolved."""

from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.planning.plan import (
    DomainHosts,
    FreeHost,
    PlacedGroup,
    plan_service,
    ServicePlan,
)
from test.decisions.serving.fleet import LARGE, SMALL

EVEN_NEEDS = {"large": 1.0, "small": 1.0}
OVERLOADED = frozenset({"large"})


def make_host(name: str, *models: str, standby: bool = False) -> FreeHost:
    """Return a host with the first model in memory and others on its disk."""
    loaded = models[0] if models else ""
    return FreeHost(name, loaded, models[1:] or models, standby)


def make_group(name: str, model: str, size: int, requests: int = 3):
    """Return a group whose hosts have the weights of both models."""
    other = "small" if model == "large" else "large"
    members = tuple(make_host(f"{name}-{n}", model, other) for n in range(size))
    return PlacedGroup(name, model, members, requests, True)


def plan(
    *domains: DomainHosts,
    needs: dict[str, float] = EVEN_NEEDS,
    may_load: bool = False,
    overloaded: frozenset[str] = frozenset(),
) -> ServicePlan:
    """Return a plan for the two models of the tests."""
    return plan_service(
        domains,
        models=(LARGE, SMALL),
        needs=needs,
        may_load=may_load,
        overloaded=overloaded,
    )


@pytest.mark.parametrize(
    ("hosts", "groups"),
    [
        (8, {"large": 1, "small": 1}),
        (7, {"large": 1, "small": 1}),
        (6, {"large": 1, "small": 1}),
        (5, {"large": 1}),
        (3, {"small": 1}),
        (1, {}),
    ],
)
def test_a_domain_serves_each_model_before_it_keeps_standby_hosts(
    hosts: int, groups: dict[str, int]
) -> None:
    free = tuple(make_host(f"h{n}") for n in range(hosts))
    planned = plan(DomainHosts("d", free, ()), may_load=True)
    formed = Counter(formation.model for formation in planned.formations)
    assert_that(dict(formed), Equals(groups))


def test_survivors_and_a_standby_host_form_a_group_at_once() -> None:
    free = [make_host(f"h{n}", "large") for n in range(3)]
    free.append(make_host("s", "large", standby=True))
    free.append(make_host("t", "small", standby=True))
    groups = (make_group("g", "small", 2),)
    planned = plan(DomainHosts("d", tuple(free), groups))
    (formation,) = planned.formations
    assert_that(set(formation.members), Equals({"h0", "h1", "h2", "s"}))


def test_survivors_form_a_group_with_a_host_that_staged_their_model() -> None:
    free = [make_host(f"h{n}", "large") for n in range(3)]
    free.append(make_host("t", "small", "large", standby=True))
    groups = (make_group("g", "small", 2),)
    planned = plan(DomainHosts("d", tuple(free), groups))
    (formation,) = planned.formations
    assert_that(set(formation.members), Equals({"h0", "h1", "h2", "t"}))


def test_an_empty_host_loads_the_model_whose_group_lacks_one_host() -> None:
    free = [make_host(f"h{n}", "large") for n in range(3)] + [make_host("e")]
    groups = (make_group("g", "small", 2),)
    planned = plan(DomainHosts("d", tuple(free), groups))
    loads = [
        preparation
        for preparation in planned.preparations
        if preparation.needs_load
    ]
    assert_that(
        [(load.server, load.model) for load in loads], Equals([("e", "large")])
    )


def make_site_after_losses() -> list[DomainHosts]:
    """Return six domains of which five have lost a host of a large group."""
    domains = []
    for number in range(6):
        name = f"d{number}"
        groups = tuple(
            make_group(f"{name}-s{n}", "small", 2, requests=4 + n)
            for n in range(2)
        )
        free = tuple(make_host(f"{name}-{n}", "large") for n in range(3))
        if number == 5:
            groups += (make_group("d5-l", "large", 4),)
            free = ()
        domains.append(DomainHosts(name, free, groups))
    return domains


def test_a_small_group_is_dissolved_for_a_model_short_of_capacity() -> None:
    # The models need 4.4 and 8 groups. One of six large groups is left; each
    # of the other domains has three idle survivors.
    needs = {"large": 4.4, "small": 8.0}
    planned = plan(
        *make_site_after_losses(), needs=needs, overloaded=OVERLOADED
    )
    (move,) = planned.moves
    assert_that(move.model, Equals("large"))
    assert_that(move.groups, HasLength(1))
    assert_that(move.groups[0].endswith("-s0"), Equals(True))


def test_reserved_hosts_wait_for_members_of_the_dissolved_group() -> None:
    domains = make_site_after_losses()
    needs = {"large": 4.4, "small": 14.0}
    reserved = domains[0]._replace(reserved_for="large", groups=())
    planned = plan(reserved, *domains[1:], needs=needs, overloaded=OVERLOADED)
    formed = [formation.members[0] for formation in planned.formations]
    assert_that(
        [server for server in formed if server.startswith("d0")], HasLength(0)
    )
    prepared = [preparation.server for preparation in planned.preparations]
    assert_that(
        [server for server in prepared if server.startswith("d0")], HasLength(0)
    )


def test_no_group_of_a_model_with_the_greater_shortage_is_dissolved() -> None:
    needs = {"large": 4.4, "small": 60.0}
    planned = plan(
        *make_site_after_losses(), needs=needs, overloaded=OVERLOADED
    )
    assert_that(planned.moves, HasLength(0))


def test_no_group_is_dissolved_while_the_groups_are_not_full() -> None:
    needs = {"large": 4.4, "small": 8.0}
    planned = plan(*make_site_after_losses(), needs=needs)
    assert_that(planned.moves, HasLength(0))


def test_survivors_serve_another_model_short_of_capacity() -> None:
    free = tuple(make_host(f"h{n}", "large", "small") for n in range(3))
    groups = (make_group("l", "large", 4),)
    planned = plan(DomainHosts("d", free, groups), needs={"small": 4.0})
    assert_that(
        [formation.model for formation in planned.formations], Equals(["small"])
    )


def test_a_domain_keeps_two_standby_hosts_without_a_shortage() -> None:
    free = tuple(make_host(f"h{n}", "large", "small") for n in range(3))
    groups = (make_group("l", "large", 4), make_group("s", "small", 2))
    planned = plan(DomainHosts("d", free, groups))
    assert_that(planned.formations, HasLength(0))
    assert_that(planned.preparations, HasLength(3))

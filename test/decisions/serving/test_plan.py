"""Which groups are formed of which hosts, and which are taken apart."""

from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from chervilrock.decisions.serving.plan import (
    DomainHosts,
    FreeHost,
    PlacedGroup,
    plan_service,
    ServicePlan,
)
from test.decisions.serving.fleet import LARGE, SMALL

EVEN = {"large": 1.0, "small": 1.0}
PRESSED = frozenset({"large"})


def make_host(name: str, *models: str, standby: bool = False) -> FreeHost:
    """Return a host with a model in memory and others on its disk."""
    loaded = models[0] if models else ""
    return FreeHost(name, loaded, models[1:] or models, standby)


def make_group(name: str, model: str, size: int, requests: int = 3):
    """Return a group whose hosts hold both models."""
    other = "small" if model == "large" else "large"
    members = tuple(make_host(f"{name}-{n}", model, other) for n in range(size))
    return PlacedGroup(name, model, members, requests, True)


def plan(
    *domains: DomainHosts,
    needs: dict[str, float] = EVEN,
    may_load: bool = False,
    pressed: frozenset[str] = frozenset(),
) -> ServicePlan:
    """Plan for the two models of the tests."""
    return plan_service(
        domains,
        models=(LARGE, SMALL),
        needs=needs,
        may_load=may_load,
        pressed=pressed,
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
    formed = Counter(one.model for one in planned.formations)
    assert_that(dict(formed), Equals(groups))


def test_survivors_and_a_standby_host_form_a_group_at_once() -> None:
    free = [make_host(f"h{n}", "large") for n in range(3)]
    free.append(make_host("s", "large", standby=True))
    free.append(make_host("t", "small", standby=True))
    groups = (make_group("g", "small", 2),)
    planned = plan(DomainHosts("d", tuple(free), groups))
    (formation,) = planned.formations
    assert_that(set(formation.members), Equals({"h0", "h1", "h2", "s"}))


def test_survivors_get_a_host_that_holds_their_model_on_its_disk() -> None:
    free = [make_host(f"h{n}", "large") for n in range(3)]
    free.append(make_host("t", "small", "large", standby=True))
    groups = (make_group("g", "small", 2),)
    planned = plan(DomainHosts("d", tuple(free), groups))
    (formation,) = planned.formations
    assert_that(set(formation.members), Equals({"h0", "h1", "h2", "t"}))


def test_an_empty_host_completes_the_group_that_lacks_one() -> None:
    free = [make_host(f"h{n}", "large") for n in range(3)] + [make_host("e")]
    groups = (make_group("g", "small", 2),)
    planned = plan(DomainHosts("d", tuple(free), groups))
    loads = [one for one in planned.preparations if one.needs_load]
    assert_that(
        [(one.server, one.model) for one in loads], Equals([("e", "large")])
    )


def make_worn_site() -> list[DomainHosts]:
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


def test_a_small_group_is_taken_apart_for_a_model_that_is_short() -> None:
    # The demand of the two models is 4.4 and 8 groups; one large group is
    # left of six, beside three idle survivors in each other domain.
    needs = {"large": 4.4, "small": 8.0}
    planned = plan(*make_worn_site(), needs=needs, pressed=PRESSED)
    (move,) = planned.moves
    assert_that(move.model, Equals("large"))
    assert_that(move.groups, HasLength(1))
    assert_that(move.groups[0].endswith("-s0"), Equals(True))


def test_hosts_that_are_promised_wait_for_those_of_the_group() -> None:
    domains = make_worn_site()
    needs = {"large": 4.4, "small": 14.0}
    promised = domains[0]._replace(promised="large", groups=())
    planned = plan(promised, *domains[1:], needs=needs, pressed=PRESSED)
    formed = [one.members[0] for one in planned.formations]
    assert_that([one for one in formed if one.startswith("d0")], HasLength(0))
    prepared = [one.server for one in planned.preparations]
    assert_that([one for one in prepared if one.startswith("d0")], HasLength(0))


def test_nothing_is_taken_apart_while_the_other_model_lacks_more() -> None:
    needs = {"large": 4.4, "small": 60.0}
    planned = plan(*make_worn_site(), needs=needs, pressed=PRESSED)
    assert_that(planned.moves, HasLength(0))


def test_nothing_is_taken_apart_while_the_groups_are_not_full() -> None:
    needs = {"large": 4.4, "small": 8.0}
    planned = plan(*make_worn_site(), needs=needs)
    assert_that(planned.moves, HasLength(0))


def test_survivors_serve_another_model_that_is_short() -> None:
    free = tuple(make_host(f"h{n}", "large", "small") for n in range(3))
    groups = (make_group("l", "large", 4),)
    planned = plan(DomainHosts("d", free, groups), needs={"small": 4.0})
    assert_that([one.model for one in planned.formations], Equals(["small"]))


def test_a_domain_keeps_two_hosts_while_no_model_is_short() -> None:
    free = tuple(make_host(f"h{n}", "large", "small") for n in range(3))
    groups = (make_group("l", "large", 4), make_group("s", "small", 2))
    planned = plan(DomainHosts("d", free, groups))
    assert_that(planned.formations, HasLength(0))
    assert_that(planned.preparations, HasLength(3))

"""Tests that the guarantees hold while leaders, hosts and orders fail."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, HasLength, Is

from test.decisions.serving.fleet import FakeServer, Faults, Fleet

STEPS = 10
FAR_TOO_SLOW = 12.0


def list_present(fleet: Fleet) -> list[FakeServer]:
    """Return the servers that are not lost, by name."""
    return [
        server
        for _, server in sorted(fleet.servers.items())
        if not server.is_dead
    ]


def disturb_host(fleet: Fleet) -> None:
    """Kill, restart, slow down or drain a host, or do nothing."""
    generator = fleet.generator
    server = generator.choice(list_present(fleet))
    stalled = server.membership
    match generator.randrange(6):
        case 0:
            fleet.kill(server.server)
        case 1:
            fleet.restart(server.server)
        case 2:
            server.time_factor = generator.choice((1.0, FAR_TOO_SLOW))
        case 3:
            server.is_leaving = True
        case _:
            stalled = None
    if stalled is not None:
        for controller in (*fleet.former, fleet.controller):
            controller.record_stall(stalled.group, fleet.now)
        fleet.add(f"new-{fleet.now}", "d0")


def change_leader(fleet: Fleet, term: int) -> int:
    """Let a new leader take over or a former one stop; return the term."""
    match fleet.generator.randrange(6):
        case 0 | 1:
            fleet.cut_off_leader(term + 1)
        case 2:
            fleet.make_controller(term + 1)
        case 3:
            fleet.stop_former()
            return term
        case _:
            return term
    return term + 1


@pytest.mark.parametrize("seed", range(40))
def test_guarantees_hold_while_leaders_hosts_and_orders_fail(
    seed: int,
) -> None:
    # Failure: a host is taken from an open group, or the last leader gives up
    # though there is no later one.
    fleet = Fleet(domains=1, hosts=7, seed=seed)
    generator = fleet.generator
    fleet.report_lag_s = generator.choice((0.0, 0.25, 0.45))
    fleet.run(generator.uniform(1.0, 6.0))
    fleet.start_traffic()
    fleet.faults = Faults(
        lost=generator.choice((0.0, 0.15)), late=generator.choice((0.0, 0.4))
    )
    term = 1
    for _ in range(STEPS):
        fleet.run(generator.uniform(0.1, 2.5))
        disturb_host(fleet)
        term = change_leader(fleet, term)
    fleet.stop_former()
    fleet.faults = Faults()
    for server in fleet.servers.values():
        server.time_factor = 1.0
    for number in range(6):
        fleet.add(f"spare-{number}", "d0")
    fleet.run(40.0)
    assert_that(fleet.violations, HasLength(0))
    assert_that(fleet.controller.is_superseded, Is(False))
    assert_that(sum(fleet.serving().values()), GreaterThan(0))
    spare = [
        server.server
        for server in list_present(fleet)
        if server.server.startswith("spare") and server.membership is None
    ]
    assert_that(spare, HasLength(0))

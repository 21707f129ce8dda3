"""A read of the store is lost while the store answers all other calls."""

import asyncio
import itertools

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from chervilrock.clients.serving import Topic
from chervilrock.decisions.serving.store.polling import MIN_LONG_POLL_S
from chervilrock.platform.store import TIMEOUT_S
from test.tasks.installation import Fault, Installation, STORE_S
from test.tasks.virtual_time import run_virtually

BOUND_S = 2.0
"""Time after which a server that has left may get no requests."""

WARM_UP_S = 5.0
LONGEST_READ_S = TIMEOUT_S + MIN_LONG_POLL_S


DELAYS_S = (0.0, 0.05, 0.2, 0.5)
"""Times from the end of the lost read to the removal of the server."""


async def lose_read_of_leader(
    monkeypatch: pytest.MonkeyPatch, topic: Topic
) -> Installation:
    """Return an installation whose leader has just lost a read of a topic."""
    site = Installation(monkeypatch=monkeypatch, seed=6)
    await site.start(nodes=6, data_centres=3)
    await asyncio.sleep(WARM_UP_S)
    leader = site.find_leader()
    assert leader is not None
    connection = site.running_nodes[leader].connection
    connection.lose_read(topic)
    await site.wait_until(lambda: connection.timeouts > 0, LONGEST_READ_S)
    assert connection.timeouts > 0
    return site


async def measure_removal(
    monkeypatch: pytest.MonkeyPatch, topic: Topic, delay_s: float
) -> float:
    """Return the seconds until no node uses a server whose entry was removed.

    Args:
      monkeypatch: replaces the clock.
      topic: topic of which the leader loses a read.
      delay_s: time from the end of that read to the removal.
    """
    site = await lose_read_of_leader(monkeypatch, topic)
    await asyncio.sleep(delay_s)
    site.remove_server()
    removed_at = site.loop.time()
    await site.wait_until(site.has_no_server, 2 * LONGEST_READ_S)
    await site.stop()
    return site.loop.time() - removed_at


def test_a_lost_read_does_not_keep_a_server_in_use(monkeypatch) -> None:
    # The leader took one failed read for an outage of the store, and held the
    # removals of servers back for 2.3 s.
    late = {
        (topic, delay_s): run_virtually(
            measure_removal(monkeypatch, topic, delay_s)
        )
        for topic, delay_s in itertools.product(Topic, DELAYS_S)
    }
    worst = max(late, key=late.__getitem__)
    assert_that(late[worst], LessThan(BOUND_S), f"{worst}")


@pytest.mark.parametrize("topic", [Topic.CONFIGURATION, Topic.NODES])
def test_a_leader_that_loses_a_read_stays(monkeypatch, topic) -> None:
    # It told nodes that had just started that another one has to replace it.
    async def ask_leader() -> bool:
        site = await lose_read_of_leader(monkeypatch, topic)
        # Until the next answer of the store.
        await asyncio.sleep(STORE_S / 2)
        leader = site.find_leader()
        assert leader is not None
        contact = site.running_nodes[leader].task.find_contact(site.loop.time())
        await site.stop()
        return contact.has_contact

    assert_that(run_virtually(ask_leader()), Equals(True))


LAPSE_S = 2.3
"""Time from the begin of an outage until an entry lapses, at least."""

REWRITE_S = 1.5
"""Time from the end of an outage until the server has written again."""


async def misses_sound_server(
    monkeypatch: pytest.MonkeyPatch, fault: Fault, length_s: float, seed: int
) -> bool:
    """Return whether a server was out of use since its entry had lapsed."""
    site = Installation(monkeypatch=monkeypatch, seed=seed)
    await site.start(nodes=6, data_centres=3)
    # The reads of the leader are in another phase with each seed.
    await asyncio.sleep(WARM_UP_S + site.generator.uniform(0.0, 2.0))
    site.begin_fault(fault)
    await asyncio.sleep(LAPSE_S)
    site.let_entry_lapse()
    await asyncio.sleep(length_s - LAPSE_S)
    site.end_fault()
    await site.wait_until(site.is_server_missing, REWRITE_S)
    is_missing = site.is_server_missing()
    site.rewrite_entry()
    await site.stop()
    return is_missing


@pytest.mark.parametrize("fault", Fault)
def test_a_sound_server_stays_in_use_after_an_outage(
    monkeypatch, fault
) -> None:
    # The recovery of another topic cancelled the second read of the entries
    # before it had failed, so that only one had.
    missed = [
        (length_s, seed)
        for length_s, seed in itertools.product((2.42, 2.6, 3.2), range(4))
        if run_virtually(
            misses_sound_server(monkeypatch, fault, length_s, seed)
        )
    ]
    assert_that(missed, HasLength(0))

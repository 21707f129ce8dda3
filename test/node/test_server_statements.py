"""Servers that ask for a pause, or say that they leave."""

import asyncio
import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, Not

from bench.statements import DRAIN_S, find_broken_pauses, find_late_arrivals
from chervilrock.decisions.serving.admission.waiting import MAX_RETRY_AFTER_S
from chervilrock.standin.site.servers import RESTART_DELAY_S, SiteServer
from chervilrock.standin.site.site import LARGE, make_configuration, SMALL
from test.node.serving_site import run_world, World

NODES = 2
SERVERS = {"model_servers": 16, "plain_servers": 3}

PAUSE_S = 2.5
"""Longer than the time for which a failing server is avoided."""


def ask_for_pause(server: SiteServer, pause: str = str(PAUSE_S)) -> None:
    """Let a server reject one request of each node and ask for a pause."""
    server.pause = pause
    server.to_reject = NODES


def list_broken(world: World) -> list[str]:
    """Return the pauses that were not obeyed."""
    return find_broken_pauses(world.site.servers, world.sends)


def has_due_order(server: SiteServer) -> bool:
    """Return whether the leader still has to form or stage on a host."""
    group = server.group
    if group is None or group["state"] not in ("ready", "open"):
        return True
    kind, _, model = str(group["name"]).split(".")
    serves = kind == "g" and group["rank"] == 0
    if serves and group["state"] != "open":
        return True
    return server.staged != [SMALL if model == LARGE else LARGE]


def test_servers_that_ask_for_a_pause_get_no_requests_until_it_ends() -> None:
    # Failure: a node avoids the server for a fixed time, and only while others
    # are free.
    async def scenario(world: World) -> None:
        paused = [*world.site.list_heads(LARGE), *world.list_plain_servers()]
        for server in paused:
            ask_for_pause(server)
        await asyncio.gather(
            world.call_in_turn("/draft/x", seconds=PAUSE_S + 1),
            world.call_in_turn("/look/x", seconds=PAUSE_S + 1),
        )
        asked = [server for server in paused if server.rejections]
        assert_that(len(asked) > len(paused) / 2, Is(True))
        assert_that(list_broken(world), HasLength(0))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_servers_that_say_they_leave_get_no_later_requests() -> None:
    # Failure: a node believes the entry in the store, which still says ready.
    async def scenario(world: World) -> None:
        world.site.list_heads(LARGE)[0].leaving = "1"
        world.list_plain_servers()[0].leaving = "1"
        statuses = await asyncio.gather(
            world.call_in_turn("/draft/x", seconds=DRAIN_S + 2),
            world.call_in_turn("/look/x", seconds=DRAIN_S + 2),
        )
        late = find_late_arrivals(world.site.servers, world.sends)
        assert_that(late, HasLength(0))
        assert_that(set(statuses[0] + statuses[1]), Equals({200}))

    run_world(scenario, nodes=NODES, **SERVERS)


def test_callers_wait_for_the_end_of_a_short_pause() -> None:
    # Failure: they are rejected although they can be served in time.
    async def scenario(world: World) -> None:
        (server,) = world.list_plain_servers()
        ask_for_pause(server, "0.6")
        statuses = await world.call_in_turn("/look/x", seconds=2.0)
        assert_that(server.rejections, HasLength(NODES))
        assert_that(set(statuses), Equals({200}))
        assert_that(list_broken(world), HasLength(0))

    run_world(scenario, nodes=NODES, model_servers=8, plain_servers=1)


def test_callers_are_rejected_at_once_during_a_long_pause() -> None:
    async def scenario(world: World) -> None:
        (server,) = world.list_plain_servers()
        ask_for_pause(server, "30")
        server.to_reject = 1
        await world.call("/look/x", headers=world.make_headers(X_Model=""))
        assert_that(server.rejections, HasLength(1))
        answer = await world.call(
            "/look/x", headers=world.make_headers(X_Model="")
        )
        assert_that(answer.status, Equals(503))
        retry_after_s = float(answer.headers["Retry-After"])
        assert_that(retry_after_s >= MAX_RETRY_AFTER_S, Is(True))
        assert_that(server.arrivals, HasLength(1))

    run_world(scenario, model_servers=8, plain_servers=1)


def test_a_request_goes_on_to_another_server_than_the_pausing_one() -> None:
    async def scenario(world: World) -> None:
        paused, free = world.list_plain_servers()
        ask_for_pause(paused, "30")
        for _ in range(20):
            answer = await world.call(
                "/look/x", headers=world.make_headers(X_Model="")
            )
            assert_that(answer.status, Equals(200))
        assert_that(paused.rejections, HasLength(1))
        assert_that(len(free.runs), Equals(20))

    run_world(scenario, model_servers=8, plain_servers=2)


def test_the_group_of_a_pausing_head_is_neither_verified_nor_dissolved(
    log_lines,
) -> None:
    # Failure: the leader takes the group for one that has stalled.
    async def scenario(world: World) -> None:
        hosts = [server for server in world.site.servers if server.domain]
        await world.wait(
            lambda: not any(has_due_order(host) for host in hosts),
            "all groups open, and a second model staged on all hosts",
        )
        heads = world.site.list_heads(LARGE)
        orders = {head.server: len(head.orders) for head in heads}
        for head in heads:
            ask_for_pause(head, "1.5")
        await world.call_in_turn(seconds=2.5)
        assert_that(all(head.rejections for head in heads), Is(True))
        assert_that(
            {head.server: len(head.orders) for head in heads}, Equals(orders)
        )
        assert_that("".join(log_lines), Not(Contains("verifying")))

    run_world(scenario, nodes=NODES, **SERVERS)


@pytest.mark.parametrize("pause", ["soon", "-1", "nan", "1e400"])
def test_a_pause_that_cannot_be_read_is_logged_and_ignored(
    pause: str, log_lines
) -> None:
    async def scenario(world: World) -> None:
        for server in world.list_plain_servers():
            ask_for_pause(server, pause)
        statuses = await world.call_in_turn("/look/x", seconds=1.0)
        assert_that(200 in statuses, Is(True))
        assert_that("".join(log_lines), Contains("pause-unreadable"))

    run_world(scenario, model_servers=8, plain_servers=2)


def test_state_and_metrics_show_what_servers_state() -> None:
    async def scenario(world: World) -> None:
        (server,) = world.list_plain_servers()
        head = world.site.list_heads(LARGE)[0]
        ask_for_pause(server, "30")
        head.leaving = "1"
        await world.call("/look/x", headers=world.make_headers(X_Model=""))
        while not world.nodes[0].state.statements.departures:
            await world.call("/draft/x")
        peer = world.nodes[0].own.peer_address
        state = json.loads((await world.fetch(peer, "/state")).body)
        assert_that(list(state["pauses"]), Equals([server.server]))
        assert_that(state["leaving"], Equals([head.server]))
        metrics = (await world.fetch(peer, "/metrics")).body.decode()
        assert_that(metrics, Contains("chervilrock_servers_pausing 1.0"))
        assert_that(metrics, Contains("chervilrock_servers_leaving 1.0"))

    run_world(scenario, model_servers=12, plain_servers=1)


def test_all_nodes_and_the_leader_learn_that_a_server_leaves() -> None:
    # Failure: each node sends to it until it has been told so itself.
    async def scenario(world: World) -> None:
        leaving = [world.site.list_heads(LARGE)[0]]
        leaving += world.list_plain_servers()[:1]
        for server in leaving:
            server.leaving = "1"
        follower = next(
            number
            for number, node in enumerate(world.nodes)
            if not node.is_leader
        )
        for server in leaving:
            path = "/draft/x" if server.domain else "/look/x"
            while not server.arrivals:
                headers = world.make_headers()
                if not server.domain:
                    del headers["X-Model"]
                await world.call(path, node=follower, headers=headers)
        names = {server.server for server in leaving}
        await world.wait(
            lambda: (
                not any(
                    names & node.state.view.list_targets()
                    for node in world.nodes
                )
            ),
            "no node has a leaving server in its view",
        )

    run_world(scenario, nodes=NODES, **SERVERS)


def test_the_leader_learns_how_many_nodes_a_head_pauses_for() -> None:
    async def scenario(world: World) -> None:
        heads = world.site.list_heads(LARGE)
        for head in heads:
            ask_for_pause(head, "30")
        await world.call_in_turn(seconds=2.0)
        leader = next(node for node in world.nodes if node.is_leader)
        page = await world.fetch(leader.own.peer_address, "/state")
        usable = json.loads(page.body)["usable_slots"]
        reported = {
            head.server: 1.0 - len(head.rejections) / NODES
            for head in heads
            if head.rejections
        }
        assert_that(usable == reported, Is(True), f"{usable} {reported}")

    run_world(scenario, nodes=NODES, **SERVERS)


def test_waiting_callers_are_told_when_a_pause_becomes_too_long() -> None:
    # Failure: they wait for a pause that another answer has made longer, and
    # are then asked to retry before its end.
    async def scenario(world: World) -> None:
        # Callers are late after 0.2 s, and wait for longer than that.
        configuration = make_configuration(2)
        configuration["routes"][2]["slo_target_ms"] = 200
        world.site.store.write_configuration(configuration)
        await world.wait(
            lambda: world.nodes[0].state.revision == 2, "revision 2 in force"
        )
        (server,) = world.list_plain_servers()
        ask_for_pause(server, "0.6")
        server.to_reject = 3
        statements = world.nodes[0].state.statements
        waiting = [
            asyncio.create_task(
                world.call("/look/x", headers=world.make_headers(X_Model=""))
            )
            for _ in range(server.to_reject)
        ]
        await world.wait(
            lambda: server.server in statements.pauses, "the server pauses"
        )
        ask_for_pause(server, "30")
        for answer in await asyncio.gather(*waiting):
            assert_that(answer.status, Equals(503))
            retry_after_s = float(answer.headers["Retry-After"])
            assert_that(retry_after_s >= MAX_RETRY_AFTER_S, Is(True))

    run_world(scenario, model_servers=8, plain_servers=1)


def test_what_a_server_stated_does_not_outlive_its_start() -> None:
    # Failure: a server that said that it leaves, and started again under its
    # identifier, gets no request for ten minutes.
    async def scenario(world: World) -> None:
        left, paused, limited = world.list_plain_servers()
        left.leaving = "1"
        ask_for_pause(paused, "60")
        limited.limit = "0"
        await world.call_in_turn("/look/x", seconds=1.0)
        heard = [
            left.server in node.state.statements.departures
            for node in world.nodes
        ]
        assert_that(any(heard), Is(True))
        paused.pause = limited.limit = ""
        servers = (left, paused, limited)
        counts = [len(server.runs) for server in servers]
        for server in servers:
            server.depart(keeps_identifier=True)
        await asyncio.sleep(RESTART_DELAY_S)
        for _ in range(20):
            await world.call_in_turn("/look/x", seconds=0.5)
            if all(
                len(server.runs) > count
                for server, count in zip(servers, counts, strict=True)
            ):
                return
        raise AssertionError("a server that started again gets no requests")

    run_world(scenario, nodes=NODES, **SERVERS)

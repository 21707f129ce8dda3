"""A serving node on the platform, from callers' to servers' connections."""

import asyncio
import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
    Not,
)

from chervilrock.decisions.serving.admission.shutdown import MIN_STOP_S
from chervilrock.decisions.serving.nodes.relays import MAX_DIRECT_NODES
from chervilrock.standin.site.servers import ServerFault
from chervilrock.standin.site.site import (
    KEY,
    LARGE,
    make_configuration,
    PLAIN_SERVICE,
    SMALL,
    WORKSPACE,
)
from chervilrock.standin.site.store import StoreDoor, StoreFault
from chervilrock.tasks.clock import read_clock
from chervilrock.tasks.serving.peermessages import decode_contact
from test.edges.raw import exchange
from test.node.serving_site import CUT, make_events, run_world, World


def list_plain_servers(world: World):
    return [
        server
        for server in world.site.servers
        if server.service == PLAIN_SERVICE
    ]


def find_revision(world: World, node: int = 0) -> int:
    """Return the revision in force on a node, -1 for none."""
    routes = world.nodes[node].state.routes
    return -1 if routes is None else routes.configuration.revision


def test_a_stream_is_complete_and_has_the_receipt_of_its_server() -> None:
    async def scenario(world: World) -> None:
        headers = world.make_headers()
        answer = await world.call("/draft/x", headers=headers)
        request_id = headers["X-Request-Id"]
        assert_that(answer.status, Equals(200))
        assert_that(answer.body, Equals(make_events(request_id, 8)))
        assert_that(answer.headers["X-Request-Id"], Equals(request_id))
        ((server, run),) = world.find_runs(request_id)
        receipt = answer.headers["X-Server-Stamp"]
        assert_that(receipt, Equals(f"{server.server}.{request_id}"))
        assert_that(run.workspace, Equals(WORKSPACE))
        assert_that(run.has_key, Is(False))
        assert_that(int(run.deadline_ms), LessThan(4001))

    run_world(scenario)


def test_each_model_is_routed_to_a_head_of_its_own_groups() -> None:
    async def scenario(world: World) -> None:
        for model in (LARGE, SMALL):
            headers = world.make_headers(X_Model=model)
            answer = await world.call("/draft/x", headers=headers)
            assert_that(answer.status, Equals(200))
            ((server, _),) = world.find_runs(headers["X-Request-Id"])
            assert_that(world.site.list_heads(model), Contains(server))

    run_world(scenario)


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/nowhere/x", {}, 404),
        ("/draft", {}, 404),
        ("/draft/x", {"Api_Key": "other"}, 401),
        ("/draft/x", {"Api_Key": ""}, 401),
        ("/draft/x", {"Host": "other.example"}, 404),
    ],
)
def test_requests_that_the_configuration_does_not_allow_are_denied(
    path: str, changes: dict[str, str], status: int
) -> None:
    async def scenario(world: World) -> None:
        headers = world.make_headers(**changes)
        answer = await world.call(path, headers=headers)
        assert_that(answer.status, Equals(status))
        assert_that(world.find_runs(headers["X-Request-Id"]), HasLength(0))

    run_world(scenario)


def test_headers_that_only_nodes_may_set_are_replaced() -> None:
    async def scenario(world: World) -> None:
        headers = world.make_headers(
            X_Tenant="forged", X_Expect_Instance="i-forged"
        )
        answer = await world.call("/draft/x", headers=headers)
        assert_that(answer.status, Equals(200))
        ((_, run),) = world.find_runs(headers["X-Request-Id"])
        assert_that(run.workspace, Equals(WORKSPACE))

    run_world(scenario)


def test_a_broken_stream_continues_at_another_group() -> None:
    async def scenario(world: World) -> None:
        heads = world.site.list_heads(LARGE)
        heads[0].fault = ServerFault.BREAK
        sent = 0
        while sent < 6 or (not heads[0].runs and sent < 60):
            sent += 1
            headers = world.make_headers()
            answer = await world.call("/draft/x", headers=headers)
            request_id = headers["X-Request-Id"]
            assert_that(answer.status, Equals(200))
            assert_that(answer.body, Equals(make_events(request_id, 8)))
        assert_that(len(heads[0].runs), GreaterThan(0))

    run_world(scenario)


def test_streams_of_a_stalled_group_move_and_the_group_is_replaced() -> None:
    async def scenario(world: World) -> None:
        head = world.site.list_heads(LARGE)[0]
        head.fault = ServerFault.SILENT
        calls = []
        for _ in range(8):
            headers = world.make_headers()
            calls.append((headers, world.call("/draft/x", headers=headers)))
        answers = await asyncio.gather(*(call for _, call in calls))
        for (headers, _), answer in zip(calls, answers, strict=True):
            expected_body = make_events(headers["X-Request-Id"], 8)
            assert_that(answer.body, Equals(expected_body))
        assert_that(len(head.left), GreaterThan(0))

    run_world(scenario)


def test_a_stream_that_has_no_attempt_left_waits_for_its_group() -> None:
    async def scenario(world: World) -> None:
        heads = world.site.list_heads(LARGE)
        for head in heads:
            head.fault = ServerFault.SILENT
        headers = world.make_headers()
        request_id = headers["X-Request-Id"]
        call = asyncio.ensure_future(world.call("/draft/x", headers=headers))
        await world.wait(
            lambda: len(world.find_runs(request_id)) == 2,
            "the stream moved once",
        )
        await asyncio.sleep(1.0)
        for head in heads:
            head.fault = ServerFault.NONE
        answer = await call
        assert_that(answer.status, Equals(200))
        assert_that(answer.body, Equals(make_events(request_id, 8)))

    run_world(scenario, model_servers=12)


def test_a_non_idempotent_request_runs_at_most_once() -> None:
    async def scenario(world: World) -> None:
        for server in list_plain_servers(world):
            server.fault = ServerFault.LOSE
        headers = world.make_headers(X_Model="")
        answer = await world.call("/book/x", headers=headers)
        assert_that(answer.status, Equals(502))
        assert_that(world.find_runs(headers["X-Request-Id"]), HasLength(1))

    run_world(scenario)


def test_a_request_that_did_not_run_gets_503_and_a_retry_delay() -> None:
    async def scenario(world: World) -> None:
        for server in list_plain_servers(world):
            server.fault = ServerFault.FULL
        headers = world.make_headers(X_Model="")
        answer = await world.call("/book/x", headers=headers)
        assert_that(answer.status, Equals(503))
        assert_that(float(answer.headers["Retry-After"]), GreaterThan(0.0))
        assert_that(world.find_runs(headers["X-Request-Id"]), HasLength(0))

    run_world(scenario)


def test_an_idempotent_request_is_retried_at_another_server() -> None:
    async def scenario(world: World) -> None:
        list_plain_servers(world)[0].fault = ServerFault.LOSE
        for _ in range(4):
            headers = world.make_headers(X_Model="")
            answer = await world.call("/look/x", method="GET", headers=headers)
            assert_that(answer.status, Equals(200))

    run_world(scenario)


def test_an_answer_to_another_request_is_not_forwarded() -> None:
    async def scenario(world: World) -> None:
        for server in list_plain_servers(world):
            server.fault = ServerFault.FOREIGN
        headers = world.make_headers(X_Model="")
        answer = await world.call("/book/x", headers=headers)
        assert_that(answer.status, Equals(502))
        assert_that(answer.headers, Not(Contains("X-Server-Stamp")))

    run_world(scenario)


def test_an_error_of_a_server_has_its_receipt() -> None:
    async def scenario(world: World) -> None:
        for server in list_plain_servers(world):
            server.fault = ServerFault.FAIL
        headers = world.make_headers(X_Model="")
        answer = await world.call("/book/x", headers=headers)
        assert_that(answer.status, Equals(500))
        assert_that(answer.headers, Contains("X-Server-Stamp"))

    run_world(scenario)


def test_a_request_is_cancelled_when_its_caller_disconnects() -> None:
    async def scenario(world: World) -> None:
        headers = world.make_headers(X_Token_Count="10,2000")
        address = world.nodes[0].own.callers_address
        host, port = address.split(":")
        lines = "".join(
            f"{name}: {value}\r\n" for name, value in headers.items()
        )
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(f"GET /draft/x HTTP/1.1\r\n{lines}\r\n".encode())
        await reader.readuntil(b"id: 2")
        writer.close()
        request_id = headers["X-Request-Id"]

        def is_over() -> bool:
            return any(
                request_id in server.left for server in world.site.servers
            )

        await world.wait(is_over, "the server saw the caller disconnect")
        assert_that(len(world.nodes[0].state.own_loads), Equals(0))

    run_world(scenario)


def test_a_request_ends_at_the_time_limit_of_its_route() -> None:
    async def scenario(world: World) -> None:
        headers = world.make_headers(
            X_Token_Count="10,5000", X_Deadline_Ms="300"
        )
        answer = await world.call("/draft/x", headers=headers)
        request_id = headers["X-Request-Id"]
        assert_that(answer.status, Equals(CUT))

        def is_over() -> bool:
            return any(
                request_id in server.left for server in world.site.servers
            )

        await world.wait(is_over, "the server saw the request end")

    run_world(scenario)


def test_a_new_configuration_is_in_force_on_all_nodes() -> None:
    async def scenario(world: World) -> None:
        document = make_configuration(7, tenants=[])
        world.site.store.write_configuration(document)
        await world.wait(
            lambda: all(
                find_revision(world, number) == 7 for number in range(2)
            ),
            "revision 7 in force",
        )
        for number in range(2):
            answer = await world.call("/draft/x", node=number)
            assert_that(answer.status, Equals(401))

    run_world(scenario, nodes=2)


@pytest.mark.parametrize("rejected", ["the leader", "another node"])
def test_a_node_that_the_store_rejects_gets_the_configuration(
    rejected: str,
) -> None:
    async def scenario(world: World) -> None:
        store = world.site.store
        door = StoreDoor()
        node = world.add_node(store_address=world.site.open_door(door))
        await world.wait(world.serves_all, "the third node serves")
        if rejected == "the leader":
            for first_node in world.nodes[:2]:
                await first_node.close()
            await world.wait(lambda: node.is_leader, "the third node leads")
            world.nodes = [node]
            world.add_node()
            await world.wait(world.serves_all, "a fourth node serves")
        door.fault = StoreFault.BUSY
        store.write_configuration(make_configuration(7, tenants=[]))
        await world.wait(
            lambda: node.state.revision == 7, "revision 7 in force"
        )

    run_world(scenario, nodes=2)


def test_relays_announce_to_the_nodes_of_a_large_data_centre() -> None:
    async def scenario(world: World) -> None:
        for _ in range(MAX_DIRECT_NODES + 1):
            world.add_node(data_centre="b")
        await world.wait(world.serves_all, "all nodes know the groups")

        def all_know_all() -> bool:
            return all(len(node.state.nodes) == 10 for node in world.nodes)

        await world.wait(all_know_all, "all nodes know each other")
        relays = [node for node in world.nodes if node.is_relay]
        assert_that(relays, HasLength(1))
        await relays[0].close()
        world.nodes.remove(relays[0])
        store = world.site.store
        store.write_configuration(make_configuration(7, tenants=[]))

        def is_replaced() -> bool:
            return any(node.is_relay for node in world.nodes) and all(
                len(node.state.nodes) == 9 for node in world.nodes
            )

        await world.wait(is_replaced, "another node relays")
        leaders = [node for node in world.nodes if node.is_leader]
        assert_that(leaders, Equals(world.nodes[:1]))

    run_world(scenario)


def test_an_older_configuration_never_replaces_a_newer_one() -> None:
    async def scenario(world: World) -> None:
        store = world.site.store
        store.write_configuration(make_configuration(7, tenants=[]))
        store.write_configuration(make_configuration(5))
        store.write_configuration(make_configuration(8, tenants=[]))
        await world.wait(
            lambda: find_revision(world) == 8,
            "revision 8 in force",
        )
        answer = await world.call("/draft/x")
        assert_that(answer.status, Equals(401))

    run_world(scenario)


def test_a_configuration_that_cannot_be_read_changes_nothing() -> None:
    async def scenario(world: World) -> None:
        store = world.site.store
        invalid_document = make_configuration(
            7, routes=[{"name": "half a route"}]
        )
        store.write_configuration(invalid_document)
        store.topic("keyed.op").append("config", b"no json")
        store.topic("keyed.op").append("other", b"not ours")
        store.topic("keyed.servers").append("i-odd", b"{}")
        store.topic("keyed.chervilrock").append("node/odd", b"[1]")
        answer = await world.call("/draft/x")
        assert_that(answer.status, Equals(200))
        store.write_configuration(make_configuration(8, tenants=[]))
        await world.wait(
            lambda: find_revision(world) == 8,
            "revision 8 in force",
        )

    run_world(scenario)


def test_reads_lost_by_an_unresponsive_store_are_sent_again(
    log_lines: list[str],
) -> None:
    # Unless sent again, the lost reads end a second after the timeout of
    # the test.
    async def scenario(world: World) -> None:
        store = world.site.store
        store.door.fault = StoreFault.DOWN
        await world.wait(
            lambda: any("dependency-lost" in line for line in log_lines),
            "a node without contact with the store",
        )
        store.door.fault = StoreFault.NONE
        store.write_configuration(make_configuration(7))
        await world.wait(
            lambda: all(
                find_revision(world, number) == 7 for number in range(3)
            ),
            "revision 7 in force",
        )

    run_world(scenario, nodes=3)


def test_groups_keep_serving_while_the_store_is_unavailable() -> None:
    async def scenario(world: World) -> None:
        world.site.store.door.fault = StoreFault.BUSY
        for _ in range(5):
            answer = await world.call("/draft/x")
            assert_that(answer.status, Equals(200))

    run_world(scenario)


def test_operators_see_which_reads_of_the_store_are_answered(
    log_lines: list[str],
) -> None:
    async def scenario(world: World) -> None:
        world.site.store.door.fault = StoreFault.BUSY
        await world.wait(
            lambda: any("store topic servers" in line for line in log_lines),
            "a line that names the topic",
        )
        address = world.nodes[0].own.peer_address
        answer = await world.client.fetch(f"http://{address}/metrics")
        lines = answer.body.decode().splitlines()
        names = [line.partition(" ")[0] for line in lines]
        for topic in ("configuration", "nodes", "servers"):
            name = f'chervilrock_store_answer_age_seconds{{topic="{topic}"}}'
            assert_that(names, Contains(name))
        assert_that(names, Contains("chervilrock_revision_age_seconds"))
        assert_that(lines, Contains("chervilrock_revision_lag_seconds 0.0"))

    run_world(scenario)


def test_a_leaving_server_gets_no_new_request() -> None:
    async def scenario(world: World) -> None:
        first, second = list_plain_servers(world)
        first.leave()
        node = world.nodes[0]
        await world.wait(
            lambda: (
                [server.server for server in node.state.view.servers]
                == [second.server]
            ),
            "the leaving server out of the view",
        )
        first.runs.clear()
        for _ in range(4):
            await world.call("/look/x", headers=world.make_headers(X_Model=""))
        assert_that(first.runs, HasLength(0))

    run_world(scenario)


def test_another_node_leads_after_the_leader_has_closed() -> None:
    async def scenario(world: World) -> None:
        leader = next(node for node in world.nodes if node.is_leader)
        other = next(node for node in world.nodes if not node.is_leader)
        await leader.close()
        await world.wait(lambda: other.is_leader, "another node leads")
        number = world.nodes.index(other)
        answer = await world.call("/draft/x", node=number)
        assert_that(answer.status, Equals(200))
        head = world.site.list_heads(LARGE)[0]
        await head.stop()
        head.unregister()
        await world.wait(
            lambda: (
                head.server
                not in [group.server for group in other.state.view.groups]
            ),
            "the lost group out of the view",
        )

    run_world(scenario, nodes=2)


def test_nodes_state_whether_they_have_contact_with_a_leader() -> None:
    # A starting node that gets no such answer waits for the former timeout.
    async def scenario(world: World) -> None:
        for node in world.nodes:
            address = f"http://{node.own.peer_address}"
            answer = await world.client.fetch(f"{address}/peer/leader")
            contact = decode_contact(answer.body)
            assert contact is not None
            assert_that(contact.incarnation, Equals(node.own.incarnation))
            assert_that(contact.has_contact, Equals(True))
            assert_that(contact.term, GreaterThan(-1))

    run_world(scenario, nodes=2)


def test_a_restarted_node_does_not_conflict_with_its_own_claim() -> None:
    async def scenario(world: World) -> None:
        (node,) = world.nodes
        await node.close()
        world.nodes.clear()
        restarted = world.restart_node(node)
        await world.wait(
            lambda: restarted.is_leader, "the restarted node leads again"
        )
        assert_that(world.site.store.overtaken, Equals(0))

    run_world(scenario)


def test_a_stopping_leader_hands_over_while_it_still_runs() -> None:
    async def scenario(world: World) -> None:
        leader = next(node for node in world.nodes if node.is_leader)
        other = next(node for node in world.nodes if not node.is_leader)
        leader.state.is_stopping = True
        await world.wait(lambda: other.is_leader, "the other node leads")
        await world.wait(
            lambda: not leader.is_leader, "the leader stepped down"
        )

    run_world(scenario, nodes=2)


def test_a_stopping_leader_leads_on_while_the_store_is_unavailable() -> None:
    async def scenario(world: World) -> None:
        leader = next(node for node in world.nodes if node.is_leader)
        others = [node for node in world.nodes if node is not leader]
        world.site.store.door.fault = StoreFault.BUSY
        stopping = asyncio.ensure_future(leader.stop())
        # Without the wait for another leader it would be closed by now.
        await asyncio.sleep(MIN_STOP_S + 0.5)
        assert_that(leader.is_leader, Is(True))
        ages = [read_clock() - node.state.view_time for node in others]
        assert_that(max(ages), LessThan(1.0))
        # A node that starts now must get its configuration from other nodes.
        closed = others[1]
        await closed.close()
        world.nodes.remove(closed)
        restarted = world.restart_node(closed)
        await world.wait(
            lambda: restarted.state.revision == 1, "a configuration"
        )
        world.site.store.door.fault = StoreFault.NONE
        await world.wait(
            lambda: any(
                node.is_leader for node in world.nodes if node is not leader
            ),
            "another node leads",
        )
        await stopping
        assert_that(leader.is_leader, Is(False))

    run_world(scenario, nodes=3)


def test_callers_get_the_addresses_of_all_serving_nodes() -> None:
    async def scenario(world: World) -> None:
        node = world.nodes[0]
        expected = sorted(
            serving_node.own.callers_address for serving_node in world.nodes
        )

        async def fetch_addresses() -> dict[str, object]:
            reply = await exchange(
                node.directory_address,
                b"GET /resolve?name=x&region=r&zone=a HTTP/1.1\r\n"
                b"Host: x\r\nConnection: close\r\n\r\n",
            )
            head, _, body = reply.partition(b"\r\n\r\n")
            assert_that(head, Contains(b" 200 "))
            answer: dict[str, object] = json.loads(body)
            return answer

        answer = await fetch_addresses()
        while answer["addresses"] != expected:
            await asyncio.sleep(0.05)
            answer = await fetch_addresses()
        assert_that(answer, Contains("ttl_s"))

    run_world(scenario, nodes=3)


def test_a_stopping_node_finishes_its_requests() -> None:
    async def scenario(world: World) -> None:
        headers = world.make_headers(X_Token_Count="10,40")
        call = asyncio.ensure_future(world.call("/draft/x", headers=headers))
        await world.wait(
            lambda: bool(world.find_runs(headers["X-Request-Id"])),
            "the request runs",
        )
        stopping = asyncio.ensure_future(world.nodes[0].stop())
        ready = await exchange(
            world.nodes[0].ready_address,
            b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        )
        assert_that(ready, Contains(b" 503 "))
        late_answer = await world.call("/draft/x")
        assert_that(late_answer.headers, Contains("X-Server-Stamp"))
        assert_that(late_answer.headers["Connection"], Equals("close"))
        answer = await call
        expected_body = make_events(headers["X-Request-Id"], 40)
        assert_that(answer.body, Equals(expected_body))
        await stopping

    run_world(scenario)


def test_no_key_reaches_a_log_line(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario(world: World) -> None:
        await world.call("/draft/x")

    run_world(scenario)
    captured = capsys.readouterr()
    assert_that(captured.out + captured.err, Not(Contains(KEY)))


def test_entries_of_other_writers_change_nothing() -> None:
    # Failure: one entry ends the leader's task, hides the entries after it, or
    # brings a server back whose entry was removed.
    async def scenario(world: World) -> None:
        topic = world.site.store.topic("keyed.servers")
        removed, kept = list_plain_servers(world)
        removed.unregister()
        malformed = (
            b"\xff\xfe",
            b'{"other":' + b"[" * 100_000,
            b'{"service": 1}',
        )
        for number, value in enumerate(malformed):
            topic.append(f"other-{number}", value)
            topic.append(kept.server, value)
            topic.append(removed.server, value)
        added = world.site.add_model_server("d9")
        leader = next(node for node in world.nodes if node.is_leader)
        await world.wait(
            lambda: added.group is not None, "an entry after them is read"
        )
        servers = [server.server for server in leader.state.view.servers]
        assert_that(servers, Equals([kept.server]))
        answer = await world.call("/draft/x")
        assert_that(answer.status, Equals(200))

    run_world(scenario, nodes=2)

"""End to end: an applied configuration, a formed group, an answered request."""

import asyncio
import json

import msgspec
from testtools.assertions import assert_that
from testtools.matchers import (
    AllMatch,
    Contains,
    Equals,
    HasLength,
    IsInstance,
    MatchesAll,
    Not,
)

from chervilrock.standin.faults import FaultKind
from chervilrock.standin.text import expected_text, format_prompt
from test.node.conftest import DOCUMENT, MODEL

BODY = {
    "model": MODEL,
    "messages": [{"role": "user", "content": "a note"}],
    "max_tokens": 12,
    "stream": True,
}


async def send(site, method, path, value=None, number=0, headers=None):
    """Send a request to a node and return the answer."""
    body = None if value is None else msgspec.json.encode(value)
    address = site.nodes[number].address
    result = await site.http.request(
        method,
        f"http://{address}{path}",
        timeout_s=20,
        body=body,
        headers=headers,
    )
    return result.unwrap()


async def apply(site, document=DOCUMENT, base=0, number=0):
    """Apply a configuration and return the decoded answer."""
    request = {"base_revision": base, "operator": "test", "document": document}
    answer = await send(site, "POST", "/admin/apply", request, number)
    return json.loads(answer.body)


async def read_status(site, number=0):
    """Return the status that a node reports."""
    answer = await send(site, "GET", "/admin/status", number=number)
    return json.loads(answer.body)


async def wait_serving(site, number=0, excluded_hosts=()):
    """Wait until a group without the given hosts serves; return its status."""
    while True:
        status = await read_status(site, number)
        for group in status["groups"]:
            is_complete = group["phase"] == "serving" and not group["missing"]
            if is_complete and not set(group["hosts"]) & set(excluded_hosts):
                return group
        await asyncio.sleep(0)


async def wait_answer(site, number=0):
    """Repeat a request until a group serves it; return the streamed text."""
    while True:
        answer = await send(site, "POST", "/v1/chat/completions", BODY, number)
        if answer.status == 200:
            return read_text(answer.body.decode())
        error = json.loads(answer.body)["error"]
        assert_that(error["outcome"], Equals("not_run"))
        await asyncio.sleep(0)


def read_text(stream):
    """Return the text of a complete streamed answer."""
    data = [
        line.removeprefix("data: ")
        for line in stream.splitlines()
        if line.startswith("data: ")
    ]
    assert_that(data[-1], Equals("[DONE]"))
    events = [json.loads(text) for text in data[:-1]]
    return "".join(event["choices"][0]["delta"]["content"] for event in events)


def expect_text():
    """Return the expected text of the complete answer to `BODY`."""
    return "".join(expected_text(MODEL, format_prompt(BODY), 12))


def test_applied_configuration_forms_a_group_that_answers(run_site):
    async def check(site):
        await site.add_node()
        answer = await apply(site)
        assert_that(answer["accepted"], Equals(True))
        group = await wait_serving(site)
        assert_that(group["hosts"], HasLength(3))
        assert_that(await wait_answer(site), Equals(expect_text()))

    run_site(check)


def test_group_is_repaired_after_the_crash_of_a_host(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        group = await wait_serving(site)
        killed = group["hosts"][1]
        site.installation.kill_host(killed)
        repaired = await wait_serving(site, excluded_hosts=[killed])
        assert_that(repaired["fence"] > group["fence"], Equals(True))
        assert_that(await wait_answer(site), Equals(expect_text()))

    run_site(check)


def test_incomplete_group_serves_no_requests(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        group = await wait_serving(site)
        await wait_answer(site)
        for host in group["hosts"][1:]:
            site.installation.kill_host(host)
        # The hosts left are too few for a group, so no group may serve.
        while (await read_status(site))["groups"][0]["missing"] == []:
            await asyncio.sleep(0)
        answer = await send(site, "POST", "/v1/chat/completions", BODY)
        assert_that(answer.status, Equals(503))
        error = json.loads(answer.body)["error"]
        assert_that(error["outcome"], Equals("not_run"))
        assert_that(error["retry_after_ms"] > 0, Equals(True))

    run_site(check, hosts=3)


def test_second_node_takes_over_the_region(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        await wait_serving(site)
        await site.add_node()
        await wait_answer(site, number=1)
        await site.nodes[0].kill()
        while (await read_status(site, 1))["controller"] != "entry-1":
            await asyncio.sleep(0)
        assert_that(await wait_answer(site, number=1), Equals(expect_text()))

    run_site(check)


def test_rejected_concurrent_apply_names_the_accepted_one(run_site):
    async def check(site):
        await site.add_node()
        await site.add_node()
        answers = await asyncio.gather(
            apply(site, number=0), apply(site, number=1)
        )
        accepted = [answer["accepted"] for answer in answers]
        assert_that(sorted(accepted), Equals([False, True]))
        loser = answers[accepted.index(False)]
        assert_that(loser["winner"]["operator"], Equals("test"))
        revision = answers[accepted.index(True)]["revision"]
        assert_that(loser["winner"]["revision"], Equals(revision))

    run_site(check)


def test_invalid_document_is_rejected_with_all_findings(run_site):
    async def check(site):
        await site.add_node()
        document = msgspec.to_builtins(DOCUMENT)
        document["models"][0] |= {"hosts_per_group": 0, "groups": -1}
        answer = await apply(site, document)
        assert_that(answer["accepted"], Equals(False))
        assert_that(answer["findings"], HasLength(2))
        status = await read_status(site)
        assert_that(status["revision"], Equals(0))

    run_site(check)


def test_operators_see_state_metrics_and_health(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        await wait_serving(site)
        state = json.loads((await send(site, "GET", "/state")).body)
        assert_that(state, MatchesAll(*map(Contains, ("region", "peers"))))
        metrics = (await send(site, "GET", "/metrics")).body.decode()
        assert_that(metrics, Contains("chervilrock_configuration_revision 1.0"))
        health = await send(site, "GET", "/health")
        assert_that(health.status, Equals(200))
        unknown = await send(site, "GET", "/nothing")
        assert_that(unknown.status, Equals(404))
        assert_that(json.loads(unknown.body), Contains("error"))

    run_site(check)


def test_stopping_node_withdraws_its_address_and_finishes_requests(run_site):
    async def check(site):
        first = await site.add_node()
        await apply(site)
        await wait_serving(site)
        await site.add_node()
        await wait_answer(site, number=1)
        running = [asyncio.create_task(wait_answer(site)) for _ in range(20)]
        while (
            first.metrics.registry.get_sample_value(
                "chervilrock_in_flight_requests"
            )
            is None
        ):
            await asyncio.sleep(0)
        cut = await first.stop()
        assert_that(cut, Equals(0))
        texts = await asyncio.gather(*running)
        assert_that(texts, AllMatch(Equals(expect_text())))
        answer = await send(site, "GET", "/v1/addresses", number=1)
        listed = json.loads(answer.body)["addresses"]
        assert_that(listed, IsInstance(list))
        addresses = [entry["address"] for entry in listed]
        assert_that(addresses, Not(Contains(first.address)))

    run_site(check)


def test_requests_in_progress_are_answered_after_a_failed_task(run_site):
    # Failure: the process exits at once and cuts all connections.
    async def check(site):
        node = await site.add_node()
        await apply(site)
        await wait_serving(site)
        await wait_answer(site)
        for engine in site.installation.engines.values():
            engine.options = engine.options._replace(token_ms=20.0)
        running = asyncio.create_task(wait_answer(site))
        while not node._path.in_flight:
            await asyncio.sleep(0)
        task = asyncio.create_task(fail())
        task.add_done_callback(node._handle_task_end)
        await node.failed.wait()
        cut = await node.stop_after_failure()
        assert_that(cut, Equals(0))
        assert_that(await running, Equals(expect_text()))

    run_site(check)


async def fail():
    raise RuntimeError("a task of the node fails")


def test_request_with_an_idempotency_key_runs_once_across_two_nodes(run_site):
    async def check(site):
        await site.add_node()
        await site.add_node()
        await apply(site)
        await wait_serving(site)
        await wait_answer(site, number=1)
        headers = {"Idempotency-Key": "price-17"}
        answers = await asyncio.gather(
            *(
                send(site, "POST", "/services/slots/17", {}, number, headers)
                for number in (0, 1, 0, 1)
            )
        )
        calls = site.installation.count_calls()
        assert_that(calls["POST /17"], Equals(1))
        statuses = [answer.status for answer in answers]
        assert_that(statuses, Contains(200))
        for answer in answers:
            if answer.status != 200:
                error = json.loads(answer.body)["error"]
                assert_that(error["outcome"], Equals("unknown"))

    run_site(check)


def test_request_with_an_idempotency_key_does_not_run_without_the_log(run_site):
    async def check(site):
        await site.add_node()
        await apply(site)
        await wait_serving(site)
        site.installation.platform.faults.add({"kind": FaultKind.OUTAGE})
        headers = {"Idempotency-Key": "price-18"}
        answer = await send(
            site, "POST", "/services/slots/18", {}, headers=headers
        )
        error = json.loads(answer.body)["error"]
        assert_that(error["outcome"], Equals("unknown"))
        assert_that(site.installation.count_calls()["POST /18"], Equals(0))

    run_site(check)


def test_body_over_the_size_limit_is_rejected(run_site):
    async def check(site):
        node = await site.add_node()
        max_body_bytes = node.settings.max_body_bytes
        body = BODY | {"prompt": "x" * max_body_bytes}
        answer = await send(site, "POST", "/v1/chat/completions", body)
        assert_that(answer.status, Equals(413))
        error = json.loads(answer.body)["error"]
        assert_that(error["code"], Equals("body_too_large"))
        assert_that(error["outcome"], Equals("not_run"))

    run_site(check)


def test_nodes_whose_seed_is_down_find_each_other(run_site):
    async def check(site):
        first = await site.add_node()
        await apply(site)
        await first.kill()
        # Both have only the address of the first node, which was killed.
        await site.add_node(seeds=first.address)
        await site.add_node(seeds=first.address)
        for number in (1, 2):
            while True:
                status = await read_status(site, number)
                alive = {
                    node["node"] for node in status["nodes"] if node["alive"]
                }
                if {"entry-1", "entry-2"} <= alive:
                    break
                await asyncio.sleep(0)

    run_site(check)

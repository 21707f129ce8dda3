"""Tests of the comparison of estimated with actual loads from node logs."""

import json

from testtools.assertions import assert_that
from testtools.matchers import Equals

from tools.known_loads import count_loads, make_table, parse_lines, Send


def make_line(at_ms: int, event: str, request: str, **fields: object) -> str:
    line = {
        "time": f"2026-01-01T00:00:00.{at_ms:03}+00:00",
        "event": event,
        "request_id": request,
        **fields,
    }
    return f"0.{at_ms:03} node-1 {json.dumps(line)}"


def make_send_line(
    at_ms: int, request: str, *, server: str = "s1", own: int = 0
) -> str:
    return make_line(
        at_ms,
        "request-sent",
        request,
        server=server,
        endpoint=f"g.{server}",
        own=own,
        others=1,
    )


def count_sends(*texts: str) -> list[Send]:
    return count_loads(parse_lines(texts), prefix="g.")


def test_send_is_compared_with_the_requests_running_on_its_server() -> None:
    sends = count_sends(
        make_send_line(30, "c", own=2),
        make_send_line(10, "a"),
        make_send_line(20, "b", server="s2"),
        "no log line",
        '{"event": "view-in-force"}',
    )
    assert_that(sends, Equals([Send(1, 0), Send(1, 0), Send(3, 1)]))


def test_requests_that_ended_or_moved_no_longer_count_as_running() -> None:
    sends = count_sends(
        make_send_line(10, "a"),
        make_send_line(20, "b"),
        make_line(30, "request-ended", "a"),
        make_line(40, "request-sent-again", "b", reason="not-run"),
        make_send_line(50, "b", server="s2"),
        make_send_line(60, "c"),
    )
    assert_that(sends[-1], Equals(Send(1, 0)))


def test_restarted_process_has_no_running_requests() -> None:
    sends = count_sends(
        make_send_line(10, "a"),
        make_line(20, "serving-started", ""),
        make_send_line(30, "b"),
    )
    assert_that(sends[-1], Equals(Send(1, 0)))


def test_table_counts_sends_to_full_servers_that_seemed_free() -> None:
    sends = [Send(3, 5), Send(5, 5), Send(3, 3), Send(1, 3)]
    table = make_table(sends, slots=4, unrun=1)
    assert_that(table.sends, Equals(4))
    assert_that(table.error, Equals(-1.0))
    assert_that(table.spread, Equals(1.0))
    assert_that(table.unseen, Equals(0.25))
    assert_that(table.not_run, Equals(0.25))

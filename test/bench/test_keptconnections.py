"""The check of how long calls of nodes to the store lasted."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bench.keptconnections import find_long_call


@pytest.mark.parametrize(
    ("wait", "duration_ms", "is_long"),
    [
        ("&wait_ms=20000", 36_285, True),
        ("&wait_ms=20000", 21_001, False),
        ("&wait_ms=500", 21_001, True),
        ("", 4_000, True),
        ("", 1_002, False),
    ],
)
def test_calls_that_outlast_their_limit_are_found(
    wait, duration_ms, is_long
) -> None:
    reason = (
        f"timeout: http://a/log-read?from=1{wait}: Operation timed out after "
        f"{duration_ms} milliseconds with 0 bytes received"
    )
    line = msgspec.json.encode({"number": 7005, "reason": reason})
    assert_that(find_long_call(line), Equals(reason if is_long else ""))


@pytest.mark.parametrize(
    "line", [b"", b"{", b"1", b'{"number": 7006}', b"HTTP 599: closed"]
)
def test_other_lines_are_passed_over(line) -> None:
    assert_that(find_long_call(line), Equals(""))

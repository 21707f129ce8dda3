import asyncio
from pathlib import Path
import textwrap
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.edges.errors import ErrorCode, SPECS
from chervilrock.standin.faults import FaultKind, FaultRule
from test.edges.sites import Site

PAGE = Path(__file__).parents[2] / "docs" / "callers.md"
OPERATOR_CODES = {ErrorCode.LOG_UNAVAILABLE}


def read_client_example() -> str:
    """Returns the page's example of a client that uses tickets."""
    text = PAGE.read_text(encoding="utf-8")
    start = text.index("    import json\n")
    return textwrap.dedent(text[start : text.index("\n* Repeats", start)])


@pytest.fixture
def client(site: Site) -> dict[str, Any]:
    names: dict[str, Any] = {}
    exec(compile(read_client_example(), str(PAGE), "exec"), names)
    names["NODES"] = [site.address]
    return names


def test_page_explains_every_code() -> None:
    text = PAGE.read_text(encoding="utf-8")
    for code in set(ErrorCode) - OPERATOR_CODES:
        (line,) = [
            line
            for line in text.splitlines()
            if line.startswith("|") and f"`{code.value}`" in line
        ]
        assert f"| {SPECS[code].status} |" in line


def test_client_of_the_page_records_a_filing_once(
    loop: asyncio.Runner, site: Site, client: dict[str, Any]
) -> None:
    site.context.idempotent_methods = ()
    client["record_filing"].__globals__["post"] = redirect(client["post"])
    for service in site.services:
        service.faults.add(FaultRule(kind=FaultKind.REFUSE, count=1))
        service.faults.add(
            FaultRule(kind=FaultKind.ANSWER_LATE, count=1, delay_ms=20)
        )
    client["time"] = InstantTime()
    answer = loop.run(call_in_thread(client["record_filing"], {"days": 14}))
    assert_that(answer["body"], Equals('{"days": 14}'))
    assert_that(site.count_calls(), Equals(1))


async def call_in_thread(function: Any, *arguments: Any) -> Any:
    return await asyncio.to_thread(function, *arguments)


class InstantTime:
    """Replaces the client's `time` module, so that retries do not wait."""

    def sleep(self, _seconds: float) -> None:
        """Returns at once."""


def redirect(post: Any) -> Any:
    """Redirects calls from the service of the page to that of the tests."""

    def post_redirected(
        address: str, path: str, body: Any, **headers: str
    ) -> Any:
        path = path.replace("/services/filings/", "/services/filing/")
        return post(address, path, body, **headers)

    return post_redirected

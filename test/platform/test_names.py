"""Only the adapter and the stand-ins may contain names of the platform."""

import pathlib
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

PACKAGE = pathlib.Path(__file__).resolve().parents[2] / "chervilrock"
ALLOWED_PACKAGES = ("platform", "standin")

NAMES = (
    "X-Server-Stamp",
    "Server-Limit",
    "Server-Leaving",
    "X-Expect-Instance",
    "X-Expect-Version",
    "X-Not-Executed",
    "X-Prompt-Prefix",
    "X-Token-Count",
    "X-Tenant",
    "X-Instance-Id",
    "X-Weight-Versions",
    "X-Request-Urgency",
    "Api-Key",
    "log-append",
    "log-read",
    "log-newest",
    "log-join",
    "keyed\\.",
    "path_prefix",
    "route_type",
    "slo_target_ms",
    "gap_aim_ms",
    "auth_exempt",
    "warmup_left_ms",
    "warmup_per_s",
    "X-Warmup-Ms",
    "evac_ms",
    "heartbeat_ms",
    "close_mode",
    "kv_total",
    "per_seq_ms",
    "retry_budget_ratio",
    "internal_ports",
    "/resolve",
)


@pytest.fixture(scope="module")
def sources() -> dict[str, str]:
    """Source of each module that must not contain the names, by path."""
    return {
        str(path.relative_to(PACKAGE)): path.read_text(encoding="utf-8")
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).parts[0] not in ALLOWED_PACKAGES
    }


@pytest.mark.parametrize("name", NAMES)
def test_no_other_module_contains_a_platform_name(
    sources: dict[str, str], name: str
) -> None:
    pattern = re.compile(name, re.IGNORECASE)
    found = [path for path, text in sources.items() if pattern.search(text)]
    assert_that(found, HasLength(0))


def test_the_serving_modules_are_checked(sources: dict[str, str]) -> None:
    serving = [path for path in sources if "serving" in path]
    assert_that(len(serving) > 20, Equals(True))
    assert_that(
        [path for path in sources if path.startswith("platform")], HasLength(0)
    )

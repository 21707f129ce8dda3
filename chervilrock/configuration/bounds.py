"""Permitted values of the node settings.

The settings schema has the same bounds; a test checks that the two agree.
They are repeated here because a serving process loads no YAML.
"""

import re
from typing import NamedTuple

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
NAME_LENGTH = 63
NAME_FORM = (
    "letters, digits, dots, hyphens and underscores, with a letter or digit "
    "first"
)


class Range(NamedTuple):
    """Inclusive minimum and maximum of a number."""

    minimum: float
    maximum: float


NAMES = ("node", "region", "data_centre")
ADDRESSES = ("listen", "advertise", "log_service", "weight_store", "host_list")
ADDRESS_LISTS = ("peers",)
CHOICES: dict[str, tuple[str, ...]] = {
    "log_format": ("text", "json"),
    "log_level": ("DEBUG", "INFO", "WARNING", "ERROR"),
}
RANGES: dict[str, Range] = {
    "lease_ms": Range(100, 600_000),
    "drift": Range(0, 0.5),
    "probe_interval_ms": Range(10, 60_000),
    "presence_limit_ms": Range(20, 600_000),
    "exchange_interval_ms": Range(10, 60_000),
    "address_ttl_s": Range(0.1, 3600),
    "drain_timeout_s": Range(0, 86_400),
    "max_body_bytes": Range(1024, 1_073_741_824),
    "header_timeout_s": Range(0.1, 3600),
    "seed": Range(0, 9_223_372_036_854_775_807),
}

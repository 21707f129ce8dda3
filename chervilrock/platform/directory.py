"""The platform's questions to a node: which addresses, and is it ready."""

from collections.abc import Iterable, Mapping

import msgspec

READY_PATH = "/ready"
ADDRESSES_PATH = "/resolve"

MAX_ADDRESSES = 64
"""Addresses that callers take of one answer."""


def read_data_centre(query: Mapping[str, str]) -> str:
    """Return the data centre of the caller who asks for addresses."""
    return query.get("zone", "")


def encode_addresses(addresses: Iterable[str], keep_s: float) -> bytes:
    """Return the answer to the question which addresses to use.

    Args:
      addresses: IP:port of nodes.
      keep_s: time for which the caller may keep them, in seconds.
    """
    chosen = list(addresses)[:MAX_ADDRESSES]
    return msgspec.json.encode({"addresses": chosen, "ttl_s": keep_s})

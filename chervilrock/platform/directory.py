"""Requests of the platform to a node: address directory and readiness."""

from collections.abc import Iterable, Mapping

import msgspec

READY_PATH = "/ready"
ADDRESSES_PATH = "/resolve"

MAX_ADDRESSES = 64
"""Number of addresses that callers use of one answer."""


def read_data_centre(query: Mapping[str, str]) -> str:
    """Return the data centre of the caller that requests addresses."""
    return query.get("zone", "")


def encode_addresses(addresses: Iterable[str], ttl_s: float) -> bytes:
    """Return the answer to a request for the addresses of nodes.

    Args:
      addresses: IP:port of nodes; those beyond `MAX_ADDRESSES` are left out.
      ttl_s: time for which the caller may cache them, in seconds.
    """
    chosen = list(addresses)[:MAX_ADDRESSES]
    return msgspec.json.encode({"addresses": chosen, "ttl_s": ttl_s})

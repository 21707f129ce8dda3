"""Decodes the entries that register backend servers in the store."""

import ipaddress
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.decisions.decoding import Decoder, UnreadableError
from chervilrock.decisions.serving.site import (
    BackendServer,
    Membership,
    MemberState,
)
from chervilrock.platform.amounts import read_amount

TOPIC = "keyed.servers"

MAX_PORT = 65535
MAX_PORT_DIGITS = 5

MAX_INT = 2**63 - 1
"""Greatest number in an entry. Names of nodes and messages of other programs
need not be able to hold greater ones."""

MAX_SLOTS = 65535
"""Greatest number of slots. No server has nearly as many; one that seems to
would get all requests."""

MAX_TEXT = 256
"""Greatest length of a text in an entry, in characters."""

_DRAINING = "draining"
_SERVER_STATES = frozenset({"ready", _DRAINING})
_MEMBER_STATES = {state.value: state for state in MemberState}


_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
"""A number of an entry or a report that is not negative."""

_Domain = Annotated[int, msgspec.Meta(ge=-MAX_INT, le=MAX_INT)]


class GroupField(msgspec.Struct):
    """Group membership of a server, in its entry and in its report."""

    name: _Text = ""
    epoch: Count = 0
    rank: Count = 0
    state: _Text = ""


class _Entry(msgspec.Struct):
    service: _Text
    address: _Text
    zone: _Text
    version: _Text  # of the software, not of the weights
    state: _Text
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    sequence: Count  # counts the writes of this entry
    warmup_left_ms: float
    domain: _Text | _Domain = ""
    staged: list[_Text] = []
    group: GroupField | None = None
    born: Count = 0  # start of the server, in Unix milliseconds


_MS_PER_S = 1000.0
_DECODER = Decoder(_Entry)


def decode_server(server: str, entry: bytes) -> Result[BackendServer, str]:
    """Return a backend server, or a description of the error in its entry.

    Other programs write to the topic as well, so an entry that is not valid
    in full is rejected, and no entry raises.

    Args:
      server: name of the server, which is the key of the entry.
      entry: value of the entry, in JSON.
    """
    if not _is_identifier(server):
        return Failure(f"{server[:MAX_TEXT]!r} is no identifier of a server")
    try:
        decoded = _DECODER.decode(entry)
    except UnreadableError as error:
        return Failure(str(error))
    problem = _find_problem(decoded)
    if problem:
        return Failure(problem)
    warmup_left_ms, unreadable = read_amount(decoded.warmup_left_ms)
    return Success(
        BackendServer(
            server=server,
            service=decoded.service,
            address=decoded.address,
            data_centre=decoded.zone,
            domain=str(decoded.domain),
            is_leaving=decoded.state == _DRAINING,
            slots=max(1, decoded.slots),
            staged=tuple(decoded.staged),
            membership=decode_membership(decoded.group),
            writes=decoded.sequence,
            started_ms=decoded.born,
            warmup_left_s=None
            if warmup_left_ms is None
            else warmup_left_ms / _MS_PER_S,
            warmup_unreadable=unreadable,
        )
    )


def _is_identifier(server: str) -> bool:
    """Return whether a key can be sent in a header to the server it names."""
    is_plain = server.isascii() and server.isprintable() and " " not in server
    return is_plain and 0 < len(server) <= MAX_TEXT


def _find_problem(entry: _Entry) -> str:
    """Return a description of the first invalid field, empty if none is."""
    if entry.state not in _SERVER_STATES:
        return f"unknown server state {entry.state!r}"
    group = entry.group
    if group is not None and group.name and group.state not in _MEMBER_STATES:
        return f"unknown state {group.state!r} of a group"
    ip, _, port = entry.address.rpartition(":")
    try:
        parsed = ipaddress.IPv4Address(ip)
    except ValueError as error:
        return f"address: {error}"
    if parsed.is_unspecified or parsed.is_multicast:
        # A connection to 0.0.0.0 reaches this node itself.
        return f"{ip} is not the address of a host"
    is_number = port.isascii() and port.isdigit()
    is_port = (
        is_number and len(port) <= MAX_PORT_DIGITS and 0 < int(port) <= MAX_PORT
    )
    return "" if is_port else f"invalid port {port!r}"


def decode_membership(group: GroupField | None) -> Membership | None:
    """Return the membership, None without a group name or a known state."""
    if group is None or not group.name:
        return None
    state = _MEMBER_STATES.get(group.state)
    if state is None:
        return None
    return Membership(
        group=group.name, epoch=group.epoch, rank=group.rank, state=state
    )

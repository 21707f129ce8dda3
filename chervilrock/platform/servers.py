"""Decodes the entries that register backend servers in the store."""

import ipaddress

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.decisions.serving.site import (
    BackendServer,
    Membership,
    MemberState,
)
from chervilrock.platform.amounts import read_amount

TOPIC = "keyed.servers"

MAX_PORT = 65535

_DRAINING = "draining"
_SERVER_STATES = frozenset({"ready", _DRAINING})
_MEMBER_STATES = {state.value: state for state in MemberState}


class GroupField(msgspec.Struct):
    """Group membership of a server, in its entry and in its report."""

    name: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = ""


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str  # of the software, not of the weights
    state: str
    slots: int
    sequence: int  # counts the writes of this entry
    warmup_left_ms: float
    domain: str | int = ""
    staged: list[str] = []
    group: GroupField | None = None
    born: int = 0  # start of the server, in Unix milliseconds


_MS_PER_S = 1000.0
_DECODER = msgspec.json.Decoder(_Entry)


def decode_server(server: str, entry: bytes) -> Result[BackendServer, str]:
    """Return a backend server, or a description of the error in its entry.

    Other programs write to the topic as well, so an entry that is not valid
    in full is rejected.

    Args:
      server: name of the server, which is the key of the entry.
      entry: value of the entry, in JSON.
    """
    try:
        decoded = _DECODER.decode(entry)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
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


def _find_problem(entry: _Entry) -> str:
    """Return a description of the first invalid field, empty if none is."""
    if entry.state not in _SERVER_STATES:
        return f"unknown server state {entry.state!r}"
    group = entry.group
    if group is not None and group.name and group.state not in _MEMBER_STATES:
        return f"unknown state {group.state!r} of a group"
    ip, _, port = entry.address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as error:
        return f"address: {error}"
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
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

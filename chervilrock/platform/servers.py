"""Decodes the entries by which backend servers register in the store."""

import ipaddress

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.decisions.serving.site import (
    BackendServer,
    Membership,
    MemberState,
)

TOPIC = "keyed.servers"

MAX_PORT = 65535

_LEAVING = "draining"
_SERVER_STATES = frozenset({"ready", _LEAVING})
_STATES = {state.value: state for state in MemberState}


class GroupField(msgspec.Struct):
    """The group of a server, in its entry and in its report."""

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
    sequence: int  # of the writes of this entry
    warmup_left_ms: float
    domain: str | int = ""
    staged: list[str] = []
    group: GroupField | None = None
    born: int = 0  # Unix milliseconds of its start


_DECODER = msgspec.json.Decoder(_Entry)


def decode_server(server: str, entry: bytes) -> Result[BackendServer, str]:
    """Returns a backend server, or what is wrong with its entry.

    Others write such entries as well; one that is not understood in full
    names no server.

    Args:
      server: key of the entry.
      entry: the value.
    """
    try:
        decoded = _DECODER.decode(entry)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    fault = _find_fault(decoded)
    if fault:
        return Failure(fault)
    return Success(
        BackendServer(
            server=server,
            service=decoded.service,
            address=decoded.address,
            data_centre=decoded.zone,
            domain=str(decoded.domain),
            is_leaving=decoded.state == _LEAVING,
            slots=max(1, decoded.slots),
            staged=tuple(decoded.staged),
            membership=decode_membership(decoded.group),
            writes=decoded.sequence,
            started_ms=decoded.born,
        )
    )


def _find_fault(entry: _Entry) -> str:
    """Returns what an entry says that no server does, empty for nothing."""
    if entry.state not in _SERVER_STATES:
        return f"state {entry.state!r}"
    group = entry.group
    if group is not None and group.name and group.state not in _STATES:
        return f"state {group.state!r} of a group"
    ip, _, port = entry.address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as error:
        return f"address: {error}"
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    return "" if is_port else f"port {port!r}"


def decode_membership(group: GroupField | None) -> Membership | None:
    """Returns a membership; a group without a state is none."""
    if group is None or not group.name:
        return None
    state = _STATES.get(group.state)
    if state is None:
        return None
    return Membership(
        group=group.name, epoch=group.epoch, rank=group.rank, state=state
    )

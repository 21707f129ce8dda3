"""Decodes the entries by which backend servers register in the store."""

import msgspec
from returns.result import Failure, Result, Success

from chervilrock.decisions.serving.site import (
    BackendServer,
    Membership,
    MemberState,
)

TOPIC = "keyed.servers"

_LEAVING = "draining"
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
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    domain: str | int = ""
    staged: list[str] = []
    group: GroupField | None = None


_DECODER = msgspec.json.Decoder(_Entry)


def decode_server(server: str, entry: bytes) -> Result[BackendServer, str]:
    """Returns a backend server, or what is wrong with its entry.

    Args:
      server: key of the entry.
      entry: the value.
    """
    try:
        decoded = _DECODER.decode(entry)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    return Success(
        BackendServer(
            server=server,
            service=decoded.service,
            address=decoded.address,
            data_centre=decoded.zone,
            domain=str(decoded.domain),
            is_leaving=decoded.state == _LEAVING,
            slots=decoded.slots,
            staged=tuple(decoded.staged),
            membership=decode_membership(decoded.group),
        )
    )


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

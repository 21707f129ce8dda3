"""Validation of the values of a digest.

A faulty peer must not be able to set a counter so high that valid updates never
exceed it, nor to exhaust the memory of a node.
"""

from collections.abc import Iterable
import itertools
import math

from chervilrock.decisions.membership.clocks import MAX_COUNTER
from chervilrock.generated.interfaces import PeerDigest, PeerNode

MAX_LOAD = 10**6
MAX_TEXT_LENGTH = 256
MAX_LIST_LENGTH = 2048


def is_valid_digest(digest: PeerDigest) -> bool:
    """Return whether all values of a digest are within their bounds."""
    lists = (
        digest.get("data_centres", ()),
        digest.get("wants", ()),
        digest.get("rosters", ()),
        digest.get("shares", ()),
    )
    if any(len(values) > MAX_LIST_LENGTH for values in lists):
        return False
    return (
        _has_valid_peers(digest)
        and _are_counters(_list_counters(digest))
        and all(0 <= load <= MAX_LOAD for load in _list_loads(digest))
        and all(len(text) <= MAX_TEXT_LENGTH for text in _list_texts(digest))
    )


def _has_valid_peers(digest: PeerDigest) -> bool:
    added = [roster.added for roster in digest.get("rosters", ())]
    if any(len(peers) > MAX_LIST_LENGTH for peers in added):
        return False
    peers = (digest["sender"], *itertools.chain.from_iterable(added))
    return all(_is_valid_peer(peer) for peer in peers)


def _is_valid_peer(peer: PeerNode) -> bool:
    texts = (peer.node, peer.incarnation, peer.address, peer.data_centre)
    return (
        _are_counters((peer.heartbeat, peer.revision))
        and math.isfinite(peer.load)
        and 0 <= peer.load <= MAX_LOAD
        and all(0 < len(text) <= MAX_TEXT_LENGTH for text in texts)
        and len(peer.region) <= MAX_TEXT_LENGTH
    )


def _are_counters(values: Iterable[int]) -> bool:
    return all(0 <= value < MAX_COUNTER for value in values)


def _list_counters(digest: PeerDigest) -> Iterable[int]:
    for report in digest.get("data_centres", ()):
        yield report.clock
        yield report.revision
    for use in digest.get("shares", ()):
        yield use.age_ms
    yield digest.get("expected_heartbeat", 0)
    heartbeats = digest.get("heartbeats")
    if heartbeats is not None:
        yield from heartbeats.heartbeats


def _list_loads(digest: PeerDigest) -> Iterable[int]:
    for report in digest.get("data_centres", ()):
        yield report.load
    heartbeats = digest.get("heartbeats")
    if heartbeats is not None:
        yield from heartbeats.loads


def _list_texts(digest: PeerDigest) -> Iterable[str]:
    for report in digest.get("data_centres", ()):
        yield report.data_centre
        yield report.members
        yield report.holders
    for roster in digest.get("rosters", ()):
        yield roster.data_centre
        yield roster.members
        yield from roster.removed
    for want in digest.get("wants", ()):
        yield want.data_centre
        yield want.base

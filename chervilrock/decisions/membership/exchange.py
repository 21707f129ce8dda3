"""With whom a node exchanges what it knows."""

from typing import TYPE_CHECKING

from chervilrock.decisions.membership.table import MemberTable

if TYPE_CHECKING:
    import random


def choose_peer(
    table: MemberTable,
    seeds: tuple[str, ...],
    now: float,
    generator: "random.Random",
) -> str | None:
    """Return the address of the next peer, or None when there is none.

    A seed that is not known to live is tried now and then, so that two parts
    of the system find each other again after a partition.
    """
    own = table.own
    live = {peer.address for peer in table.live(now)} - {own.address}
    missing = set(seeds) - live - {own.address}
    if missing and (not live or generator.random() < 1 / 4):
        return generator.choice(sorted(missing))
    if not live:
        return None
    return generator.choice(sorted(live))

"""Exact choice of the groups that the hosts of one fabric domain carry."""

from typing import NamedTuple


class Option(NamedTuple):
    """One way to treat an item.

    Attributes:
      hosts: hosts that it takes
      value: what it is worth
    """

    hosts: int
    value: float


class Item(NamedTuple):
    """A group that stands in the domain or could be formed there.

    Attributes:
      key: identity of the item
      options: ways to treat it, of which one is chosen
      reserve: hosts that must stay free when an option takes any
    """

    key: str
    options: tuple[Option, ...]
    reserve: int = 0


class Packing(NamedTuple):
    """The best choice.

    Attributes:
      value: sum of the values
      chosen: index of the chosen option for each item
    """

    value: float
    chosen: tuple[int, ...]


def pack(items: tuple[Item, ...], hosts: int) -> Packing | None:
    """Chooses one option for each item, of the greatest value together.

    It is exact but for the reserves, which bind only the items after them;
    items with a reserve belong at the end.

    Args:
      items: the items; an item that may be left out has an option for that.
      hosts: number of hosts.

    Returns:
      The best choice, None when the hosts do not suffice for any.
    """
    best: dict[int, tuple[float, tuple[int, ...]]] = {0: (0.0, ())}
    for item in items:
        best = _extend(best, item, hosts)
    if not best:
        return None
    value, chosen = max(best.values(), key=lambda each: each[0])
    return Packing(value, chosen)


def _extend(
    best: dict[int, tuple[float, tuple[int, ...]]], item: Item, hosts: int
) -> dict[int, tuple[float, tuple[int, ...]]]:
    """Returns the best choices by the number of hosts, with one more item."""
    extended: dict[int, tuple[float, tuple[int, ...]]] = {}
    for used, (value, chosen) in best.items():
        for index, option in enumerate(item.options):
            total = used + option.hosts
            reserve = item.reserve if option.hosts else 0
            if total + reserve > hosts:
                continue
            sum_value = value + option.value
            known = extended.get(total)
            if known is None or sum_value > known[0]:
                extended[total] = (sum_value, (*chosen, index))
    return extended

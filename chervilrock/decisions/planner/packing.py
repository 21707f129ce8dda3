"""Exact choice of the groups that run on the hosts of fabric domains."""

from typing import NamedTuple


class Option(NamedTuple):
    """One option for an item.

    Attributes:
      hosts: number of hosts that it uses in each of the domains
      value: its value
      reserve: hosts that must stay free in each domain where it uses any
    """

    hosts: tuple[int, ...]
    value: float
    reserve: int = 0


class Packing(NamedTuple):
    """A combination of options.

    Attributes:
      value: sum of the values
      chosen: index of the chosen option for each item
    """

    value: float
    chosen: tuple[int, ...]


_Used = tuple[int, ...]


def pack(
    items: tuple[tuple[Option, ...], ...], hosts: tuple[int, ...]
) -> Packing | None:
    """Chooses one option for each item so that the total value is greatest.

    The result is exact except for reserves, which are checked only against
    the items before them. Items with a reserve should come last.

    Args:
      items: the options of each item; an item that may be left out has an
        option for that.
      hosts: number of hosts in each domain.

    Returns:
      The best combination, None when no combination fits the hosts.
    """
    best: dict[_Used, Packing] = {(0,) * len(hosts): Packing(0.0, ())}
    for options in items:
        best = _extend(best, options, hosts)
    return max(best.values(), key=lambda each: each.value, default=None)


def _extend(
    best: dict[_Used, Packing],
    options: tuple[Option, ...],
    hosts: tuple[int, ...],
) -> dict[_Used, Packing]:
    """Returns the best packings by used hosts, extended by one item."""
    extended: dict[_Used, Packing] = {}
    for used, packing in best.items():
        for index, option in enumerate(options):
            total = _add(used, option, hosts)
            if total is None:
                continue
            value = packing.value + option.value
            known = extended.get(total)
            if known is None or value > known.value:
                extended[total] = Packing(value, (*packing.chosen, index))
    return extended


def _add(used: _Used, option: Option, hosts: tuple[int, ...]) -> _Used | None:
    """Returns the used hosts with an option, None when it does not fit."""
    total: list[int] = []
    for before, more, limit in zip(used, option.hosts, hosts, strict=True):
        after = before + more
        if more and after + option.reserve > limit:
            return None
        total.append(after)
    return tuple(total)

"""Checks whether the wanted groups can exist on the hosts of the platform.

Each check is a necessary condition that holds for any placement: what it
refuses no controller could form. Hosts that are leaving count, since they
will be replaced.
"""

import collections
from typing import NamedTuple

from chervilrock.configuration.findings import (
    Fault,
    FindingCode,
    quote_value,
    suggest_name,
)
from chervilrock.configuration.places import Path
from chervilrock.configuration.report import Report
from chervilrock.generated.configuration import Configuration, ModelSpec
from chervilrock.generated.interfaces import HostList

MAX_SETS = 1024
FORBID = "forbid"


class Domain(NamedTuple):
    """Identity of a fabric domain."""

    region: str
    data_centre: str
    domain: str


class Demand(NamedTuple):
    """What one model wants.

    Attributes:
      model: index of the model in the configuration
      data_centres: where its groups may stand
      hosts: number of hosts that all its groups need
    """

    model: int
    data_centres: frozenset[str]
    hosts: int


def check_capacity(
    configuration: Configuration, hosts: HostList, report: Report
) -> None:
    """Add a finding for each want that the hosts cannot fulfil."""
    check_known(configuration, hosts, report)
    sizes = count_hosts(hosts)
    demands = []
    for index, model in enumerate(configuration["models"]):
        names = frozenset(model["data_centres"])
        places = names or frozenset(configuration["data_centres"])
        if model["groups"] == 0:
            continue
        if check_model(model, places, sizes, report, index):
            wanted = model["groups"] * model["hosts_per_group"]
            demands.append(Demand(index, places, wanted))
    check_sets(demands, sizes, report)


def count_hosts(hosts: HostList) -> dict[Domain, int]:
    """Return the number of hosts in each fabric domain."""
    return collections.Counter(
        Domain(host["region"], host["data_centre"], host["domain"])
        for host in hosts["hosts"]
    )


def check_known(
    configuration: Configuration, hosts: HostList, report: Report
) -> None:
    """Refuse data centres without any host or backend server."""
    known = {host["data_centre"] for host in hosts["hosts"]}
    known |= {service["data_centre"] for service in hosts["services"]}
    for index, name in enumerate(configuration["data_centres"]):
        if name not in known:
            report.add_value(
                ("data_centres", index),
                Fault(
                    FindingCode.UNKNOWN_DATA_CENTRE,
                    f"data centre {quote_value(name)} is not in the host list",
                    suggest_name(name, known),
                ),
            )


def check_model(
    model: ModelSpec,
    places: frozenset[str],
    sizes: dict[Domain, int],
    report: Report,
    index: int,
) -> bool:
    """Tell whether the groups of one model alone can exist."""
    path: Path = ("models", index)
    pools = pool_hosts(model, places, sizes)
    size = model["hosts_per_group"]
    largest = max(pools, default=0)
    if size > largest:
        kind = "fabric domain" if model["cross_domain"] == FORBID else "region"
        report.add_value(
            (*path, "hosts_per_group"),
            Fault(
                FindingCode.GROUP_TOO_LARGE,
                f"a group of {size} hosts fits in no {kind} of its data "
                f"centres, the largest has {largest}",
                hint_size(model),
            ),
        )
        return False
    fitting = sum(pool // size for pool in pools)
    if model["groups"] > fitting:
        report.add_value(
            (*path, "groups"),
            Fault(
                FindingCode.TOO_FEW_HOSTS,
                f"{model['groups']} groups of {size} hosts are wanted, but at "
                f"most {fitting} fit in the data centres of the model",
                "lower groups, or add hosts or data centres",
            ),
        )
        return False
    check_spares(model, places, sizes, report, path)
    return True


def hint_size(model: ModelSpec) -> str:
    """Return the hint for a group that is too large."""
    if model["cross_domain"] == FORBID:
        return "lower hosts_per_group, or set cross_domain to allow"
    return "lower hosts_per_group, or add data centres"


def pool_hosts(
    model: ModelSpec, places: frozenset[str], sizes: dict[Domain, int]
) -> list[int]:
    """Return the sizes of the sets of hosts that may form one group."""
    if model["cross_domain"] == FORBID:
        return list_domains(places, sizes)
    regions: collections.Counter[str] = collections.Counter()
    for domain, size in sizes.items():
        if domain.data_centre in places:
            regions[domain.region] += size
    return list(regions.values())


def list_domains(places: frozenset[str], sizes: dict[Domain, int]) -> list[int]:
    """Return the sizes of the fabric domains of some data centres."""
    return [
        size for domain, size in sizes.items() if domain.data_centre in places
    ]


def check_spares(
    model: ModelSpec,
    places: frozenset[str],
    sizes: dict[Domain, int],
    report: Report,
    path: Path,
) -> None:
    """Refuse more spares than the largest fabric domain has room for."""
    largest = max(list_domains(places, sizes))
    held = model["hosts_per_group"] if model["cross_domain"] == FORBID else 1
    if model["spares"] + held <= largest:
        return
    report.add_value(
        (*path, "spares"),
        Fault(
            FindingCode.TOO_MANY_SPARES,
            f"{model['spares']} spares beside {held} hosts of a group exceed "
            f"the largest fabric domain, which has {largest} hosts",
            "lower spares",
        ),
    )


def check_sets(
    demands: list[Demand], sizes: dict[Domain, int], report: Report
) -> None:
    """Refuse models that together want more hosts than there are."""
    reported: list[frozenset[str]] = []
    for places in list_sets(demands):
        if any(places >= other for other in reported):
            continue
        members = [item for item in demands if item.data_centres <= places]
        wanted = sum(item.hosts for item in members)
        there = sum(list_domains(places, sizes))
        if wanted <= there:
            continue
        reported.append(places)
        report.add_value(
            ("models", members[-1].model, "groups"),
            Fault(
                FindingCode.TOO_FEW_HOSTS,
                f"{len(members)} models that may stand only in "
                f"{', '.join(sorted(places))} want {wanted} hosts together, "
                f"but there are {there}",
                "lower groups, or add hosts or data centres",
            ),
        )


def list_sets(demands: list[Demand]) -> list[frozenset[str]]:
    """Return the unions of the sets of data centres, smallest first.

    At most about `MAX_SETS` unions are formed; further ones go unchecked.
    """
    sets: set[frozenset[str]] = set()
    for single in {demand.data_centres for demand in demands}:
        sets |= {single | other for other in sets} | {single}
        if len(sets) > MAX_SETS:
            break
    sets |= {demand.data_centres for demand in demands}
    return sorted(sets, key=lambda item: (len(item), sorted(item)))

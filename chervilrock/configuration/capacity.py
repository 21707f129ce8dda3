"""Checks whether the hosts of the platform can fit the configured groups.

Each check is a necessary condition for any placement: no controller could
form the groups that it rejects. Hosts that are leaving count, since they will
be replaced.
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

MAX_UNIONS = 1024
FORBID = "forbid"


class Domain(NamedTuple):
    """Identity of a fabric domain."""

    region: str
    data_centre: str
    domain: str


class Demand(NamedTuple):
    """The hosts that one model needs.

    Attributes:
      model: index of the model in the configuration
      data_centres: data centres where its groups may be placed
      hosts: number of hosts for all its groups
    """

    model: int
    data_centres: frozenset[str]
    hosts: int


def check_capacity(
    configuration: Configuration, hosts: HostList, report: Report
) -> None:
    """Add a finding for each demand that the hosts cannot meet."""
    check_known(configuration, hosts, report)
    sizes = count_hosts(hosts)
    demands = []
    for index, model in enumerate(configuration["models"]):
        names = frozenset(model["data_centres"])
        data_centres = names or frozenset(configuration["data_centres"])
        if model["groups"] == 0:
            continue
        if check_model(model, data_centres, sizes, report, index):
            wanted = model["groups"] * model["hosts_per_group"]
            demands.append(Demand(index, data_centres, wanted))
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
    """Report data centres without any host or backend server."""
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
    data_centres: frozenset[str],
    sizes: dict[Domain, int],
    report: Report,
    index: int,
) -> bool:
    """Return whether the hosts can fit the groups of one model alone."""
    path: Path = ("models", index)
    size = model["hosts_per_group"]
    largest = max(pool_hosts(model, data_centres, sizes, spares=0), default=0)
    if size > largest:
        fault = describe_size(model, largest)
        report.add_value((*path, "hosts_per_group"), fault)
        return False
    pools = pool_hosts(model, data_centres, sizes, spares=model["spares"])
    if size > max(pools):
        fault = describe_spares(model, data_centres, sizes)
        report.add_value((*path, "spares"), fault)
        return False
    fitting = sum(pool // size for pool in pools)
    if model["groups"] > fitting:
        report.add_value((*path, "groups"), describe_groups(model, fitting))
        return False
    return True


def describe_size(model: ModelSpec, largest: int) -> Fault:
    """Return the fault for a group larger than any eligible set of hosts."""
    forbid = model["cross_domain"] == FORBID
    kind = "fabric domain" if forbid else "region"
    other = "set cross_domain to allow" if forbid else "add data centres"
    return Fault(
        FindingCode.GROUP_TOO_LARGE,
        f"a group of {model['hosts_per_group']} hosts fits in no {kind} of "
        f"its data centres, the largest has {largest}",
        f"lower hosts_per_group, or {other}",
    )


def describe_spares(
    model: ModelSpec, data_centres: frozenset[str], sizes: dict[Domain, int]
) -> Fault:
    """Return the fault for spares that leave too few hosts for a group."""
    largest = max(list_domains(data_centres, sizes))
    return Fault(
        FindingCode.TOO_MANY_SPARES,
        f"{model['spares']} spares in a fabric domain leave no room for a "
        f"group of {model['hosts_per_group']} hosts, the largest has {largest}",
        "lower spares",
    )


def describe_groups(model: ModelSpec, fitting: int) -> Fault:
    """Return the fault for more groups than the hosts can fit."""
    return Fault(
        FindingCode.TOO_FEW_HOSTS,
        f"{model['groups']} groups of {model['hosts_per_group']} hosts are "
        f"wanted, but at most {fitting} fit in the data centres of the model "
        f"with {model['spares']} spares in each fabric domain",
        "lower groups, or add hosts or data centres",
    )


def pool_hosts(
    model: ModelSpec,
    data_centres: frozenset[str],
    sizes: dict[Domain, int],
    spares: int,
) -> list[int]:
    """Return the sizes of the sets of hosts that may form one group.

    Args:
      model: the model
      data_centres: data centres where its groups may be placed
      sizes: number of hosts in each fabric domain
      spares: number of hosts to leave out of each fabric domain
    """
    pools: collections.Counter[str | Domain] = collections.Counter()
    forbid = model["cross_domain"] == FORBID
    for domain, size in sizes.items():
        if domain.data_centre in data_centres:
            key = domain if forbid else domain.region
            pools[key] += max(0, size - spares)
    return list(pools.values())


def list_domains(
    data_centres: frozenset[str], sizes: dict[Domain, int]
) -> list[int]:
    """Return the sizes of the fabric domains in the data centres."""
    return [
        size
        for domain, size in sizes.items()
        if domain.data_centre in data_centres
    ]


def check_sets(
    demands: list[Demand], sizes: dict[Domain, int], report: Report
) -> None:
    """Report models that together need more hosts than there are."""
    reported: list[frozenset[str]] = []
    for data_centres in list_sets(demands):
        if any(data_centres >= other for other in reported):
            continue
        members = [
            item for item in demands if item.data_centres <= data_centres
        ]
        wanted = sum(item.hosts for item in members)
        available = sum(list_domains(data_centres, sizes))
        if wanted <= available:
            continue
        reported.append(data_centres)
        report.add_value(
            ("models", members[-1].model, "groups"),
            Fault(
                FindingCode.TOO_FEW_HOSTS,
                f"{len(members)} models that may stand only in "
                f"{', '.join(sorted(data_centres))} want {wanted} "
                f"hosts together, but there are {available}",
                "lower groups, or add hosts or data centres",
            ),
        )


def list_sets(demands: list[Demand]) -> list[frozenset[str]]:
    """Return the unions of the sets of data centres, smallest first.

    At most about `MAX_UNIONS` unions are formed; further ones go unchecked.
    """
    sets: set[frozenset[str]] = set()
    for single in {demand.data_centres for demand in demands}:
        sets |= {single | other for other in sets} | {single}
        if len(sets) > MAX_UNIONS:
            break
    sets |= {demand.data_centres for demand in demands}
    return sorted(sets, key=lambda item: (len(item), sorted(item)))

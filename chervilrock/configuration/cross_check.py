"""Checks that values agree with each other and with the platform."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilrock.configuration.calendar import count_day, list_days
from chervilrock.configuration.capacity import check_capacity
from chervilrock.configuration.findings import (
    Fault,
    FindingCode,
    quote_value,
    suggest_name,
)
from chervilrock.configuration.places import Path
from chervilrock.configuration.report import Report
from chervilrock.generated.configuration import (
    Configuration,
    ModelSpec,
    WeightCatalogue,
    WeightEntry,
)
from chervilrock.generated.interfaces import HostList

LEAST_SHARE = 0.001


class Surroundings(NamedTuple):
    """What is known about the platform; None for unknown parts.

    Attributes:
      hosts: host list
      weights: catalogue of the weight store
    """

    hosts: HostList | None
    weights: WeightCatalogue | None


def check_values(
    configuration: Configuration,
    surroundings: Surroundings,
    report: Report,
    data_centres_known: bool,
) -> None:
    """Add a finding for each inconsistency.

    Args:
      configuration: configuration with all defaults; faulty parts may be
        left out
      surroundings: what is known about the platform
      report: report to add the findings to
      data_centres_known: whether the list of data centres is valid
    """
    check_names(configuration, report)
    check_shares(configuration, report)
    check_calendar(configuration, report)
    if data_centres_known:
        check_data_centres(configuration, report)
    if surroundings.weights is not None:
        check_weights(configuration, surroundings.weights, report)
    if surroundings.hosts is not None and data_centres_known:
        check_capacity(configuration, surroundings.hosts, report)


def check_names(configuration: Configuration, report: Report) -> None:
    """Report names that occur twice in a list."""
    data_centres = configuration["data_centres"]
    check_unique(name_paths(data_centres, ("data_centres",)), report)
    for index, model in enumerate(configuration["models"]):
        path: Path = ("models", index)
        for key in ("adapters", "data_centres"):
            names: tuple[str, ...] = model[key]
            check_unique(name_paths(names, (*path, key)), report)
    for index, service in enumerate(configuration["services"]):
        methods = service["idempotent_methods"]
        path = ("services", index, "idempotent_methods")
        check_unique(name_paths(methods, path), report)
    for section in ("models", "services", "workspaces"):
        items = configuration[section]
        check_unique(
            [
                ((section, index, "name"), item["name"])
                for index, item in enumerate(items)
            ],
            report,
        )


def name_paths(names: Iterable[str], path: Path) -> list[tuple[Path, str]]:
    """Return each name of a list with its path."""
    return [((*path, index), name) for index, name in enumerate(names)]


def check_unique(names: list[tuple[Path, str]], report: Report) -> None:
    """Add a finding for each repeated name."""
    first: dict[str, Path] = {}
    for path, name in names:
        if name not in first:
            first[name] = path
            continue
        line = report.find_line(first[name])
        report.add_value(
            path,
            Fault(
                FindingCode.DUPLICATE_NAME,
                f"{quote_value(name)} stands in line {line} already",
                "use each name once",
            ),
        )


def check_shares(configuration: Configuration, report: Report) -> None:
    """Report workspaces whose share is too small to get any capacity."""
    for index, workspace in enumerate(configuration["workspaces"]):
        if workspace["share"] >= LEAST_SHARE:
            continue
        report.add_value(
            ("workspaces", index, "share"),
            Fault(
                FindingCode.SHARE_TOO_SMALL,
                f"a share of {workspace['share']} gets no capacity",
                f"write {LEAST_SHARE} or more, or remove the workspace",
            ),
        )


def check_calendar(configuration: Configuration, report: Report) -> None:
    """Report nonexistent days and periods that overlap."""
    owners: dict[int, int] = {}
    for index, period in enumerate(configuration["objective"]["calendar"]):
        path: Path = ("objective", "calendar", index)
        start = check_day(period["start"], (*path, "start"), report)
        end = check_day(period["end"], (*path, "end"), report)
        if start is None or end is None:
            continue
        others = set()
        for day in list_days(start, end):
            others.add(owners.setdefault(day, index))
        for other in sorted(others - {index}):
            line = report.find_line((*path[:-1], other))
            report.add_value(
                (*path, "start"),
                Fault(
                    FindingCode.OVERLAPPING_PERIODS,
                    f"the period shares days with that of line {line}",
                    "a day belongs to one period at most",
                ),
            )


def check_day(text: str, path: Path, report: Report) -> int | None:
    """Return the day of the year; if invalid, add a finding and return None."""
    day = count_day(text)
    if day is None:
        report.add_value(
            path,
            Fault(
                FindingCode.BAD_DATE,
                f"there is no day {quote_value(text)}",
                "write month and day as MM-DD",
            ),
        )
    return day


def check_data_centres(configuration: Configuration, report: Report) -> None:
    """Report data centres of models that the configuration does not list."""
    known = configuration["data_centres"]
    for index, model in enumerate(configuration["models"]):
        path: Path = ("models", index, "data_centres")
        for place, name in name_paths(model["data_centres"], path):
            if name not in known:
                report.add_value(
                    place,
                    Fault(
                        FindingCode.UNKNOWN_DATA_CENTRE,
                        f"data centre {quote_value(name)} is not in "
                        "data_centres",
                        suggest_name(name, known),
                    ),
                )


def check_weights(
    configuration: Configuration, weights: WeightCatalogue, report: Report
) -> None:
    """Report models, versions and adapters missing from the weight store."""
    for index, model in enumerate(configuration["models"]):
        path: Path = ("models", index)
        entry = weights["models"].get(model["name"])
        if entry is None:
            fault = describe_absent(
                FindingCode.UNKNOWN_MODEL, model["name"], weights["models"]
            )
            report.add_value((*path, "name"), fault)
        else:
            check_entry(model, entry, path, report)


def check_entry(
    model: ModelSpec, entry: WeightEntry, path: Path, report: Report
) -> None:
    """Report a version or adapters missing from the weight store."""
    if model["version"] not in entry["versions"]:
        fault = describe_absent(
            FindingCode.UNKNOWN_VERSION, model["version"], entry["versions"]
        )
        report.add_value((*path, "version"), fault)
    for place, name in name_paths(model["adapters"], (*path, "adapters")):
        if name not in entry["adapters"]:
            fault = describe_absent(
                FindingCode.UNKNOWN_ADAPTER, name, entry["adapters"]
            )
            report.add_value(place, fault)


def describe_absent(
    code: FindingCode, name: str, known: Iterable[str] | Mapping[str, object]
) -> Fault:
    """Return the fault for a name that is missing from the weight store."""
    return Fault(
        code,
        f"{quote_value(name)} is not in the weight store",
        suggest_name(name, known),
    )

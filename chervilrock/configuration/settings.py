"""Reads the settings of a node from flags and environment variables.

All settings are checked and all findings are returned together; the file of a
finding is the flag or variable that supplied the value. Serving processes
import this module, so it must not load YAML, JSON Schema or typer.
"""

from collections.abc import Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from chervilrock.configuration.address import is_unspecified, parse_address
from chervilrock.configuration.findings import (
    Fault,
    find_nearest,
    Finding,
    FindingCode,
    sort_findings,
    suggest_name,
)
from chervilrock.configuration.setting_value import (
    parse_setting,
    SettingValue,
)
from chervilrock.generated.settings import NodeSettings

PREFIX = "CHERVILROCK_"
MIN_VARIABLE_SIMILARITY = 0.7
DEFAULTS = NodeSettings._field_defaults
NAMES = NodeSettings._fields
PRESENCE_PROBE_NAMES = ("presence_limit_ms", "probe_interval_ms")

FlagValue = str | int | float | None


class Given(NamedTuple):
    """A supplied value with its source.

    Attributes:
      source: the flag or environment variable
      text: the value as text
    """

    source: str
    text: str


def read_settings(
    flags: Mapping[str, FlagValue], environment: Mapping[str, str]
) -> Result[NodeSettings, tuple[Finding, ...]]:
    """Read the settings of a node; flags take precedence over variables.

    Args:
      flags: values by setting name, None for flags not given
      environment: all environment variables

    Returns:
      The settings, or all findings.
    """
    findings = list_unknown(flags, environment)
    given = collect_given(flags, environment)
    values: dict[str, SettingValue] = {}
    for name in NAMES:
        parsed = read_setting(name, given.get(name))
        if isinstance(parsed, Finding):
            findings.append(parsed)
        else:
            values[name] = parsed
    findings += list_conflicts(values, given)
    if findings:
        return Failure(sort_findings(findings))
    return Success(NodeSettings(**values))  # type: ignore[arg-type]


def name_flag(name: str) -> str:
    """Return the flag name of a setting."""
    return f"--{name.replace('_', '-')}"


def name_variable(name: str) -> str:
    """Return the environment variable name of a setting."""
    return f"{PREFIX}{name.upper()}"


def collect_given(
    flags: Mapping[str, FlagValue], environment: Mapping[str, str]
) -> dict[str, Given]:
    """Return the supplied value of each setting that has one."""
    given: dict[str, Given] = {}
    for name in NAMES:
        flag = flags.get(name)
        variable = name_variable(name)
        if flag is not None:
            given[name] = Given(name_flag(name), str(flag))
        elif variable in environment:
            given[name] = Given(variable, environment[variable])
    return given


def read_setting(name: str, given: Given | None) -> SettingValue | Finding:
    """Return the value of one setting, its default, or a finding."""
    if given is None:
        if name in DEFAULTS:
            default: SettingValue = DEFAULTS[name]
            return default
        fault = Fault(
            FindingCode.MISSING_SETTING,
            "the setting is missing",
            f"give {name_flag(name)} or {name_variable(name)}",
        )
        return make_finding(name_flag(name), fault)
    parsed = parse_setting(name, given.text)
    if isinstance(parsed, Fault):
        return make_finding(given.source, parsed)
    return parsed


def list_unknown(
    flags: Mapping[str, FlagValue], environment: Mapping[str, str]
) -> list[Finding]:
    """Return findings for unknown flags and misspelt variables.

    Only variables that resemble a setting count, since other variables with
    the prefix may belong to other programs.
    """
    findings = []
    for name in sorted(set(flags) - set(NAMES)):
        fault = Fault(
            FindingCode.UNKNOWN_SETTING,
            "there is no such setting",
            suggest_name(name_flag(name), map(name_flag, NAMES)),
        )
        findings.append(make_finding(name_flag(name), fault))
    known = {name_variable(name): name for name in NAMES}
    for variable in sorted(environment):
        if not variable.startswith(PREFIX) or variable in known:
            continue
        name = variable.removeprefix(PREFIX).lower()
        nearest = find_nearest(name, NAMES, MIN_VARIABLE_SIMILARITY)
        if nearest is None:
            continue
        fault = Fault(
            FindingCode.UNKNOWN_SETTING,
            "there is no such setting",
            f"did you mean {name_variable(nearest)}?",
        )
        findings.append(make_finding(variable, fault))
    return findings


def list_conflicts(
    values: Mapping[str, SettingValue], given: Mapping[str, Given]
) -> list[Finding]:
    """Return findings for conflicting settings."""
    findings = []
    listen = parse_address(str(values.get("listen", "")))
    unspecified = listen is not None and is_unspecified(listen)
    if unspecified and values.get("advertise") == "":
        fault = Fault(
            FindingCode.CONFLICTING_SETTINGS,
            "others cannot connect to the address that the node listens on",
            f"give {name_flag('advertise')}",
        )
        findings.append(make_finding(name_source(given, ("listen",)), fault))
    limit, interval = (values.get(name) for name in PRESENCE_PROBE_NAMES)
    if limit is None or interval is None or int(limit) > int(interval):
        return findings
    fault = Fault(
        FindingCode.CONFLICTING_SETTINGS,
        f"a limit of {limit} ms is over before the next probe after "
        f"{interval} ms",
        "make presence_limit_ms several times probe_interval_ms",
    )
    findings.append(
        make_finding(name_source(given, PRESENCE_PROBE_NAMES), fault)
    )
    return findings


def name_source(given: Mapping[str, Given], names: tuple[str, ...]) -> str:
    """Return the source of the first of these settings that was supplied."""
    for name in names:
        if name in given:
            return given[name].source
    return name_flag(names[0])


def make_finding(source: str, fault: Fault) -> Finding:
    """Return the finding for a setting."""
    return Finding(source, 0, 0, fault.code, fault.message, fault.hint)

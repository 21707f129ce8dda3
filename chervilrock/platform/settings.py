"""The settings file that the platform writes for each process."""

from collections.abc import Mapping
import tomllib
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from chervilrock.decisions.serving.servers.evacuations import (
    DEFAULT_EVACUATION_S,
)

VARIABLE = "CHERVILROCK_NODE_FILE"
"""Environment variable that holds the path of the file."""

SOURCE_IP_VARIABLE = "CHERVILROCK_SOURCE_IP"
"""Environment variable that holds the IP address from which a node connects to
other processes."""

_MS_PER_S = 1000.0


class SettingFinding(NamedTuple):
    """An invalid or missing field of the settings file."""

    field: str
    reason: str


class NodeSettings(NamedTuple):
    """Settings that a process reads at its start.

    Attributes:
      node: name of the node.
      data_centre: data centre of the host.
      ip: IP address of the host.
      callers_address: IP:port for requests of callers.
      ready_address: IP:port for readiness checks.
      directory_address: IP:port for requests for the addresses of nodes.
      peer_port: port for messages between nodes.
      store_address: IP:port of the store.
      metrics_port: port for metrics and the state dump; 0 for none.
      region: region of the data centre.
      data_centres: data centres of the installation and their regions.
      repeat_ratio: retries allowed per request of a service.
      repeat_slack: further retries allowed per window.
      repeat_window_s: length of that window in seconds.
      stop_within_s: time from the stop signal until the process is killed.
      longest_address_age_s: longest time for which callers cache addresses.
      cores: processor time available to the process, in cores.
      stall_s: time after which a group that lost a host aborts its work.
      warmup_overage: factor on the requests a second that a cold server
        tolerates.
      warmup_slack: further requests that it may get in a second.
      evacuation_s: time after the record of an evacuation from which nothing
        may be sent to the data centre.
      memory_mb: memory in megabytes above which the platform kills the
        process; 0 for no limit.
      source_ip: IP address from which the node connects to other processes;
        empty to leave the choice to the system.
    """

    node: str
    data_centre: str
    ip: str
    callers_address: str
    ready_address: str
    directory_address: str
    peer_port: int
    store_address: str
    metrics_port: int
    region: str
    data_centres: Mapping[str, str]
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    stop_within_s: float
    longest_address_age_s: float
    cores: float
    stall_s: float
    warmup_overage: float = 1.5
    warmup_slack: float = 5.0
    evacuation_s: float = DEFAULT_EVACUATION_S
    memory_mb: float = 0.0
    source_ip: str = ""


class _Fields:
    """Reads fields of the file and collects findings on invalid ones."""

    def __init__(self, *, values: Mapping[str, Any]) -> None:
        self._values = values
        self.findings: list[SettingFinding] = []

    def text(self, path: str) -> str:
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self._add_finding(path, value, "is not a non-empty string")
        return ""

    def address(self, path: str) -> str:
        value = self.text(path)
        _, colon, port = value.rpartition(":")
        if value and not (colon and port.isdigit()):
            self._add_finding(path, value, "is not IP:port")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        value = self._find(path)
        if value is None and default is not None:
            return default
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            if value >= 0:
                return float(value)
            self._add_finding(path, value, "is negative")
            return 0.0
        self._add_finding(path, value, "is not a number")
        return 0.0

    def first_number(self, path: str) -> int:
        value = self._find(path)
        if isinstance(value, list) and value and isinstance(value[0], int):
            return value[0]
        self._add_finding(path, value, "is not a list of ports")
        return 0

    def table(self, path: str) -> Mapping[str, str]:
        value = self._find(path)
        if isinstance(value, dict):
            return {str(key): str(item) for key, item in value.items()}
        self._add_finding(path, value, "is not a table")
        return {}

    def _find(self, path: str) -> Any:
        value: Any = self._values
        for part in path.split("."):
            if not isinstance(value, dict) or part not in value:
                return None
            value = value[part]
        return value

    def _add_finding(self, path: str, value: object, problem: str) -> None:
        reason = "is missing" if value is None else f"{value!r} {problem}"
        self.findings.append(SettingFinding(field=path, reason=reason))


def read_settings(
    path: str, *, metrics_port: int = 0, source_ip: str = ""
) -> Result[NodeSettings, tuple[SettingFinding, ...]]:
    """Return the settings in a file, or a finding for each invalid field.

    Args:
      path: path of the file.
      metrics_port: port for metrics, which is not set in the file.
      source_ip: IP address to connect from, which is not set in the file.
    """
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure((SettingFinding(field=path, reason=str(error)),))
    return decode_settings(
        values, metrics_port=metrics_port, source_ip=source_ip
    )


def decode_settings(
    values: Mapping[str, Any], *, metrics_port: int = 0, source_ip: str = ""
) -> Result[NodeSettings, tuple[SettingFinding, ...]]:
    """Return the settings, or a finding for each invalid field."""
    fields = _Fields(values=values)
    settings = NodeSettings(
        node=fields.text("node_name"),
        data_centre=fields.text("zone"),
        ip=fields.text("ip"),
        callers_address=fields.address("listen.front"),
        ready_address=fields.address("listen.ready"),
        directory_address=fields.address("listen.directory"),
        peer_port=fields.first_number("internal_ports"),
        store_address=fields.address("provider.address"),
        metrics_port=metrics_port,
        region=fields.text("region"),
        data_centres=fields.table("zones"),
        repeat_ratio=fields.number("bounds.retry_budget_ratio", 0.1),
        repeat_slack=fields.number("bounds.retry_slack", 0.0),
        repeat_window_s=fields.number("bounds.budget_window_s", 10.0),
        stop_within_s=fields.number("bounds.grace_s", 8.0),
        longest_address_age_s=fields.number("bounds.ttl_max_s", 5.0),
        # The share is a fraction of all cores of the host taken together.
        cores=fields.number("limits.cpu_share", 1.0)
        * fields.number("limits.cores", 1.0),
        stall_s=fields.number("bounds.stall_ms", 6000.0) / _MS_PER_S,
        warmup_overage=fields.number("bounds.warmup_overage", 1.5),
        warmup_slack=fields.number("bounds.warmup_slack", 5.0),
        evacuation_s=fields.number(
            "bounds.evac_ms", DEFAULT_EVACUATION_S * _MS_PER_S
        )
        / _MS_PER_S,
        memory_mb=fields.number("limits.memory_mb", 0.0),
        source_ip=source_ip,
    )
    if fields.findings:
        return Failure(tuple(fields.findings))
    return Success(settings)

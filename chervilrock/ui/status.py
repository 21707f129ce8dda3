"""The commands `status` and `dump`: print the state of a node."""

from collections.abc import Iterable

from returns.result import Failure

from chervilrock.clients.httpclient import HttpClient
from chervilrock.generated.interfaces import NodePhase
from chervilrock.generated.operators import (
    GroupStatus,
    NodeStatus,
    StatusAnswer,
)
from chervilrock.ui.client import OperatorClient
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.output import print_error, print_json, print_result
from chervilrock.ui.tables import render_table

NODE_HEADER = (
    "NODE",
    "ADDRESS",
    "DATA CENTRE",
    "PHASE",
    "REVISION",
    "LOAD",
)
GROUP_HEADER = ("GROUP", "MODEL", "VERSION", "PHASE", "HOSTS", "MISSING")
STRANDED_HEADER = ("STRANDED HOST", "DATA CENTRE", "ACCELERATORS", "REASON")
LOST = "lost"
LEFT_PHASES = (NodePhase.LEAVING, NodePhase.STOPPED)
QUARANTINE_HEADER = ("QUARANTINED HOST", "FENCE", "REASON")


async def show_status(*, address: str, as_json: bool) -> ExitCode:
    """Prints the status of the installation that one node reports."""
    http = HttpClient(max_clients=1)
    result = await OperatorClient(address=address, http=http).get_status()
    http.close()
    if isinstance(result, Failure):
        print_error(result.failure().message)
        return ExitCode.UNREACHABLE
    status = result.unwrap()
    if as_json:
        print_json(status)
    else:
        print_result(render_status(status))
    return ExitCode.DONE


async def dump_state(*, address: str) -> ExitCode:
    """Prints the state of a process as JSON."""
    http = HttpClient(max_clients=1)
    result = await OperatorClient(address=address, http=http).get_state()
    http.close()
    if isinstance(result, Failure):
        print_error(result.failure().message)
        return ExitCode.UNREACHABLE
    print_json(result.unwrap())
    return ExitCode.DONE


def render_status(status: StatusAnswer) -> str:
    """Returns a status as tables; optional tables without rows are omitted."""
    parts = [_render_summary(status), _render_nodes(status["nodes"])]
    if status["groups"]:
        parts.append(_render_groups(status["groups"]))
    if status["stranded"]:
        parts.append(_render_stranded(status))
    if status["quarantined"]:
        parts.append(_render_quarantine(status))
    return "\n\n".join(parts)


def describe_phase(node: NodeStatus) -> str:
    """Returns the phase of a node for display.

    An unresponsive node has stopped if it was leaving at the last contact,
    and is lost otherwise.
    """
    if node["alive"]:
        return node["phase"]
    return NodePhase.STOPPED if has_left(node) else LOST


def has_left(node: NodeStatus) -> bool:
    """Returns whether a node is unresponsive because it was stopped."""
    return not node["alive"] and node["phase"] in LEFT_PHASES


def _render_summary(status: StatusAnswer) -> str:
    """Returns the summary lines of the installation and the region."""
    revision = "none"
    if status["revision"]:
        revision = f"revision {status['revision']} of {status['operator']}"
    region = status["region"]
    if not status.get("region_known", True):
        region += ", NOT KNOWN to this node: it serves no group yet"
    log = "reachable" if status["log_reachable"] else "NOT REACHABLE"
    lines = (
        f"configuration: {revision}",
        f"region:        {region}",
        f"controller:    {status['controller'] or 'none'}",
        f"log service:   {log} from node {status['node']}",
    )
    return "\n".join(lines)


def _render_nodes(nodes: Iterable[NodeStatus]) -> str:
    """Returns the table of nodes."""
    rows = [
        (
            node["node"],
            node["address"],
            node["data_centre"],
            describe_phase(node),
            node["revision"],
            f"{node['load']:.0%}",
        )
        for node in sorted(nodes, key=lambda node: node["node"])
    ]
    return render_table(NODE_HEADER, rows)


def _render_groups(groups: Iterable[GroupStatus]) -> str:
    """Returns the table of groups."""
    rows = [
        (
            group["group"],
            group["model"],
            group["version"],
            group["phase"],
            ",".join(group["hosts"]),
            ",".join(group["missing"]) or "-",
        )
        for group in sorted(groups, key=lambda group: group["group"])
    ]
    return render_table(GROUP_HEADER, rows)


def _render_stranded(status: StatusAnswer) -> str:
    """Returns the table of stranded hosts, with their accelerators."""
    hosts = sorted(status["stranded"], key=lambda host: host["host"])
    rows = [
        (
            host["host"],
            host["data_centre"],
            host["accelerators"],
            host["reason"],
        )
        for host in hosts
    ]
    total = sum(host["accelerators"] for host in hosts)
    table = render_table(STRANDED_HEADER, rows)
    return f"{table}\n{total} accelerators stranded"


def _render_quarantine(status: StatusAnswer) -> str:
    """Returns the table of quarantined hosts."""
    rows = [
        (host["host"], host["fence"], host["reason"])
        for host in sorted(status["quarantined"], key=lambda host: host["host"])
    ]
    return render_table(QUARANTINE_HEADER, rows)

"""The command `apply`: applies a configuration and can wait for it."""

import asyncio
import pathlib
import time
from typing import NamedTuple

from returns.result import Failure

from chervilrock.clients.httpclient import HttpClient
from chervilrock.configuration.check import check
from chervilrock.configuration.source import MAX_BYTES
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import NodePhase
from chervilrock.generated.operators import (
    ApplyAnswer,
    ApplyRequest,
    StatusAnswer,
)
from chervilrock.ui.check import InputError, read_bytes, render_name
from chervilrock.ui.client import ClientError, OperatorClient
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.output import (
    print_error,
    print_findings,
    print_json,
    print_result,
)
from chervilrock.ui.status import has_left

POLL_INTERVAL_S = 0.25


class ApplyOptions(NamedTuple):
    """Options of the command.

    Attributes:
      address: IP:port of the node to send the configuration to
      base_revision: revision to replace; None for the one in force
      operator: name to record with the configuration
      wait_s: longest wait in seconds until every live node has the
        configuration in force; None not to wait
      as_json: whether to print one JSON document
    """

    address: str
    base_revision: int | None
    operator: str
    wait_s: float | None
    as_json: bool


class Spread(NamedTuple):
    """Which nodes do not have a configuration in force yet.

    Attributes:
      lagging: names of the live nodes without it, sorted
      lost: names of the nodes without recent contact, sorted
    """

    lagging: tuple[str, ...]
    lost: tuple[str, ...]


async def apply_file(file: pathlib.Path, options: ApplyOptions) -> ExitCode:
    """Applies a file and prints the outcome."""
    try:
        text = read_bytes(file, MAX_BYTES + 1)
    except InputError as error:
        print_error(str(error))
        return ExitCode.USAGE
    document, findings = check(
        text, render_name(file), hosts=None, weights=None
    )
    if document is None:
        print_findings(findings)
        return ExitCode.FINDINGS
    http = HttpClient(max_clients=1)
    client = OperatorClient(address=options.address, http=http)
    try:
        return await _apply_document(document, options, client)
    finally:
        http.close()


async def _apply_document(
    document: Configuration, options: ApplyOptions, client: OperatorClient
) -> ExitCode:
    """Applies a checked document."""
    base = options.base_revision
    if base is None:
        status = await client.get_status()
        if isinstance(status, Failure):
            return _report_unreachable(status.failure())
        base = status.unwrap()["revision"]
    request = ApplyRequest(
        base_revision=base, operator=options.operator, document=document
    )
    result = await client.apply(request)
    if isinstance(result, Failure):
        return _report_unreachable(result.failure())
    answer = result.unwrap()
    if not answer["accepted"]:
        return _report_refusal(answer, base, options.as_json)
    return await _report_accepted(answer, options, client)


async def _report_accepted(
    answer: ApplyAnswer, options: ApplyOptions, client: OperatorClient
) -> ExitCode:
    """Reports that a configuration was accepted, after an optional wait."""
    revision = answer["revision"]
    if not options.as_json:
        print_result(f"revision {revision} accepted")
    if options.wait_s is None:
        if options.as_json:
            print_json(answer)
        return ExitCode.DONE
    spread = await wait_in_force(client, revision, options.wait_s)
    if options.as_json:
        print_json({**answer, "spread": spread and spread._asdict()})
    return _report_spread(spread, revision, options)


async def wait_in_force(
    client: OperatorClient,
    revision: int,
    wait_s: float,
    interval_s: float = POLL_INTERVAL_S,
) -> Spread | None:
    """Waits until every live node has a revision, or a later one, in force.

    Args:
      client: client of the node whose status is polled
      revision: revision to wait for
      wait_s: longest wait in seconds; the node is polled at least once
      interval_s: polling interval in seconds

    Returns:
      The last state seen, or None if the node never answered.
    """
    deadline = time.monotonic() + wait_s
    spread = None
    while True:
        result = await client.get_status()
        if not isinstance(result, Failure):
            spread = measure_spread(result.unwrap(), revision)
            if not spread.lagging:
                return spread
        if time.monotonic() >= deadline:
            return spread
        await asyncio.sleep(interval_s)


def measure_spread(status: StatusAnswer, revision: int) -> Spread:
    """Returns which nodes have neither a revision nor a later one in force."""
    nodes = sorted(status["nodes"], key=lambda node: node["node"])
    lagging = [
        node["node"]
        for node in nodes
        if node["alive"]
        and node["phase"] != NodePhase.STOPPED
        and node["revision"] < revision
    ]
    lost = [
        node["node"]
        for node in nodes
        if not node["alive"] and not has_left(node)
    ]
    return Spread(tuple(lagging), tuple(lost))


def _report_spread(
    spread: Spread | None, revision: int, options: ApplyOptions
) -> ExitCode:
    """Reports which nodes lack a revision."""
    if spread is None:
        print_error(
            f"node {options.address} cannot be reached since revision "
            f"{revision} was accepted; look with `chervilrock status`"
        )
        return ExitCode.UNREACHABLE
    if spread.lost:
        names = ", ".join(spread.lost)
        print_error(f"not heard of lately, so not waited for: {names}")
    if spread.lagging:
        names = ", ".join(spread.lagging)
        print_error(f"revision {revision} is not in force on: {names}")
        return ExitCode.NOT_IN_FORCE
    if not options.as_json:
        print_result(f"revision {revision} in force on every live node")
    return ExitCode.DONE


def _report_refusal(answer: ApplyAnswer, base: int, as_json: bool) -> ExitCode:
    """Reports why a configuration was not accepted."""
    if as_json:
        print_json(answer)
    for finding in answer["findings"]:
        hint = f" ({finding['hint']})" if finding["hint"] else ""
        print_error(f"{finding['code']}: {finding['message']}{hint}")
    if answer["findings"]:
        return ExitCode.FINDINGS
    winner = answer.get("winner")
    name = "another configuration"
    if winner is not None:
        name = f"revision {winner['revision']} of {winner['operator']}"
    print_error(
        f"not applied: {name} has replaced revision {base}; merge it into "
        "the file and apply again"
    )
    return ExitCode.LOST


def _report_unreachable(error: ClientError) -> ExitCode:
    """Reports that a node gave no usable answer."""
    print_error(error.message)
    if error.effect_possible:
        print_error(
            "the configuration may be accepted all the same; look with "
            "`chervilrock status` before you apply it again"
        )
    else:
        print_error("nothing was applied")
    return ExitCode.UNREACHABLE

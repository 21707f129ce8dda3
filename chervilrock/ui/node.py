"""The command `node`: serves on the platform of the users.

The settings come from a file that the platform writes for each process.
"""

import asyncio
from collections.abc import Mapping, Sequence
import sys
from typing import cast, TextIO

from returns.result import Failure

from chervilrock import events
from chervilrock.events import Event
from chervilrock.logsink import BoundedOutput
from chervilrock.platform.settings import (
    read_settings,
    SOURCE_IP_VARIABLE,
    VARIABLE,
)
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.output import print_error

METRICS_FLAG = "--metrics-port"

USAGE = f"""\
Usage: chervilrock node [{METRICS_FLAG} PORT]

Serves on a platform that writes the settings of each process into a file;
the environment variable {VARIABLE} holds its path. Metrics and a
dump of the state are served on PORT of the host when it is given.
{SOURCE_IP_VARIABLE} names the IP address to connect from."""


def run_node(arguments: Sequence[str], environment: Mapping[str, str]) -> int:
    """Serve until the process is stopped.

    Args:
      arguments: arguments after `node`.
      environment: all environment variables.

    Returns:
      The exit code.
    """
    path = environment.get(VARIABLE, "")
    metrics_port = parse_arguments(arguments)
    if metrics_port is None or not path:
        print_error(USAGE)
        return ExitCode.USAGE
    output = BoundedOutput(descriptor=sys.stdout.fileno())
    events.configure_logging("json", "INFO", cast(TextIO, output))
    result = read_settings(
        path,
        metrics_port=metrics_port,
        source_ip=environment.get(SOURCE_IP_VARIABLE, ""),
    )
    if isinstance(result, Failure):
        for finding in result.failure():
            events.emit(
                Event.SETTING_REFUSED,
                setting=finding.field,
                reason=finding.reason,
            )
        return ExitCode.FINDINGS
    from chervilrock.node import serving

    try:
        return asyncio.run(serving.run(result.unwrap(), lambda: output.dropped))
    except OSError as error:
        events.emit(Event.SETTING_REFUSED, setting="listen", reason=str(error))
        return ExitCode.FINDINGS


def parse_arguments(arguments: Sequence[str]) -> int | None:
    """Return the metrics port, 0 for no port, None for invalid arguments."""
    if not arguments:
        return 0
    is_flag = len(arguments) == 2 and arguments[0] == METRICS_FLAG
    return int(arguments[1]) if is_flag and arguments[1].isdigit() else None

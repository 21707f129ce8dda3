"""The command `node`: serves on the platform of the users.

Its settings come from the file that the platform writes for each process.
"""

import asyncio
from collections.abc import Mapping, Sequence
import sys
from typing import cast, TextIO

from returns.result import Failure

from chervilrock import events
from chervilrock.events import Event
from chervilrock.logsink import BoundedOutput
from chervilrock.platform.settings import read_settings, VARIABLE
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.output import print_error

USAGE = f"""\
Usage: chervilrock node

Serves on a platform that writes the settings of each process into a file;
the environment variable {VARIABLE} holds its path."""


def run_node(arguments: Sequence[str], environment: Mapping[str, str]) -> int:
    """Serve until told to stop.

    Args:
      arguments: those after `node`; there should be none.
      environment: all environment variables.

    Returns:
      The exit code.
    """
    path = environment.get(VARIABLE, "")
    if arguments or not path:
        print_error(USAGE)
        return ExitCode.USAGE
    output = BoundedOutput(descriptor=sys.stdout.fileno())
    events.configure_logging("json", "INFO", cast(TextIO, output))
    result = read_settings(path)
    if isinstance(result, Failure):
        for finding in result.failure():
            events.emit(
                Event.SETTING_REFUSED,
                setting=finding.field,
                reason=finding.reason,
            )
        return ExitCode.FINDINGS
    from chervilrock.node import serving

    return asyncio.run(serving.run(result.unwrap()))

"""The command line: one module for each command.

`serve` runs for months on small hosts, so it is started without the library
of the command line, which all other commands use. `chervilrock.ui.application`
describes the commands.
"""

from collections.abc import Sequence
import os
import sys

SERVE = "serve"


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit code.

    Args:
      arguments: those after the name of the program; by default those that
        this process was started with
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given[:1] == [SERVE]:
        from chervilrock.ui.serve import serve

        return serve(given[1:], os.environ)
    from chervilrock.ui.application import run

    return run(given)

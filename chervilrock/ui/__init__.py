"""The command line: one module for each command.

`serve` and `node` run for months on small hosts, so they are started without
the library of the command line, which all other commands use.
`chervilrock.ui.application` describes the commands.
"""

from collections.abc import Iterable, Sequence
import os
import sys

SERVE = "serve"
NODE = "node"

UNUSED_MODULES = ("bz2", "curses", "lzma")
"""Modules that libraries only try to import, and that a node never uses.

`curses` is for coloured logs of tornado, the others for archives in shutil.
Without them a serving process takes 0.9 MB less.
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit code.

    Args:
      arguments: those after the name of the program; by default those that
        this process was started with
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given[:1] == [SERVE]:
        leave_out(UNUSED_MODULES)
        from chervilrock.ui.serve import serve

        return serve(given[1:], os.environ)
    if given[:1] == [NODE]:
        leave_out(UNUSED_MODULES)
        from chervilrock.ui.node import run_node

        return run_node(given[1:], os.environ)
    from chervilrock.ui.application import run

    return run(given)


def leave_out(names: Iterable[str]) -> None:
    """Lets the import of some modules fail, unless they are there already."""
    for name in names:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]

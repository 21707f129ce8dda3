"""The command line: one module for each command.

`serve` and `node` run for months on small hosts. To save memory they do not
load typer, the command-line library that all other commands use.
`chervilrock.ui.application` defines the commands.
"""

from collections.abc import Iterable, Sequence
import os
import signal
import sys

SERVE = "serve"
NODE = "node"

UNUSED_MODULES = ("bz2", "curses", "lzma")
"""Optional imports of libraries that a node never uses.

Tornado imports `curses` for coloured logs, and shutil imports the others for
archives. Blocking them saves 0.9 MB in a serving process.
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit code.

    Args:
      arguments: arguments after the program name; by default those of this
        process
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given[:1] == [SERVE]:
        leave_out(UNUSED_MODULES)
        from chervilrock.ui.serve import serve

        return serve(given[1:], os.environ)
    if given[:1] == [NODE]:
        # Ends the process by default until the node installs its own handler.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        leave_out(UNUSED_MODULES)
        from chervilrock.ui.node import run_node

        return run_node(given[1:], os.environ)
    from chervilrock.ui.application import run

    return run(given)


def leave_out(names: Iterable[str]) -> None:
    """Makes imports of modules fail unless they are already loaded."""
    for name in names:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]

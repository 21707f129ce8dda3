"""Typer definitions of the commands, their arguments and their help.

Each function only declares a command and imports the implementation when it
runs, so that a command loads no more modules than it needs.
"""

import asyncio
from collections.abc import Callable, Sequence
import getpass
import importlib
import inspect
import os
import pathlib
from typing import Annotated, Any

import typer

import chervilrock
from chervilrock.ui.check import check
from chervilrock.ui.options import (
    AddressArgument,
    DEFAULT_NODE,
    JsonOption,
    NodeOption,
    NUMBER,
    TEXT,
)
from chervilrock.ui.standin import standin_app

PROGRAM = "chervilrock"
DEFAULT_WAIT_S = 30.0
UNKNOWN_USER = "unknown"
PASS_THROUGH = {
    "allow_extra_args": True,
    "ignore_unknown_options": True,
    "help_option_names": [],
}
EPILOG = """\
\b
Examples:
  chervilrock check installation.yaml
  chervilrock apply installation.yaml --node 10.0.0.1:8000 --wait
  chervilrock status --node 10.0.0.1:8000

\b
Exit codes:
  0  done
  1  findings in a file or in settings, or a broken promise
  2  wrong use of the command line
  3  another operator's configuration won
  4  accepted, but not in force on every live node in time
  5  a node cannot be reached
"""
app = typer.Typer(
    name=PROGRAM,
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    epilog=EPILOG,
)


def run(arguments: Sequence[str]) -> int:
    """Runs a command and returns its exit code."""
    try:
        app(args=list(arguments), prog_name=PROGRAM)
    except SystemExit as system_exit:
        return int(system_exit.code or 0)
    return 0


def print_version(wanted: bool) -> None:
    """Prints the version and exits if `--version` is given."""
    if wanted:
        typer.echo(f"{PROGRAM} {chervilrock.__version__}")
        raise typer.Exit


@app.callback()
def describe(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=print_version,
            is_eager=True,
            help="Print the version and end.",
        ),
    ] = False,
) -> None:
    """Serves models whose replicas span several hosts.

    Operators declare in a file which models, versions and replica groups
    should exist, and apply the file as a whole; the entry nodes make it true
    and route the requests of callers to the groups.
    """


def serve(context: typer.Context) -> None:
    """Run an entry node. Its settings: chervilrock serve --help."""
    from chervilrock.ui.serve import serve as run_serve

    raise typer.Exit(run_serve(context.args, os.environ))


def apply(
    file: Annotated[
        pathlib.Path,
        typer.Argument(metavar="FILE", help="YAML file."),
    ],
    node: NodeOption = DEFAULT_NODE,
    wait: Annotated[
        bool,
        typer.Option(
            "--wait", help="Wait until every live node has it in force."
        ),
    ] = False,
    timeout: Annotated[
        float,
        typer.Option(min=0.0, metavar=NUMBER, help="Longest wait in seconds."),
    ] = DEFAULT_WAIT_S,
    base: Annotated[
        int | None,
        typer.Option(
            min=0,
            metavar=NUMBER,
            help="Revision to replace; by default the one in force.",
        ),
    ] = None,
    operator: Annotated[
        str,
        typer.Option(
            metavar=TEXT, help="Name to record; by default the user's."
        ),
    ] = "",
    as_json: JsonOption = False,
) -> None:
    r"""Check a configuration file and put it in force as a whole.

    When somebody else applied one meanwhile, nothing changes: the command
    tells who it was and ends with exit code 3.

    \b
    Examples:
      chervilrock apply installation.yaml --wait
      chervilrock apply installation.yaml --base 41 --operator asha
    """
    from chervilrock.ui.apply import apply_file, ApplyOptions

    options = ApplyOptions(
        address=node,
        base_revision=base,
        operator=operator or find_user(),
        wait_s=timeout if wait else None,
        as_json=as_json,
    )
    raise typer.Exit(asyncio.run(apply_file(file, options)))


def status(
    node: NodeOption = DEFAULT_NODE, as_json: JsonOption = False
) -> None:
    """Show nodes, groups, stranded hosts and quarantine."""
    from chervilrock.ui.status import show_status

    raise typer.Exit(asyncio.run(show_status(address=node, as_json=as_json)))


def dump(
    address: AddressArgument,
) -> None:
    """Print the whole state of a process as JSON."""
    from chervilrock.ui.status import dump_state

    raise typer.Exit(asyncio.run(dump_state(address=address)))


def find_user() -> str:
    """Returns the login name, or `unknown` if it cannot be determined."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return UNKNOWN_USER


def demo() -> None:
    """Run a whole installation on this machine and check its promises."""
    module = importlib.import_module("chervilrock.ui.demo")
    raise typer.Exit(module.run_demo())


def add_command(function: Callable[..., None], **settings: Any) -> None:
    r"""Adds a command whose help text is the docstring of its function.

    The docstrings are raw, so `\b` is two characters in them. It is replaced
    by the backspace character, which tells typer not to rewrap a paragraph.
    """
    text = inspect.getdoc(function) or ""
    app.command(help=text.replace(r"\b", "\b"), **settings)(function)


add_command(serve, context_settings=PASS_THROUGH, add_help_option=False)
for command in (check, apply, status, dump, demo):
    add_command(command)
app.add_typer(standin_app, name="stand-in")

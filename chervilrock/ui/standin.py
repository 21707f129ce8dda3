"""The command `stand-in`: runs a stand-in for the platform or a server."""

import asyncio
from collections.abc import Callable
import pathlib
from typing import Annotated, TYPE_CHECKING

import typer

from chervilrock.ui.check import InputError
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.options import check_address, NUMBER, TEXT
from chervilrock.ui.output import print_error

if TYPE_CHECKING:
    from chervilrock.standin.server import StandIn

standin_app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help="Run a stand-in for trials and tests; it keeps nothing.",
)


ListenOption = Annotated[
    str,
    typer.Option(
        metavar="IP:PORT", callback=check_address, help="Port 0 for any."
    ),
]
FileOption = Annotated[
    pathlib.Path | None,
    typer.Option(
        exists=True, dir_okay=False, metavar="FILE", help="JSON file."
    ),
]


@standin_app.command()
def platform(
    listen: ListenOption = "127.0.0.1:7000",
    hosts: FileOption = None,
    weights: FileOption = None,
) -> None:
    """Run log service, host list and weight store on one address.

    The file of hosts is a body of GET /hosts, that of weights a body of
    GET /weights; docs/interfaces.md describes both.
    """
    from chervilrock.ui.platform_files import load_platform

    try:
        standin = load_platform(hosts, weights)
    except InputError as error:
        print_error(str(error))
        raise typer.Exit(ExitCode.USAGE) from None
    run_standin(lambda: standin, listen)


@standin_app.command()
def engine(
    listen: ListenOption = "127.0.0.1:7100",
    host: Annotated[
        str, typer.Option(metavar=TEXT, help="Name of its host.")
    ] = "host-1",
    weight_store: Annotated[
        str, typer.Option(metavar="IP:PORT", help="Where shards come from.")
    ] = "",
    load_ms: Annotated[
        float,
        typer.Option(min=0.0, metavar=NUMBER, help="Time to load a shard."),
    ] = 200.0,
    token_ms: Annotated[
        float, typer.Option(min=0.0, metavar=NUMBER, help="Time of a token.")
    ] = 20.0,
    checks_fence: Annotated[
        bool, typer.Option(help="Refuse orders with an old fencing number.")
    ] = True,
) -> None:
    """Run a model engine, one for each host."""
    from chervilrock.standin.engine import EngineOptions, EngineStandIn

    options = EngineOptions(
        host=host,
        weight_store=weight_store,
        load_ms=load_ms,
        token_ms=token_ms,
        checks_fence=checks_fence,
    )
    run_standin(lambda: EngineStandIn(options=options), listen)


@standin_app.command()
def service(
    listen: ListenOption = "127.0.0.1:7200",
    server: Annotated[
        str,
        typer.Option(metavar=TEXT, help="Name that it shows in its answers."),
    ] = "server-1",
    latency_ms: Annotated[
        float, typer.Option(min=0.0, metavar=NUMBER, help="Time of each call.")
    ] = 0.0,
) -> None:
    """Run a backend server of a plain service."""
    from chervilrock.standin.service import ServiceOptions, ServiceStandIn

    options = ServiceOptions(server=server, latency_ms=latency_ms)
    run_standin(lambda: ServiceStandIn(options=options), listen)


def run_standin(make: "Callable[[], StandIn]", listen: str) -> None:
    """Runs a stand-in until the process is stopped, then exits."""
    from chervilrock.ui.runner import run_until_stopped

    code = asyncio.run(run_until_stopped(make, listen))
    raise typer.Exit(code)

"""What the options of several commands share."""

from typing import Annotated

import typer

from chervilrock.configuration.address import parse_address

DEFAULT_NODE = "127.0.0.1:8000"
TEXT = "TEXT"
NUMBER = "NUMBER"


def check_address(text: str) -> str:
    """Returns an address when it is one.

    Raises:
      typer.BadParameter: it is not.
    """
    if parse_address(text) is None:
        raise typer.BadParameter(f"{text!r} is not IP:port")
    return text


NodeOption = Annotated[
    str,
    typer.Option(
        "--node", metavar="IP:PORT", callback=check_address, help="Node to ask."
    ),
]
AddressArgument = Annotated[
    str,
    typer.Argument(
        metavar="IP:PORT", callback=check_address, help="Process to ask."
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print one JSON document.")
]

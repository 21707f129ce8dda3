"""Options that several commands share."""

from typing import Annotated

import typer

from chervilrock.configuration.address import parse_address

DEFAULT_NODE = "127.0.0.1:8000"
TEXT = "TEXT"
NUMBER = "NUMBER"


def check_address(text: str) -> str:
    """Returns a valid address unchanged.

    Raises:
      typer.BadParameter: the text is not IP:port.
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

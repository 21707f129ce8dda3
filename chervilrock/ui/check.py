"""The command `check`: validates a configuration file."""

from collections.abc import Sequence
import os
import pathlib
from typing import Annotated, TYPE_CHECKING, TypeVar

import typer

from chervilrock.ui.codes import ExitCode
from chervilrock.ui.options import JsonOption

if TYPE_CHECKING:
    from chervilrock.configuration.findings import Finding

T = TypeVar("T")


class InputError(Exception):
    """A file cannot be read; the message names the file and the reason."""


def check(
    file: Annotated[
        pathlib.Path, typer.Argument(metavar="FILE", help="YAML file.")
    ],
    hosts: Annotated[
        pathlib.Path | None,
        typer.Option(
            metavar="FILE", help="JSON host list to check the capacity with."
        ),
    ] = None,
    weights: Annotated[
        pathlib.Path | None,
        typer.Option(
            metavar="FILE", help="JSON catalogue of the weight store."
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    r"""Check a configuration file and print every fault with its place.

    \b
    Examples:
      chervilrock check installation.yaml
      chervilrock check installation.yaml --hosts hosts.json --json
    """
    try:
        findings = check_file(file, hosts, weights)
    except InputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from None
    print_findings(findings, as_json)
    raise typer.Exit(ExitCode.FINDINGS if findings else ExitCode.DONE)


def check_file(
    file: pathlib.Path,
    hosts: pathlib.Path | None,
    weights: pathlib.Path | None,
) -> "tuple[Finding, ...]":
    """Return all findings about a file.

    Raises:
      InputError: one of the files cannot be read.
    """
    from chervilrock.configuration.check import check as check_text
    from chervilrock.configuration.source import MAX_BYTES
    from chervilrock.generated.configuration import WeightCatalogue
    from chervilrock.generated.interfaces import HostList

    _, findings = check_text(
        read_bytes(file, MAX_BYTES + 1),
        render_name(file),
        hosts=read_json(hosts, HostList) if hosts else None,
        weights=read_json(weights, WeightCatalogue) if weights else None,
    )
    return findings


def read_bytes(file: pathlib.Path, limit: int = -1) -> bytes:
    """Return the content of a file, up to a limit in bytes.

    Raises:
      InputError: the file cannot be read.
    """
    try:
        with file.open("rb") as stream:
            return stream.read(limit)
    except OSError as error:
        reason = error.strerror or "cannot be read"
        raise InputError(f"{render_name(file)}: {reason}") from error


def read_json(file: pathlib.Path, kind: type[T]) -> T:
    """Return the decoded value of a JSON file.

    Raises:
      InputError: the file cannot be read or does not match the type.
    """
    from chervilrock.decisions.decoding import Decoder, UnreadableError

    try:
        return Decoder(kind).decode(read_bytes(file))
    except UnreadableError as error:
        raise InputError(f"{render_name(file)}: {error}") from error


def render_name(file: pathlib.Path) -> str:
    """Return a printable file name, with undecodable bytes escaped."""
    return os.fsencode(file).decode("utf-8", "backslashreplace")


def print_findings(findings: "Sequence[Finding]", as_json: bool) -> None:
    """Print findings, one per line or all as one JSON list."""
    if as_json:
        from chervilrock.ui.output import print_json

        print_json([finding._asdict() for finding in findings])
        return
    for finding in findings:
        typer.echo(finding.render())

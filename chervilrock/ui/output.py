"""Prints results to standard output and errors to standard error.

With `--json` a result is one JSON document that scripts can parse.
"""

from collections.abc import Iterable
import sys

import msgspec

from chervilrock.configuration.findings import Finding

INDENT = 2


def print_result(text: str) -> None:
    """Prints a result as text."""
    print(text)


def print_json(value: object) -> None:
    """Prints a result as indented JSON."""
    encoded = msgspec.json.encode(value)
    print(msgspec.json.format(encoded, indent=INDENT).decode())


def print_error(text: str) -> None:
    """Prints an error message to standard error."""
    print(text, file=sys.stderr)


def print_findings(findings: Iterable[Finding]) -> None:
    """Prints one finding per line to standard error."""
    for finding in findings:
        print_error(finding.render())

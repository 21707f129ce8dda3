"""What commands print: results to standard output, errors to standard error.

With `--json` a result is one JSON document, so that scripts can read it.
"""

from collections.abc import Iterable
import sys

import msgspec

from chervilrock.configuration.findings import Finding

INDENT = 2


def print_result(text: str) -> None:
    """Prints a result for people."""
    print(text)


def print_json(value: object) -> None:
    """Prints a result for scripts."""
    encoded = msgspec.json.encode(value)
    print(msgspec.json.format(encoded, indent=INDENT).decode())


def print_error(text: str) -> None:
    """Prints what went wrong."""
    print(text, file=sys.stderr)


def print_findings(findings: Iterable[Finding]) -> None:
    """Prints each finding in a line of its own."""
    for finding in findings:
        print_error(finding.render())

"""Checks of configurations that reach a node.

The command line has checked the file with all places. A node checks the types
once more, since a request may come from elsewhere, and without the libraries
that the full check needs.
"""

from typing import Any

import msgspec

from chervilrock.generated.configuration import Configuration
from chervilrock.generated.operators import ApplyFinding


def check_document(
    document: Any,
) -> tuple[Configuration | None, tuple[ApplyFinding, ...]]:
    """Return the typed configuration, or what is wrong with it."""
    try:
        return msgspec.convert(document, Configuration), ()
    except (msgspec.ValidationError, RecursionError) as error:
        finding = ApplyFinding(code="wrong-type", message=str(error), hint="")
        return None, (finding,)

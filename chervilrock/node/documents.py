"""Validation of configurations that a node receives.

The command line validates the file first and reports the line of each finding.
A node validates the document again, since a request may come from another
client and an accepted configuration is in force on all nodes.
"""

from typing import Any

import msgspec

from chervilrock.generated.configuration import Configuration
from chervilrock.generated.operators import ApplyFinding

DOCUMENT_NAME = "document"


def check_document(
    document: Any,
) -> tuple[Configuration | None, tuple[ApplyFinding, ...]]:
    """Return the validated configuration, or None and the findings."""
    # Imported here since the check loads libraries that an idle node does
    # not need.
    from chervilrock.configuration.check import check_decoded

    checked, findings = check_decoded(
        msgspec.to_builtins(document), DOCUMENT_NAME
    )
    if checked is not None:
        return checked, ()
    return None, tuple(
        ApplyFinding(
            code=finding.code, message=finding.message, hint=finding.hint
        )
        for finding in findings
    )

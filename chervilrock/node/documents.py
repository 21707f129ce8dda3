"""Checks of configurations that reach a node.

The command line has checked the file with all places. A node checks the
document once more, since a request may come from elsewhere and an accepted
configuration is in force everywhere.
"""

from typing import Any

import msgspec

from chervilrock.generated.configuration import Configuration
from chervilrock.generated.operators import ApplyFinding

NAME = "document"


def check_document(
    document: Any,
) -> tuple[Configuration | None, tuple[ApplyFinding, ...]]:
    """Return the checked configuration, or what is wrong with it."""
    # The check needs libraries that an idle node does without.
    from chervilrock.configuration.check import check_decoded

    checked, findings = check_decoded(msgspec.to_builtins(document), NAME)
    if checked is not None:
        return checked, ()
    return None, tuple(
        ApplyFinding(
            code=finding.code, message=finding.message, hint=finding.hint
        )
        for finding in findings
    )

"""Digest that is equal for equal configurations."""

import hashlib
import json

from chervilrock.generated.configuration import Configuration


def digest(configuration: Configuration) -> str:
    """Return the hexadecimal SHA-256 digest of the canonical JSON.

    Canonical JSON has sorted keys, no spaces and only ASCII characters.
    """
    text = json.dumps(
        configuration,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=True,
        allow_nan=False,
    )
    return hashlib.sha256(text.encode("ascii")).hexdigest()

"""Identifies the features of a request that may make it crash servers.

Requests that have nothing else in common may share a feature. Each feature is
identified by a text that begins with the workspace, so that what one customer
claims of its requests never affects those of another.
"""

from collections.abc import Iterable

import xxhash

MAX_SHOWN_CHARACTERS = 64
"""Characters of a workspace's name in an identifier, which has to be short."""

MAX_PASSED_FEATURES = 8192
"""Features that a node remembers to have passed, those that passed last."""

PASSED_TTL_S = 600.0
"""Time for which a node remembers that a feature has passed."""

MIN_PASSED_FEATURES = 16
"""Features that must have passed at a node before it can tell a common feature
from a new one."""

_PART = "part:"
_HASHED_CHARACTERS = 17
"""Characters of the hash of a long name and of the mark before it."""


def identify_parts(
    workspace: str, prompt_parts: Iterable[str]
) -> tuple[str, ...]:
    """Return the identifiers of the parts of a prompt.

    Args:
      workspace: customer, empty when none is known.
      prompt_parts: parts that other requests of the customer may share.
    """
    prefix = _shorten(workspace)
    return tuple(f"{prefix}/{_PART}{part}" for part in prompt_parts)


def is_shared(feature: str) -> bool:
    """Return whether requests with different contents may have a feature."""
    return feature.rpartition("/")[2].startswith(_PART)


def _shorten(workspace: str) -> str:
    if len(workspace) <= MAX_SHOWN_CHARACTERS:
        return workspace
    shown = workspace[: MAX_SHOWN_CHARACTERS - _HASHED_CHARACTERS]
    return f"{shown}~{xxhash.xxh3_64_hexdigest(workspace.encode())}"


class PassedFeatures:
    """Features of requests that have run normally at one node."""

    def __init__(self) -> None:
        """Create a memory without features."""
        self._passed_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._passed_at)

    @property
    def is_reliable(self) -> bool:
        """Whether common features are likely to be remembered."""
        return len(self._passed_at) >= MIN_PASSED_FEATURES

    def record(self, features: Iterable[str], now: float) -> None:
        """Record the features of a request that ran normally."""
        for feature in features:
            # Removed and inserted again to keep the order of the last passes.
            self._passed_at.pop(feature, None)
            self._passed_at[feature] = now
        while len(self._passed_at) > MAX_PASSED_FEATURES:
            del self._passed_at[next(iter(self._passed_at))]

    def has_passed(self, feature: str, now: float) -> bool:
        """Return whether a request with a feature has run normally lately."""
        passed_at = self._passed_at.get(feature)
        return passed_at is not None and now - passed_at <= PASSED_TTL_S

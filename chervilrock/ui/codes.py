"""Exit codes of the commands; `docs/OPERATIONS.md` lists them."""

import enum


class ExitCode(enum.IntEnum):
    """What an exit code tells."""

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    LOST = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5

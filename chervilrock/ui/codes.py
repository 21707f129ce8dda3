"""Exit codes of the commands, as listed in the operations manual."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    LOST = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5

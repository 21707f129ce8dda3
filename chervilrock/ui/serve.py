"""The command `serve`: runs an entry node.

Its arguments are parsed without typer, which would stay in memory for as long
as the process serves.
"""

import asyncio
from collections.abc import Iterable, Mapping, Sequence

from returns.result import Failure

from chervilrock import events
from chervilrock.configuration.findings import Finding
from chervilrock.configuration.settings import name_variable, read_settings
from chervilrock.events import Event, LogFormat
from chervilrock.generated.settings import NodeSettings
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.flags import parse_flags, UsageError
from chervilrock.ui.output import print_error, print_result

HELP_FLAG = "--help"


def serve(arguments: Sequence[str], environment: Mapping[str, str]) -> int:
    """Runs an entry node until the process is stopped.

    Args:
      arguments: arguments after `serve`
      environment: all environment variables

    Returns:
      The exit code.
    """
    if HELP_FLAG in arguments:
        from chervilrock.ui.settings_help import render_help

        print_result(render_help())
        return ExitCode.DONE
    try:
        flags = parse_flags(arguments)
    except UsageError as error:
        print_error(f"Usage: chervilrock serve [--NAME VALUE]...\n{error}")
        print_error("Try 'chervilrock serve --help' for help.")
        return ExitCode.USAGE
    result = read_settings(flags, environment)
    if isinstance(result, Failure):
        events.configure_logging(choose_format(flags, environment))
        report_findings(result.failure())
        return ExitCode.FINDINGS
    return run_node(result.unwrap())


def run_node(settings: NodeSettings) -> int:
    """Runs a node with validated settings and returns its exit code."""
    from chervilrock import node

    events.configure_logging(settings.log_format, settings.log_level)
    return asyncio.run(node.run(settings))


def report_findings(findings: Iterable[Finding]) -> None:
    """Logs every finding about the settings."""
    for finding in findings:
        hint = f" ({finding.hint})" if finding.hint else ""
        reason = f"{finding.code}: {finding.message}{hint}"
        events.emit(Event.SETTING_REFUSED, setting=finding.file, reason=reason)


def choose_format(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> LogFormat:
    """Returns the log format for findings, even if settings are invalid."""
    variable = environment.get(name_variable("log_format"), "")
    given = flags.get("log_format", variable)
    return LogFormat.JSON if given == LogFormat.JSON else LogFormat.TEXT

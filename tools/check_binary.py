"""Check how the single-file program behaves as a process.

Runs the program with an empty temporary directory as the only writable one:
HOME and the current directory are /proc, where even root cannot create files.
The program must print its version and its help, and a long-running command
must stay a single process until SIGTERM ends it.
"""

from collections.abc import Iterator, Mapping
import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Annotated

import typer

UNWRITABLE = "/proc"
LONG_COMMAND = ["stand-in", "platform", "--listen", "127.0.0.1:0"]
SHORT_COMMANDS = (["--version"], ["serve", "--help"])
TIMEOUT_SECONDS = 30.0
WATCH_SECONDS = 3.0
POLL_SECONDS = 0.02
# Fields of /proc/PID/stat after the command name.
STATE_FIELD = 0
SESSION_FIELD = 3


class CheckError(Exception):
    """The program does not behave as required."""


class Program:
    """The program under test, which can write to one directory only."""

    def __init__(self, *, binary: pathlib.Path, folder: pathlib.Path) -> None:
        self._folder = folder
        # -I and -S keep the packages of this environment off its path.
        self._prefix = [
            str(pathlib.Path(sys.executable).resolve()),
            "-I",
            "-S",
            str(binary.resolve()),
        ]

    def run(self, arguments: list[str]) -> str:
        """Run a command to completion and return its output.

        Raises:
            CheckError: The command failed or printed nothing.
        """
        completed = subprocess.run(
            self._prefix + arguments,
            capture_output=True,
            cwd=UNWRITABLE,
            env=self._make_environment(),
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
        if completed.returncode != 0 or not completed.stdout.strip():
            raise CheckError(
                f"{arguments} exited {completed.returncode}: {completed.stderr}"
            )
        return completed.stdout

    @contextlib.contextmanager
    def start(self, arguments: list[str]) -> Iterator[subprocess.Popen[bytes]]:
        """Start a command in a new session and kill it on exit."""
        process = subprocess.Popen(
            self._prefix + arguments,
            cwd=UNWRITABLE,
            env=self._make_environment(),
            start_new_session=True,
            stdin=subprocess.DEVNULL,
            stdout=sys.stderr,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()

    def _make_environment(self) -> Mapping[str, str]:
        folder = str(self._folder)
        return {
            "HOME": UNWRITABLE,
            "PATH": "",
            "SHIV_ROOT": folder,
            "TMPDIR": folder,
        }


def find_session(session: int) -> set[int]:
    """Return the IDs of the live processes in a session."""
    return {
        int(folder.name)
        for folder in pathlib.Path("/proc").iterdir()
        if folder.name.isdigit() and _is_member(folder, session)
    }


def _is_member(folder: pathlib.Path, session: int) -> bool:
    try:
        stat = (folder / "stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return False
    fields = stat.rpartition(")")[2].split()
    return fields[STATE_FIELD] != "Z" and int(fields[SESSION_FIELD]) == session


def watch(process: subprocess.Popen[bytes]) -> None:
    """Check for `WATCH_SECONDS` that a command stays a single process.

    Raises:
        CheckError: It exited or started another process.
    """
    end = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < end:
        members = find_session(process.pid)
        if process.poll() is not None:
            raise CheckError(f"ended by itself, exit {process.returncode}")
        if members != {process.pid}:
            raise CheckError(f"{len(members)} processes: {sorted(members)}")
        time.sleep(POLL_SECONDS)


def stop(process: subprocess.Popen[bytes]) -> None:
    """Stop a command by SIGTERM.

    Raises:
        CheckError: It does not exit with code 0.
    """
    process.send_signal(signal.SIGTERM)
    code = process.wait(timeout=TIMEOUT_SECONDS)
    if code != 0:
        raise CheckError(f"SIGTERM: exit {code} instead of 0")


def check(program: Program, long_command: list[str]) -> None:
    """Run all checks of a program.

    Raises:
        CheckError: One of the checks failed.
    """
    for command in SHORT_COMMANDS:
        lines = program.run(command).strip().splitlines()
        typer.echo(f"ok: {' '.join(command)}: {len(lines)} lines")
    with program.start(long_command) as process:
        watch(process)
        typer.echo(f"ok: one process for {WATCH_SECONDS} s")
        stop(process)
        typer.echo("ok: SIGTERM: exit 0")


def main(
    binary: Annotated[pathlib.Path, typer.Argument(exists=True)],
    long_command: Annotated[
        list[str] | None,
        typer.Argument(help="A command that goes on running; after --."),
    ] = None,
) -> None:
    """Check how the one-file program behaves as a process."""
    with tempfile.TemporaryDirectory() as folder:
        program = Program(binary=binary, folder=pathlib.Path(folder))
        try:
            check(program, long_command or LONG_COMMAND)
        except (CheckError, subprocess.TimeoutExpired) as error:
            typer.echo(f"failed: {error}", err=True)
            raise typer.Exit(1) from error


if __name__ == "__main__":
    typer.run(main)

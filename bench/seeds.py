"""Plays the seeds of a soak test one after the other."""

import argparse
import asyncio
from collections.abc import Callable, Coroutine, Iterator
import contextlib
import pathlib
import tempfile
from typing import Any, TypeVar

OutcomeT = TypeVar("OutcomeT")


def make_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser of the arguments that all soak tests have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--logs", type=pathlib.Path)
    return parser


@contextlib.contextmanager
def open_folder(logs: pathlib.Path | None, seed: int) -> Iterator[pathlib.Path]:
    """Yield a folder for the files of a seed, a temporary one without logs."""
    if logs is None:
        with tempfile.TemporaryDirectory() as temporary:
            yield pathlib.Path(temporary)
        return
    folder = logs / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    yield folder


def play_seeds(
    arguments: argparse.Namespace,
    play: Callable[[int, pathlib.Path], Coroutine[Any, Any, OutcomeT]],
    is_broken: Callable[[OutcomeT], bool],
) -> int:
    """Play seeds and print their outcomes; return 1 if any of them is broken.

    Args:
      arguments: arguments of the parser.
      play: plays a seed, with a folder for its files.
      is_broken: whether an outcome breaks a guarantee.
    """
    broken = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        with open_folder(arguments.logs, seed) as folder:
            outcome = asyncio.run(play(seed, folder))
        broken += is_broken(outcome)
        result = "BROKEN" if is_broken(outcome) else "held"
        print(seed, result, outcome, flush=True)
    return 1 if broken else 0

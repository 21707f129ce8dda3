"""Plays the seeds of a soak test one after the other."""

import argparse
import asyncio
from collections.abc import Callable, Coroutine, Iterator
import contextlib
import pathlib
import tempfile
from typing import Any, Protocol, TypeVar

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


class Checked(Protocol):
    """An outcome of a seed with the guarantees that it has broken."""

    @property
    def violations(self) -> tuple[str, ...]:
        """Broken guarantees."""


class Restarts(Protocol):
    """Plays a seed of a soak test that restarts nodes."""

    def __call__(
        self, seed: int, folder: pathlib.Path, *, rounds: int, nodes: int
    ) -> Coroutine[Any, Any, Checked]:
        """Play a seed, with a folder for its files."""


def play_restarts(
    description: str | None,
    play: Restarts,
    *,
    rounds: int,
    nodes: int,
) -> int:
    """Play a soak test by its arguments; return 1 if any seed is broken.

    Args:
      description: what the test does.
      play: plays a seed.
      rounds: usual number of times that the nodes are restarted.
      nodes: usual number of nodes.
    """
    parser = make_parser(description)
    parser.add_argument("--rounds", type=int, default=rounds)
    parser.add_argument("--nodes", type=int, default=nodes)
    arguments = parser.parse_args()
    return play_seeds(
        arguments,
        lambda seed, folder: play(
            seed, folder, rounds=arguments.rounds, nodes=arguments.nodes
        ),
        lambda outcome: bool(outcome.violations),
    )

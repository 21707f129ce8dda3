"""Runs the benches and prints one JSON line for each result.

A bench is a module of this package that defines
`run(*, quick: bool) -> Iterable[dict[str, object]]`. Its docstring describes
the method. Modules without `run` are helpers of the benches.
"""

from collections.abc import Callable, Iterable, Iterator
import importlib
import json
import pkgutil
from types import ModuleType
from typing import Annotated, NamedTuple

import typer

import bench

Run = Callable[..., Iterable[dict[str, object]]]


class Bench(NamedTuple):
    """A bench and its name on the command line."""

    name: str
    run: Run


def find_benches() -> dict[str, Bench]:
    """Returns the benches of this package by name."""
    names = sorted(
        module.name
        for module in pkgutil.iter_modules(bench.__path__)
        if module.name != "__main__"
    )
    modules = {name: importlib.import_module(f"bench.{name}") for name in names}
    return {
        name: Bench(name, module.run)
        for name, module in modules.items()
        if _is_bench(module)
    }


def _is_bench(module: ModuleType) -> bool:
    return callable(getattr(module, "run", None))


def select(benches: dict[str, Bench], names: list[str]) -> list[Bench]:
    """Returns the benches with these names, or all if no name is given.

    Raises:
        typer.BadParameter: A name is not that of a bench.
    """
    unknown = sorted(set(names) - set(benches))
    if unknown:
        raise typer.BadParameter(
            f"no bench named {', '.join(unknown)}; there are: "
            f"{', '.join(benches)}"
        )
    return [benches[name] for name in names or benches]


def format_results(selected: Bench, *, quick: bool) -> Iterator[str]:
    """Runs a bench and yields each result as a line of JSON."""
    for result in selected.run(quick=quick):
        yield json.dumps({"bench": selected.name, **result})


def main(
    names: Annotated[
        list[str] | None, typer.Argument(help="Benches to run; default: all.")
    ] = None,
    quick: Annotated[
        bool, typer.Option("--quick", help="Run smaller sizes.")
    ] = False,
) -> None:
    """Run the benches and print one JSON line for each result."""
    for selected in select(find_benches(), names or []):
        for line in format_results(selected, quick=quick):
            typer.echo(line)


if __name__ == "__main__":
    typer.run(main)

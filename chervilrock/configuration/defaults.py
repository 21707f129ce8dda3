"""Fills in schema defaults, so that every key is present."""

from collections.abc import Mapping
import enum
from typing import Any, cast, NamedTuple

from chervilrock.configuration.places import Path
from chervilrock.configuration.schema import load_schema, resolve_schema
from chervilrock.generated.configuration import Configuration


class Absent(enum.Enum):
    """Sentinel type for a value that is missing or unusable."""

    ABSENT = enum.auto()


ABSENT = Absent.ABSENT


class Partial(NamedTuple):
    """A configuration without its faulty parts.

    Attributes:
      configuration: the usable values; faulty list items are left out
      origins: path in the document of each remaining list item, by its path
        in the configuration
    """

    configuration: Configuration
    origins: Mapping[Path, Path]


def fill_defaults(value: Mapping[str, Any]) -> Configuration:
    """Return a valid configuration with all defaults filled in.

    Converts lists to tuples and all values of type number to floats.

    Args:
      value: a document that conforms to the schema
    """
    return fill_partial(value, frozenset()).configuration


def fill_partial(value: object, bad: frozenset[Path]) -> Partial:
    """Return the usable parts of a document, with defaults filled in.

    Args:
      value: the document, which may have any type
      bad: paths of its faulty values
    """
    filler = Filler(bad=bad)
    root = load_schema()["$defs"]["Configuration"]
    given = value if isinstance(value, dict) else {}
    filled: dict[str, Any] = {"name": "", "data_centres": (), "models": ()}
    for key, node in root["properties"].items():
        item = filler.fill_key(node, given, key, ())
        if item is not ABSENT:
            filled[key] = item
    return Partial(cast(Configuration, filled), filler.origins)


class Filler:
    """Fills in defaults by walking a document and the schema together."""

    def __init__(self, *, bad: frozenset[Path]) -> None:
        """Create a filler without any origins.

        Args:
          bad: paths of the values to leave out
        """
        self.bad = bad
        self.origins: dict[Path, Path] = {}

    def fill_key(
        self, node: dict[str, Any], given: dict[str, Any], key: str, path: Path
    ) -> Any:
        """Return the value of one key, its default, or `ABSENT`."""
        if key in given:
            value = self.fill_value(node, given[key], (*path, key))
            if value is not ABSENT:
                return value
        if "default" not in node:
            return ABSENT
        return Filler(bad=frozenset()).fill_value(node, node["default"], ())

    def fill_value(self, node: dict[str, Any], value: Any, path: Path) -> Any:
        """Return a value with nested defaults filled in, or `ABSENT`."""
        if path in self.bad:
            return ABSENT
        node = resolve_schema(node)
        if node["type"] == "object":
            return self.fill_object(node, value, path)
        if node["type"] == "array":
            return self.fill_list(node, value, path)
        if node["type"] == "number":
            return float(value) + 0.0
        return value

    def fill_object(
        self, node: dict[str, Any], value: dict[str, Any], path: Path
    ) -> Any:
        """Return a mapping with every key, or `ABSENT` if one is missing."""
        filled = {}
        for key, child in node["properties"].items():
            filled[key] = self.fill_key(child, value, key, path)
        return ABSENT if ABSENT in filled.values() else filled

    def fill_list(self, node: dict[str, Any], value: Any, path: Path) -> Any:
        """Return the usable items of a list as a tuple."""
        filled: list[Any] = []
        for index, item in enumerate(value):
            origin = (*path, index)
            usable = self.fill_value(node["items"], item, origin)
            if usable is not ABSENT:
                self.origins[(*path, len(filled))] = origin
                filled.append(usable)
        return tuple(filled)

"""Locations of the values of a document, by path."""

import re
from typing import NamedTuple

from chervilrock.configuration.findings import quote_value

PLAIN_KEY = re.compile("[A-Za-z0-9_-]{1,60}")
Path = tuple[str | int, ...]


class Place(NamedTuple):
    """The location of a value or key in a file.

    Attributes:
      line: line number from 1
      column: column in characters from 1
      text: the scalar as written; empty for a list or a mapping
    """

    line: int
    column: int
    text: str = ""


class Document(NamedTuple):
    """A document as plain data, with the location of every value.

    Attributes:
      value: dicts, lists and scalars; `OddScalar` for scalars that YAML 1.1
        reads in a surprising way
      places: location of each value by its path
      keys: location of each key by the path of its value
      bad: paths that already have a finding; their values are meaningless
    """

    value: object
    places: dict[Path, Place]
    keys: dict[Path, Place]
    bad: frozenset[Path]


def find_place(document: Document, path: Path) -> Place:
    """Return the location of a value, or of its nearest known ancestor."""
    while path and path not in document.places:
        path = path[:-1]
    return document.places.get(path, Place(1, 1))


def find_key_place(document: Document, path: Path) -> Place:
    """Return the location of the key of a value, or else of the value."""
    return document.keys.get(path) or find_place(document, path)


def render_path(path: Path) -> str:
    """Return a path in operator notation, such as `models[0].name`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        elif PLAIN_KEY.fullmatch(step):
            text += f".{step}"
        else:
            text += f"[{quote_value(step)}]"
    return text.lstrip(".")

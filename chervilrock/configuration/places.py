"""Places of the values of a document, by their path."""

import re
from typing import NamedTuple

from chervilrock.configuration.findings import quote_value

PLAIN_KEY = re.compile("[A-Za-z0-9_-]{1,60}")
Path = tuple[str | int, ...]


class Place(NamedTuple):
    """Where something stands in a file.

    Attributes:
      line: line from 1
      column: column in characters from 1
      text: the scalar as it is written, empty for a list or a mapping
    """

    line: int
    column: int
    text: str = ""


class Document(NamedTuple):
    """A document as plain data, with the place of every value.

    Attributes:
      value: dicts, lists and scalars; `OddScalar` where YAML 1.1 misleads
      places: place of each value by its path
      keys: place of each key by the path of its value
      bad: paths that have a finding already, whose value means nothing
    """

    value: object
    places: dict[Path, Place]
    keys: dict[Path, Place]
    bad: frozenset[Path]


def find_place(document: Document, path: Path) -> Place:
    """Return the place of a value, or of the nearest value around it."""
    while path and path not in document.places:
        path = path[:-1]
    return document.places.get(path, Place(1, 1))


def find_key_place(document: Document, path: Path) -> Place:
    """Return the place of the key of a value, or else of the value."""
    return document.keys.get(path) or find_place(document, path)


def render_path(path: Path) -> str:
    """Return a path as operators write it, such as `models[0].name`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        elif PLAIN_KEY.fullmatch(step):
            text += f".{step}"
        else:
            text += f"[{quote_value(step)}]"
    return text.lstrip(".")

"""The JSON Schema of configuration files, as the package carries it."""

import functools
import importlib.resources
from typing import Any

import yaml

ROOT = "#/$defs/Configuration"


@functools.cache
def load_schema() -> dict[str, Any]:
    """Return the schema whose root is the definition `Configuration`."""
    folder = importlib.resources.files("chervilrock") / "schema"
    text = (folder / "configuration.yaml").read_text(encoding="utf-8")
    schema: dict[str, Any] = yaml.safe_load(text)
    return {**schema, "$ref": ROOT}


def resolve_schema(node: dict[str, Any]) -> dict[str, Any]:
    """Return a schema node, or the definition that it refers to."""
    if "$ref" not in node:
        return node
    name = str(node["$ref"]).rpartition("/")[2]
    definition: dict[str, Any] = load_schema()["$defs"][name]
    return definition

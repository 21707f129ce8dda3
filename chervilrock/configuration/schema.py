"""Loads the JSON Schema of configuration files from the package."""

import functools
import importlib.resources
from typing import Any

import yaml

ROOT = "#/$defs/Configuration"


@functools.cache
def load_schema() -> dict[str, Any]:
    """Return the schema with the definition `Configuration` as its root."""
    folder = importlib.resources.files("chervilrock") / "schema"
    text = (folder / "configuration.yaml").read_text(encoding="utf-8")
    schema: dict[str, Any] = yaml.safe_load(text)
    return {**schema, "$ref": ROOT}


def resolve_schema(node: dict[str, Any]) -> dict[str, Any]:
    """Return a schema node with its reference, if any, resolved."""
    if "$ref" not in node:
        return node
    name = str(node["$ref"]).rpartition("/")[2]
    definition: dict[str, Any] = load_schema()["$defs"][name]
    return definition

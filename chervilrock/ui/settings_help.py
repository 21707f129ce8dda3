"""The help of `serve`, generated from the schema of the settings."""

import importlib.resources
import textwrap
from typing import Any

import yaml

from chervilrock.configuration.settings import name_flag, name_variable
from chervilrock.generated.settings import NodeSettings

WIDTH = 80
INDENT = " " * 6
TYPE_NAMES = {str: "TEXT", int: "INTEGER", float: "NUMBER"}
INTRODUCTION = """\
Usage: chervilrock serve [--NAME VALUE]...

Runs an entry node until it gets SIGTERM or SIGINT, and then stops without
cutting off a request. Log lines go to standard error.

Each setting is a flag or a variable of the environment; the flag goes first.
All wrong settings are reported together, with exit code 1.

Example, with a log service on the same machine:

  chervilrock serve --node a --listen 127.0.0.1:8000 --region r1 \\
      --data-centre dc1 --log-service 127.0.0.1:7000

Settings:
"""


def render_help() -> str:
    """Returns the help text of the command."""
    folder = importlib.resources.files("chervilrock") / "schema"
    text = (folder / "settings.yaml").read_text(encoding="utf-8")
    schema = yaml.safe_load(text)["$defs"]["NodeSettings"]["properties"]
    entries = [
        render_setting(name, schema[name]) for name in NodeSettings._fields
    ]
    return INTRODUCTION + "\n" + "\n".join(entries)


def render_setting(name: str, schema: dict[str, Any]) -> str:
    """Returns the help lines of one setting."""
    type_name = TYPE_NAMES[NodeSettings.__annotations__[name]]
    choices = schema.get("enum")
    value = "|".join(choices) if choices else type_name
    notes = [name_variable(name)]
    if "minimum" in schema:
        notes.append(f"{schema['minimum']} to {schema['maximum']}")
    default = NodeSettings._field_defaults.get(name)
    if default is None:
        notes.append("required")
    elif default != "":
        notes.append(f"default {default}")
    text = f"{schema['description']} [{'; '.join(notes)}]"
    body = textwrap.fill(
        text, WIDTH, initial_indent=INDENT, subsequent_indent=INDENT
    )
    return f"  {name_flag(name)} {value}\n{body}"

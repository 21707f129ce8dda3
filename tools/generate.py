"""Generate typed modules from the schemas.

Reads every `chervilrock/schema/*.yaml` (JSON Schema written as YAML) and
writes `chervilrock/generated/<name>.py`. A definition becomes

* an enumeration of strings, when it has `enum`,
* a `NamedTuple`, when its `x-python` is `NamedTuple` (the default),
* a `TypedDict`, when its `x-python` is `TypedDict`.

The generated modules are committed, so a build needs no generator.
`--check` only compares and exits 1 when a module is out of date.
"""

import argparse
import pathlib
import sys
import textwrap
from typing import Any

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / "chervilrock" / "schema"
GENERATED = ROOT / "chervilrock" / "generated"
WIDTH = 80
SCALARS = {
    "string": "str",
    "integer": "int",
    "number": "float",
    "boolean": "bool",
    "null": "None",
}


def main() -> int:
    """Write or compare every generated module; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    check = parser.parse_args().check
    stale = 0
    for source in sorted(SCHEMAS.glob("*.yaml")):
        schema = yaml.safe_load(source.read_text(encoding="utf-8"))
        text = render_module(schema, source.name)
        target = GENERATED / f"{source.stem}.py"
        if check:
            if not target.exists() or target.read_text() != text:
                print(f"{target.relative_to(ROOT)} is out of date")
                stale += 1
        else:
            target.write_text(text, encoding="utf-8")
    return 1 if stale else 0


def render_module(schema: dict[str, Any], source: str) -> str:
    """Return the text of the module for one schema."""
    definitions = order_definitions(schema["$defs"])
    bodies = [render_definition(name, body) for name, body in definitions]
    text = "\n\n".join(bodies)
    used = [
        name
        for name in ("Any", "Literal", "NamedTuple", "NotRequired", "TypedDict")
        if name in text.replace("(NamedTuple)", " NamedTuple ")
    ]
    lines = [f'"""{schema["title"]}.', "", f"Generated from {source}.", '"""']
    lines.append("")
    if "(enum.StrEnum)" in text:
        lines += ["import enum"]
    if used:
        lines += [f"from typing import {', '.join(used)}"]
    return "\n".join(lines) + "\n\n\n" + text.strip() + "\n"


def order_definitions(
    definitions: dict[str, Any],
) -> list[tuple[str, dict[str, Any]]]:
    """Order definitions so that each one follows those it refers to."""
    ordered: list[tuple[str, dict[str, Any]]] = []
    seen: set[str] = set()

    def visit(name: str) -> None:
        if name in seen:
            return
        seen.add(name)
        for reference in sorted(find_references(definitions[name])):
            visit(reference)
        ordered.append((name, definitions[name]))

    for name in definitions:
        visit(name)
    return ordered


def find_references(node: Any) -> set[str]:
    """Return the names of the definitions that a schema node refers to."""
    if isinstance(node, dict):
        found = {node["$ref"].rpartition("/")[2]} if "$ref" in node else set()
        return found.union(*[find_references(v) for v in node.values()])
    if isinstance(node, list):
        return set().union(*[find_references(v) for v in node])
    return set()


def render_definition(name: str, body: dict[str, Any]) -> str:
    """Return the class for one definition."""
    if "enum" in body:
        return render_enumeration(name, body)
    kind = body.get("x-python", "NamedTuple")
    lines = [f"class {name}({kind}):", *render_docstring(body, 4), ""]
    required = set(body.get("required", ()))
    properties = body.get("properties", {})
    required_keys = [key for key in properties if key in required]
    optional_keys = [key for key in properties if key not in required]
    for key in required_keys + optional_keys:
        lines.append(render_field(key, properties[key], key in required, kind))
    if not properties:
        lines.append("    pass")
    return "\n".join(lines) + "\n"


def render_enumeration(name: str, body: dict[str, Any]) -> str:
    """Return a string enumeration."""
    lines = [f"class {name}(enum.StrEnum):", *render_docstring(body, 4), ""]
    for value in body["enum"]:
        member = value.upper().replace("-", "_").replace(".", "_")
        lines.append(f'    {member} = "{value}"')
    return "\n".join(lines) + "\n"


def render_docstring(body: dict[str, Any], indent: int) -> list[str]:
    """Return the docstring lines: description, then a line a field."""
    pad = " " * indent
    description = " ".join(body["description"].split())
    summary = textwrap.wrap(
        f'"""{description}', WIDTH, initial_indent=pad, subsequent_indent=pad
    )
    fields: list[str] = []
    for key, value in body.get("properties", {}).items():
        if "description" not in value:
            continue
        fields += textwrap.wrap(
            f"{key}: {' '.join(value['description'].split())}",
            WIDTH,
            initial_indent=pad + "  ",
            subsequent_indent=pad + "    ",
        )
    if not fields:
        summary[-1] += '"""'
        return summary
    return [*summary, "", pad + "Attributes:", *fields, pad + '"""']


def render_field(
    key: str, value: dict[str, Any], required: bool, kind: str
) -> str:
    """Return one field with its type and default."""
    annotation = render_type(value)
    if kind == "TypedDict":
        if not required:
            annotation = f"NotRequired[{annotation}]"
        return f"    {key}: {annotation}"
    if required:
        return f"    {key}: {annotation}"
    return f"    {key}: {annotation} = {render_default(value)}"


def render_default(value: dict[str, Any]) -> str:
    """Return the default of an optional field."""
    default = value.get("default")
    if isinstance(default, list):
        return "()"
    if isinstance(default, str):
        return f'"{default}"'
    return repr(default)


def render_type(value: dict[str, Any]) -> str:
    """Return the annotation of a schema node."""
    if "$ref" in value:
        return str(value["$ref"].rpartition("/")[2])
    if "oneOf" in value:
        return " | ".join(render_type(option) for option in value["oneOf"])
    kind = value.get("type")
    if isinstance(kind, list):
        return " | ".join(SCALARS[item] for item in kind)
    if kind == "array":
        if value.get("x-python") == "list":
            return f"list[{render_type(value['items'])}]"
        if "prefixItems" in value:
            items = ", ".join(render_type(v) for v in value["prefixItems"])
            return f"tuple[{items}]"
        return f"tuple[{render_type(value['items'])}, ...]"
    if kind == "object":
        item = value.get("additionalProperties", {})
        inner = render_type(item) if isinstance(item, dict) and item else "Any"
        return f"dict[str, {inner}]"
    if kind is None:
        return "Any"
    return SCALARS[kind]


if __name__ == "__main__":
    sys.exit(main())

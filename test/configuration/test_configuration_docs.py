"""docs/configuration.md agrees with the code and the schemas."""

import json
import pathlib
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals
import yaml

from chervilrock.configuration import events, schema_check, source
from chervilrock.configuration.check import check
from chervilrock.configuration.findings import FindingCode

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "configuration.md").read_text(encoding="utf-8")
CODE_ROW = re.compile(r"^\| `([a-z-]+)` \| ([^|]+) \| ([^|]+) \|$", re.M)
DEFINITIONS = [
    ("configuration", name)
    for name in (
        "Configuration",
        "ModelSpec",
        "ServiceSpec",
        "WorkspaceSpec",
        "LimitSpec",
        "ObjectiveSpec",
        "PeriodSpec",
    )
] + [("settings", "NodeSettings")]


def render_row(key, node, required):
    """Return the row that the page should have for one key."""
    default = "required"
    if key not in required:
        default = f"`{json.dumps(node['default'])}`"
    values = ""
    if "minimum" in node:
        values = f"{node['minimum']} to {node['maximum']}"
    elif "enum" in node:
        values = ", ".join(f"`{choice}`" for choice in node["enum"])
    cells = [f"`{key}`", node["description"], node.get("x-unit", ""), values]
    return "| " + " | ".join([*cells, default]) + " |"


def list_rows(file, name):
    """Return the rows for all keys of a definition."""
    path = ROOT / "chervilrock" / "schema" / f"{file}.yaml"
    definitions = yaml.safe_load(path.read_text(encoding="utf-8"))["$defs"]
    node = definitions[name]
    return [
        render_row(key, value, node["required"])
        for key, value in node["properties"].items()
    ]


@pytest.mark.parametrize(("file", "name"), DEFINITIONS)
def test_every_key_has_its_row(file, name):
    for row in list_rows(file, name):
        assert_that(PAGE.splitlines(), Contains(row))


def test_every_code_has_its_row():
    documented = [str(match[0]) for match in CODE_ROW.findall(PAGE)]
    codes = [item.value for item in FindingCode]
    assert_that(sorted(documented), Equals(sorted(codes)))


def test_every_code_is_used():
    folder = ROOT / "chervilrock" / "configuration"
    code = "".join(path.read_text() for path in folder.glob("*.py"))
    used = set(re.findall(r"FindingCode\.([A-Z_]+)", code))
    names = {item.name for item in FindingCode}
    assert_that(sorted(used), Equals(sorted(names)))


def test_the_bounds_are_documented():
    for bound in (
        f"{source.MAX_BYTES:,} bytes",
        f"{events.MAX_DEPTH} levels",
        f"{events.MAX_VALUES:,} values",
        f"{events.MAX_ALIASES} aliases",
        f"{events.MAX_LENGTH:,} characters",
        f"{schema_check.MAX_ERRORS:,} faults",
    ):
        assert_that(PAGE, Contains(bound))


def test_the_first_example_is_clean():
    example = PAGE.split("```yaml\n")[1].split("```")[0]
    _, findings = check(example, "example", hosts=None, weights=None)
    assert_that(len(findings), Equals(0))

"""Tests of the log events: fields, formats, catalogue and use."""

import ast
from collections.abc import Iterator
import io
import logging
import pathlib
import re
from typing import Any, NamedTuple

from loguru import logger
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    ContainsDict,
    Equals,
    HasLength,
    MatchesRegex,
)

from chervilrock import events
from chervilrock.events import Event, Level

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "chervilrock"
CATALOGUE = ROOT / "docs" / "events.md"
ROW = re.compile(r"\| E(\d+) \| (\S+) \| (\w+) \| (.*?) \| (.+?) \|")


class Use(NamedTuple):
    """A place in the package that names an event."""

    event: str
    fields: frozenset[str] | None
    place: str


@pytest.fixture
def sink() -> Iterator[io.StringIO]:
    """A sink; the logging of the test process is restored afterwards."""
    handlers = logging.root.handlers[:]
    yield io.StringIO()
    logger.remove()
    logging.root.handlers[:] = handlers
    events._LogConfiguration.level = Level.DEBUG
    events._LogConfiguration.strict = True


@pytest.fixture(scope="module")
def uses() -> list[Use]:
    """Every place of the package that names an event."""
    found = []
    for source in sorted(PACKAGE.rglob("*.py")):
        tree = ast.parse(source.read_text(encoding="utf-8"))
        found += find_uses(tree, str(source.relative_to(ROOT)))
    return found


def find_uses(tree: ast.AST, source: str) -> list[Use]:
    """Returns the uses in a module, with fields for calls of `emit`."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and names_event(node):
            found.append(Use(node.attr, None, f"{source}:{node.lineno}"))
        if isinstance(node, ast.Call) and node.args:
            first = node.args[0]
            name = ast.unparse(node.func).rsplit(".")[-1]
            if name == "emit" and names_event(first):
                found.append(read_call(node, source))
    return found


def names_event(node: ast.expr) -> bool:
    """Whether an expression is `Event.X` or `events.Event.X`."""
    text = ast.unparse(node)
    return bool(re.fullmatch(r"(events\.)?Event\.[A-Z_0-9]+", text))


def read_call(node: ast.Call, source: str) -> Use:
    """Returns the event and the fields of a call of `emit`."""
    names = [keyword.arg for keyword in node.keywords]
    fields = frozenset(name for name in names if name)
    event = ast.unparse(node.args[0]).rsplit(".")[-1]
    known = None if None in names else fields
    return Use(event, known, f"{source}:{node.lineno}")


def read_json(sink: io.StringIO) -> dict[str, Any]:
    """Returns the only line of a sink, decoded."""
    lines = sink.getvalue().splitlines()
    assert_that(lines, HasLength(1))
    decoded: dict[str, Any] = msgspec.json.decode(lines[0])
    return decoded


def test_emit_writes_text(sink: io.StringIO) -> None:
    events.configure_logging("text", "INFO", sink)
    events.emit(Event.NODE_STARTED, node="a", address="10.0.0.1:80")
    assert_that(
        sink.getvalue(),
        MatchesRegex(
            r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}[+-]\d\d:\d\d "
            r"INFO E1001 node-started node=a address=10\.0\.0\.1:80\n$"
        ),
    )


def test_emit_writes_json(sink: io.StringIO) -> None:
    events.configure_logging("json", "INFO", sink)
    events.emit(Event.GROUP_SERVING, group="g<b>{x}", fence=7)
    assert_that(
        read_json(sink),
        ContainsDict(
            {
                "number": Equals(4103),
                "event": Equals("group-serving"),
                "level": Equals("INFO"),
                "group": Equals("g<b>{x}"),
                "fence": Equals(7),
                "message": Equals("group g<b>{x} serves, fence 7"),
            }
        ),
    )


@pytest.mark.parametrize(
    ("value", "written"),
    [
        ("", '""'),
        ("plain_1.2:3", "plain_1.2:3"),
        ("two words", '"two words"'),
        ("a\nE1001 forged", '"a\\nE1001 forged"'),
        ('say "x"', '"say \\"x\\""'),
        ("{x}<red>", '"{x}<red>"'),
        ("a=b", '"a=b"'),
        (["h1", "h2"], "\"['h1', 'h2']\""),
    ],
)
def test_values_stay_one_word_of_one_line(
    sink: io.StringIO, value: object, written: str
) -> None:
    events.configure_logging("text", "DEBUG", sink)
    events.emit(Event.GROUP_DISSOLVED, group=value)
    line = sink.getvalue()
    assert_that(line.splitlines(), HasLength(1))
    assert_that(line, Contains(f"group-dissolved group={written}\n"))


def test_events_below_the_level_are_not_written(sink: io.StringIO) -> None:
    events.configure_logging("text", "WARNING", sink)
    events.emit(Event.GROUP_DISSOLVED, group="g")
    assert_that(sink.getvalue(), Equals(""))


@pytest.mark.parametrize("fields", [{}, {"group": "g", "other": 1}])
def test_wrong_fields_are_rejected(fields: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match="group-dissolved has wrong fields"):
        events.emit(Event.GROUP_DISSOLVED, **fields)


def test_wrong_fields_do_not_stop_a_process(sink: io.StringIO) -> None:
    events.configure_logging("json", "INFO", sink)
    events.emit(Event.HOST_RETURNED, host="h")
    lines = [msgspec.json.decode(line) for line in sink.getvalue().splitlines()]
    assert_that([line["number"] for line in lines], Equals([9001, 4202]))
    assert_that(lines[0]["difference"], Equals("group"))


def test_library_messages_become_events(sink: io.StringIO) -> None:
    events.configure_logging("json", "INFO", sink)
    logging.getLogger("tornado.application").error("bad %s", "handler")
    assert_that(
        read_json(sink),
        ContainsDict({"number": Equals(9002), "text": Equals("bad handler")}),
    )


@pytest.mark.parametrize(
    ("log_format", "level", "error"),
    [("xml", "INFO", ValueError), ("text", "LOUD", KeyError)],
)
def test_unknown_format_and_level_are_rejected(
    sink: io.StringIO, log_format: str, level: str, error: type[Exception]
) -> None:
    with pytest.raises(error):
        events.configure_logging(log_format, level, sink)


def test_numbers_are_unique_and_in_order() -> None:
    numbers = [event.number for event in Event]
    assert_that(numbers, Equals(sorted(set(numbers))))


def test_fields_do_not_shadow_reserved_keys() -> None:
    reserved = {"time", "level", "number", "event", "message"}
    clashes = [e.name for e in Event if reserved & e.fields]
    assert_that(clashes, HasLength(0))


def test_catalogue_agrees_with_the_events() -> None:
    rows = ROW.findall(CATALOGUE.read_text(encoding="utf-8"))
    documented = [row[:4] for row in rows]
    defined = [
        (str(e.number), e.title, e.level.name, e.template) for e in Event
    ]
    assert_that(documented, Equals(defined))


def test_calls_name_known_events_and_their_fields(uses: list[Use]) -> None:
    known = Event.__members__
    wrong = [
        use
        for use in uses
        if use.event not in known
        or (use.fields is not None and use.fields != known[use.event].fields)
    ]
    assert_that(wrong, HasLength(0))


def test_every_event_is_emitted(uses: list[Use]) -> None:
    used = {Event[use.event] for use in uses if use.event in Event.__members__}
    missing = set(Event) - used
    assert_that(missing, HasLength(0))

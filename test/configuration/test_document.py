"""The loader: locations, pitfalls of YAML 1.1, and early rejection."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance, LessThan
import yaml

from chervilrock.configuration import events
from chervilrock.configuration.check import check
from chervilrock.configuration.document import load_document
from chervilrock.configuration.events import EventScan, MAX_VALUES
from chervilrock.configuration.findings import FindingCode as Code
from chervilrock.configuration.source import MAX_BYTES

MAX_SCANNED_EVENTS = 2 * MAX_VALUES
NESTED_ALIASES = "a0: &a0 [1, 1]\n" + "".join(
    f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 9)}]\n" for n in range(1, 9)
)
TAG_DIRECTIVES = "".join(f"%TAG !{n}! tag:x,{n}:\n" for n in range(9)) + "--- a"


@pytest.fixture(params=["library", "python"])
def loader(request, monkeypatch):
    """Run with the C parser and with the pure Python parser."""
    if request.param == "python":
        for module in ("events", "document"):
            name = f"chervilrock.configuration.{module}.LOADER"
            monkeypatch.setattr(name, yaml.SafeLoader)
    return request.param


@pytest.fixture
def scanned_events(monkeypatch):
    """Record the events that the scan processes."""
    scanned = []
    add_event = EventScan.add_event

    def count_event(scan, event):
        scanned.append(event)
        add_event(scan, event)

    monkeypatch.setattr(events.EventScan, "add_event", count_event)
    return scanned


def list_findings(data):
    findings = load_document(data, "x").findings
    return [(item.line, item.column, item.code) for item in findings]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"a: \xff", (1, 4, Code.BAD_ENCODING)),
        (b"a: 1\n\xc3\xa9: \xc3", (2, 4, Code.BAD_ENCODING)),
        (b"\xff\xfea\x00", (1, 1, Code.BYTE_ORDER_MARK)),
        (b"\xef\xbb\xbfa: 1", (1, 1, Code.BYTE_ORDER_MARK)),
        ("\ufeffa: 1", (1, 1, Code.BYTE_ORDER_MARK)),
        (b"a: 1\r\nb: \0", (2, 4, Code.CONTROL_CHARACTER)),
        ("a: \ud800", (1, 4, Code.CONTROL_CHARACTER)),
        (b"", (1, 1, Code.EMPTY_DOCUMENT)),
        (b"# nothing\n", (1, 1, Code.EMPTY_DOCUMENT)),
        (b"a: 1\n---\nb: 1\n", (2, 1, Code.SEVERAL_DOCUMENTS)),
        (b"a:\n\tb: 1\n", (2, 1, Code.BROKEN_YAML)),
        (b"a: [1, 2\n", (2, 1, Code.BROKEN_YAML)),
        (b"a: *b\n", (1, 4, Code.BROKEN_YAML)),
        (b"a: &a [*a]\n", (1, 8, Code.BROKEN_YAML)),
        (b"# x\n%TAG ! tag:\n--- 1", (2, 1, Code.BROKEN_YAML)),
        (b"a: 1\nb: 2\na: 3\n", (3, 1, Code.DUPLICATE_KEY)),
        (b'a: {b: 1, "b": 2}\n', (1, 11, Code.DUPLICATE_KEY)),
        (b"no: 1\n", (1, 1, Code.BAD_KEY)),
        (b"a:\n  1: 2\n", (2, 3, Code.BAD_KEY)),
        (b"? [a]\n: 1\n", (1, 3, Code.BAD_KEY)),
        (b"a: &a {b: 1}\nc:\n  <<: *a\n", (3, 3, Code.BAD_KEY)),
        (b"a: !!python/name:os.system x\n", (1, 4, Code.BAD_TAG)),
        (b"a: !!set {b: null}\n", (1, 4, Code.BAD_TAG)),
    ],
)
def test_a_fault_is_reported_once_at_its_location(loader, data, expected):
    assert_that(list_findings(data), Equals([expected]))


@pytest.mark.parametrize(
    ("data", "code"),
    [
        ("#" * (MAX_BYTES + 1), Code.FILE_TOO_LARGE),
        ("[" * 500_000, Code.TOO_DEEP),
        ("- " * 500_000, Code.TOO_DEEP),
        ("? " * 500_000, Code.TOO_DEEP),
        ("".join(" " * n + "a:\n" for n in range(1000)), Code.TOO_DEEP),
        ("- 1\n" * 500_000, Code.TOO_MANY_VALUES),
        ("a: " + "x" * 5000, Code.TEXT_TOO_LONG),
        (NESTED_ALIASES, Code.ALIAS_EXPANSION),
        ("a: &a 1\nb: [" + "*a, " * 500_000 + "]", Code.ALIAS_EXPANSION),
        (TAG_DIRECTIVES, Code.BROKEN_YAML),
    ],
)
def test_a_yaml_bomb_is_rejected_after_bounded_work(scanned_events, data, code):
    found = [item for _, _, item in list_findings(data)]
    assert_that(found, Equals([code]))
    assert_that(len(scanned_events), LessThan(MAX_SCANNED_EVENTS))


def test_depth_through_aliases_counts():
    deep = "a: &a " + "[" * 20 + "]" * 20 + "\nb: " + "[" * 20 + "*a" + "]" * 20
    expected = [(2, 24, Code.TOO_DEEP)]
    assert_that(list_findings(deep), Equals(expected))


def test_a_few_aliases_are_fine(loader):
    loaded = load_document("a: &x [1, 2]\nb: *x\n", "x")
    assert_that(len(loaded.findings), Equals(0))
    document = loaded.document
    assert document is not None
    expected: object = {"a": [1, 2], "b": [1, 2]}
    assert_that(document.value, Equals(expected))


def test_every_value_and_key_has_its_location(loader):
    document = load_document(
        "a: 1\nb:\n  - c: [x,\n      é, z]\n", "x"
    ).document
    assert document is not None
    places = {
        path: (place.line, place.column)
        for path, place in document.places.items()
    }
    expected = {
        (): (1, 1),
        ("a",): (1, 4),
        ("b",): (3, 3),
        ("b", 0): (3, 5),
        ("b", 0, "c"): (3, 8),
        ("b", 0, "c", 0): (3, 9),
        ("b", 0, "c", 1): (4, 7),
        ("b", 0, "c", 2): (4, 10),
    }
    assert_that(places, Equals(expected))
    keys = {path: place[:2] for path, place in document.keys.items()}
    expected = {("a",): (1, 1), ("b",): (2, 1), ("b", 0, "c"): (3, 5)}
    assert_that(keys, Equals(expected))


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("1", 1),
        ("-1", -1),
        ("0", 0),
        ("1.5", 1.5),
        ("true", True),
        ("~", None),
        ("'1:30'", "1:30"),
        ("0o7", "0o7"),
        ("1e3", "1e3"),
        ("3.2.0", "3.2.0"),
        ("01-31", "01-31"),
        ("!!str 1", "1"),
        ("=", "="),
    ],
)
def test_plain_scalars(loader, text, value):
    document = load_document(f"a: {text}", "x").document
    assert document is not None
    expected: object = {"a": value}
    assert_that(document.value, Equals(expected))


@pytest.mark.parametrize(
    "text",
    ["1:30", "010", "0x1f", "0b1", "1_000", "9" * 5000 + ".0", ".inf", ".nan"]
    + ["1.0e+999", "2024-01-31", "yes", "off", "!!int x", "!!float x"]
    + ["!!bool x", "9" * 30],
)
def test_ambiguous_scalars_match_no_type(loader, text):
    base = "name: x\ndata_centres: [a]\nmodels: []\nservices:\n"
    file = f"{base}- name: s\n  max_in_flight: {text}\n"
    _, findings = check(file, "x", hosts=None, weights=None)
    places = [(item.line, item.column) for item in findings]
    assert_that(places, Equals([(6, 18)]))


VOCABULARY = (
    "name data_centres models version groups hosts_per_group adapters spares "
    "objective calendar start end limits services workspaces share a b no 1:30 "
    "010 2024-01-31 1.0e+999 !!set !!str !!int !!binary &a *a << ? = | > ~ % @ "
    "' \" # --- ... - : , [ ] { } %YAML"
)
WORDS = st.sampled_from(VOCABULARY.split(" "))
SPACES = st.sampled_from(["", " ", "\n", "\n  ", "\t", ": ", "\n- ", ", "])
TEXTS = st.lists(st.tuples(WORDS, SPACES), max_size=40).map(
    lambda pairs: "".join(word + space for word, space in pairs)
)


@given(st.one_of(TEXTS, st.binary(max_size=200), st.text(max_size=200)))
def test_no_content_raises(data):
    configuration, findings = check(data, "x", hosts=None, weights=None)
    assert_that((configuration is None), Equals(bool(findings)))
    for finding in findings:
        assert_that(finding.render(), IsInstance(str))
        assert_that("\n" in finding.render(), Equals(False))

"""Changed examples never make the checks raise or accept a wrong type."""

import copy
import pathlib

from hypothesis import given
from hypothesis import strategies as st
import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals
import yaml

from chervilrock.configuration.check import check
from chervilrock.configuration.defaults import fill_defaults
from chervilrock.generated.configuration import Configuration, WeightCatalogue
from chervilrock.generated.interfaces import HostList

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
NAME = "descanso-justo"
DOCUMENT = yaml.safe_load((EXAMPLES / f"{NAME}.yaml").read_text("utf-8"))
HOSTS = msgspec.json.decode(
    (EXAMPLES / f"{NAME}-hosts.json").read_bytes(), type=HostList
)
WEIGHTS = msgspec.json.decode(
    (EXAMPLES / f"{NAME}-weights.json").read_bytes(), type=WeightCatalogue
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 60),
    st.integers(),
    st.floats(),
    st.dates(),
    st.text(max_size=8),
    st.sampled_from(["forbid", "GET", "01-31", "buenos-aires-1", "default"]),
)
VALUES = st.one_of(
    SCALARS,
    st.lists(SCALARS, max_size=3),
    st.dictionaries(st.sampled_from(["name", "start", "x"]), SCALARS),
)


def list_slots(value):
    """Return each container with a key or index into it."""
    slots = []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        slots.append((value, key))
        if isinstance(item, dict | list):
            slots += list_slots(item)
    return slots


@st.composite
def draw_documents(draw):
    """Draw the example with some values replaced, removed or doubled."""
    document = copy.deepcopy(DOCUMENT)
    for _ in range(draw(st.integers(1, 4))):
        slots = list_slots(document)
        if not slots:
            break
        container, key = draw(st.sampled_from(slots))
        change = draw(st.sampled_from(["replace", "remove", "double"]))
        if change == "remove":
            del container[key]
        elif change == "double" and isinstance(container, list):
            container.append(copy.deepcopy(container[key]))
        else:
            container[key] = draw(VALUES)
    return document


@given(draw_documents())
def test_a_changed_example(document):
    text = yaml.safe_dump(document, allow_unicode=True)
    configuration, findings = check(text, "x", hosts=HOSTS, weights=WEIGHTS)
    assert_that(configuration is None, Equals(len(findings) > 0))
    if configuration is not None:
        assert_that(
            msgspec.convert(configuration, Configuration), Equals(configuration)
        )
        assert_that(fill_defaults(configuration), Equals(configuration))

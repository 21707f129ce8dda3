"""Texts and values that no other program should write, and that some do."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.decoding import (
    convert,
    decode_plain,
    Decoder,
    UnreadableError,
)

DEEP = 100_000
ODD_TEXTS = {
    "deep list": b"[" * DEEP + b"]" * DEEP,
    "deep object": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "deep without end": b"[" * DEEP,
    "1e400": b"1e400",
    "6000 digits": b"9" * 6000,
    "NaN": b"NaN",
    "no UTF-8": b'"\xff"',
    "NUL": b"\0",
    "empty": b"",
    "lone surrogate": b'"\\ud800"',
}


@pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=list(ODD_TEXTS))
@pytest.mark.parametrize("kind", [Any, dict[str, int], float, str])
def test_an_odd_text_raises_the_one_error(text: bytes, kind: Any) -> None:
    # Failure: RecursionError, which no caller expected, ended the nodes.
    with pytest.raises(UnreadableError, match="."):
        Decoder(kind).decode(text)
    result = Decoder(kind).read(text)
    assert_that(isinstance(result, Failure), Is(True))


@given(st.binary())
def test_bytes_are_decoded_or_raise_the_one_error(text: bytes) -> None:
    # Failure: an exception that is not listed.
    try:
        decode_plain(text)
    except UnreadableError as error:
        assert_that(str(error) != "", Equals(True))


def test_a_deep_value_is_not_converted() -> None:
    # Failure: RecursionError for a value that was decoded elsewhere.
    value: Any = 1
    for _ in range(DEEP):
        value = {"a": value}
    kind: Any = int
    for _ in range(2):
        kind = dict[str, kind]
    with pytest.raises(UnreadableError):
        convert(value, kind)
    while isinstance(value, dict):
        value = value.pop("a")


def test_valid_texts_are_decoded() -> None:
    # Failure: the values of valid texts change.
    assert_that(decode_plain(b'{"a": [1, 2.5]}'), Equals({"a": [1, 2.5]}))
    decoded = Decoder(dict[str, int]).read(b'{"a": 1}')
    assert_that(decoded == Success({"a": 1}), Is(True))
    assert_that(
        convert({"1": 2}, dict[int, int], str_keys=True), Equals({1: 2})
    )

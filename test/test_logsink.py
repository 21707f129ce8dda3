"""Tests of the non-blocking, rate-limited log output."""

from collections.abc import Iterator
import os

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilrock.logsink import BoundedOutput, BURST_LINES


class Pipe:
    """A pipe whose reader may be slow."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()

    def close(self) -> None:
        """Close both ends."""
        os.close(self.reader)
        os.close(self.writer)


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    """A pipe without a running reader."""
    created = Pipe()
    yield created
    created.close()


def test_lines_are_written(pipe: Pipe) -> None:
    output = BoundedOutput(descriptor=pipe.writer)
    output.write("one\n")
    output.write("two\n")
    assert_that(os.read(pipe.reader, 100), Equals(b"one\ntwo\n"))
    assert_that(output.dropped, Equals(0))


def test_a_stalled_reader_does_not_block_writes(pipe: Pipe) -> None:
    output = BoundedOutput(descriptor=pipe.writer)
    line = "x" * 999 + "\n"
    for _ in range(500):
        output.write(line)
    assert_that(output.dropped, GreaterThan(0))


def test_lines_over_the_rate_limit_are_dropped_and_counted(pipe: Pipe) -> None:
    output = BoundedOutput(descriptor=pipe.writer)
    written = sum(1 for _ in range(6000) if output.write("x"))
    assert_that(written, LessThan(BURST_LINES + 500))
    assert_that(output.dropped, Equals(6000 - written))


def test_a_closed_reader_raises_no_error(pipe: Pipe) -> None:
    output = BoundedOutput(descriptor=pipe.writer)
    os.close(pipe.reader)
    pipe.reader = os.open(os.devnull, os.O_RDONLY)
    output.write("one\n")
    assert_that(output.dropped, Equals(1))

"""Guards against messages that nodes of another version cannot decode."""

import gzip

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from chervilrock.decisions.serving.admission.suspects import (
    ServerCrash,
    Suspect,
)
from chervilrock.decisions.serving.view import (
    Acknowledgement,
    Announcement,
    GroupEndpoint,
    NodeEntry,
    ServingView,
)
from chervilrock.tasks.serving.peermessages import (
    BASE_LENGTHS,
    decode_acknowledgement,
    decode_announcement,
    encode_acknowledgement,
    encode_announcement,
)

NODE = NodeEntry("n", "1", "127.0.0.1:1", "127.0.0.1:2", "a")
GROUP = GroupEndpoint("g", 1, "m", "s", "i-1", "127.0.0.1:3", "a")


@pytest.fixture
def announcement() -> Announcement:
    """An announcement that carries a view with one group."""
    return Announcement(
        term=3,
        leader=NODE,
        nodes_sequence=1,
        nodes=(NODE,),
        loads={"i-1": 2},
        sequence=1,
        view=ServingView(3, 1, groups=(GROUP,), servers=()),
        revision=1,
        has_traffic=True,
        is_stopping=False,
        is_store_unreachable=False,
        lost_after_s=0.75,
        is_relay=False,
    )


@pytest.fixture
def acknowledgement() -> Acknowledgement:
    """An acknowledgement without requests."""
    return Acknowledgement(
        term=3,
        node=NODE,
        is_taking_callers=True,
        version=(3, 1),
        nodes_version=(3, 1),
        revision=1,
        loads={},
        stalled=(),
        has_traffic=False,
    )


def test_a_message_survives_its_encoding(
    announcement: Announcement, acknowledgement: Acknowledgement
) -> None:
    sent = encode_announcement(announcement)
    received = decode_announcement(gzip.decompress(sent.body), sent.extension)
    assert received == announcement
    answer = encode_acknowledgement(acknowledgement)
    decoded = decode_acknowledgement(answer.body, answer.extension)
    assert decoded == acknowledgement


def test_the_body_is_no_longer_than_former_nodes_expect(
    announcement: Announcement,
) -> None:
    body = gzip.decompress(encode_announcement(announcement).body)
    arrays = msgspec.json.decode(body)
    assert_that(len(arrays), Equals(BASE_LENGTHS[Announcement]))
    assert_that(len(arrays[6]), Equals(BASE_LENGTHS[ServingView]))
    assert_that(len(arrays[6][2][0]), Equals(BASE_LENGTHS[GroupEndpoint]))


def test_a_new_field_travels_in_the_extension(
    announcement: Announcement,
) -> None:
    group = GROUP._replace(started_ms=5)
    view = ServingView(3, 1, groups=(group,), servers=())
    extended = announcement._replace(view=view)
    sent = encode_announcement(extended)
    body = gzip.decompress(sent.body)
    former = decode_announcement(body, "")
    assert former is not None
    assert former.view is not None
    assert_that(former.view.groups[0] == GROUP, Is(True))
    assert decode_announcement(body, sent.extension) == extended


# Failure: nodes that know five fields of a suspect rejected the extension, so
# they withheld all requests with a part instead of those with two.
def test_the_extension_ends_with_the_last_field_that_differs(
    announcement: Announcement,
) -> None:
    crash = ServerCrash("i-1", "n", 0.0, 0.1)
    suspect = Suspect("a/part:1", (crash,), True, requires=("a/part:2",))
    extended = announcement._replace(suspects=(suspect,))
    sent = encode_announcement(extended)
    additions = msgspec.json.decode(sent.extension)
    assert_that(additions, Equals([[[16, 0], [["a/part:2"]]]]))
    body = gzip.decompress(sent.body)
    assert decode_announcement(body, sent.extension) == extended


@pytest.mark.parametrize(
    "extension", ["x", "[[[99],[1]]]", "[[[0],[1]]]", "[[[],[1,2,3,4,5,6,7]]]"]
)
def test_an_invalid_extension_is_ignored(
    announcement: Announcement, extension: str
) -> None:
    body = gzip.decompress(encode_announcement(announcement).body)
    assert decode_announcement(body, extension) == announcement


def test_an_invalid_body_is_no_message() -> None:
    assert decode_announcement(b"{", "") is None

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from chervilrock.decisions.requests.transcript import PartialText, Transcript


def make_event(number: int, data: object) -> bytes:
    return b"id: r/%d\ndata: %b\n\n" % (number, msgspec.json.encode(data))


def make_choice(text: str, *, chat: bool) -> dict[str, object]:
    if chat:
        return {"choices": [{"index": 0, "delta": {"content": text}}]}
    return {"choices": [{"index": 0, "text": text}]}


@given(
    texts=st.lists(st.text(max_size=5), max_size=150),
    chat=st.booleans(),
    chunk_events=st.integers(1, 4),
)
def test_text_is_collected_from_events(
    texts: list[str], chat: bool, chunk_events: int
) -> None:
    events = [
        make_event(number, make_choice(text, chat=chat))
        for number, text in enumerate(texts, start=1)
    ]
    transcript = Transcript()
    for start in range(0, len(events), chunk_events):
        transcript.add(b"".join(events[start : start + chunk_events]))
    expected = PartialText(text="".join(texts), finished=False)
    assert transcript.read() == expected
    assert transcript.read() == expected


def test_finish_reason_marks_the_text_as_finished() -> None:
    transcript = Transcript()
    transcript.add(make_event(1, make_choice("a", chat=True)))
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    transcript.add(make_event(2, {"choices": [choice]}))
    transcript.add(make_event(3, {"choices": [], "usage": {}}))
    assert transcript.read() == PartialText(text="a", finished=True)


NOT_A_SINGLE_TEXT = [
    {"choices": [{"index": 1, "text": "b"}]},
    {"choices": [{"delta": {"tool_calls": []}}]},
    {"choices": [{"message": {"content": "b"}}]},
    {"choices": "b"},
    [],
]


@pytest.mark.parametrize("data", NOT_A_SINGLE_TEXT)
def test_answer_other_than_one_text_cannot_be_continued(data: object) -> None:
    transcript = Transcript()
    transcript.add(make_event(1, make_choice("a", chat=True)))
    transcript.add(make_event(2, data))
    assert transcript.read() is None


@given(st.binary(max_size=200))
def test_any_event_data_is_accepted(data: bytes) -> None:
    transcript = Transcript()
    transcript.add(b"id: r/1\ndata: " + data + b"\n\n")
    kept = transcript.read()
    assert kept is None or isinstance(kept.text, str)

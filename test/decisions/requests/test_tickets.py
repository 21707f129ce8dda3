from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
    run_state_machine_as_test,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.requests.runregistry import (
    ClaimKind,
    make_fingerprint,
    RecordedAnswer,
)
from chervilrock.decisions.requests.tickets import (
    format_ticket,
    parse_ticket,
    TicketId,
    TicketTable,
)
from chervilrock.generated.interfaces import Outcome

LIFETIME_S = 10.0
MAX_ENTRIES = 5
MAX_ANSWER_BYTES = 8
MAX_TOTAL_BYTES = 20

SEQUENCES = st.integers(0, 30)
FINGERPRINTS = st.integers(1, 2)


class TicketMachine(RuleBasedStateMachine):
    """Checks a ticket table against a simple model of its tickets."""

    @initialize()
    def start(self) -> None:
        self.table = TicketTable(
            lifetime_s=LIFETIME_S,
            max_entries=MAX_ENTRIES,
            max_answer_bytes=MAX_ANSWER_BYTES,
            max_total_bytes=MAX_TOTAL_BYTES,
        )
        self.now = 0.0
        self.minted: list[float] = []
        self.running: dict[int, int] = {}
        self.may_have_run: set[int] = set()
        self.answers: dict[int, RecordedAnswer] = {}

    @rule(seconds=st.floats(0.0, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def mint(self) -> None:
        self.minted.append(self.now)
        assert_that(self.table.mint(self.now), Equals(len(self.minted)))

    @rule(sequence=SEQUENCES, fingerprint=FINGERPRINTS)
    def claim(self, sequence: int, fingerprint: int) -> None:
        claim = self.table.claim(sequence, fingerprint, self.now)
        if claim.kind is ClaimKind.RUN:
            assert 1 <= sequence <= len(self.minted)
            assert sequence not in self.may_have_run, "the request ran twice"
            assert sequence not in self.running, "two runs in progress at once"
            assert self.now - self.minted[sequence - 1] <= LIFETIME_S + 1.0
            self.running[sequence] = fingerprint
        elif claim.kind is ClaimKind.JOIN:
            assert_that(self.running[sequence], Equals(fingerprint))
        elif claim.kind is ClaimKind.REPLAY:
            assert sequence in self.may_have_run
            if claim.answer is not None:
                assert_that(claim.answer, Equals(self.answers[sequence]))

    @precondition(lambda self: self.running)
    @rule(
        outcome=st.sampled_from(Outcome),
        size=st.integers(0, MAX_ANSWER_BYTES + 2),
        whole=st.booleans(),
        data=st.data(),
    )
    def finish(
        self, outcome: Outcome, size: int, whole: bool, data: st.DataObject
    ) -> None:
        sequence = data.draw(st.sampled_from(sorted(self.running)))
        fingerprint = self.running.pop(sequence)
        answer = RecordedAnswer(200, (), bytes([fingerprint]) * size, False)
        if whole:
            self.may_have_run.add(sequence)
            self.answers[sequence] = answer
        elif outcome is not Outcome.NOT_RUN:
            self.may_have_run.add(sequence)
        self.table.finish(
            sequence, outcome=outcome, answer=answer if whole else None
        )

    @invariant()
    def is_bounded(self) -> None:
        assert self.table.total_bytes <= MAX_TOTAL_BYTES
        assert len(self.table) <= MAX_ENTRIES + len(self.running)


def test_ticket_table_against_a_model() -> None:
    run_state_machine_as_test(
        TicketMachine,
        settings=settings(max_examples=80, stateful_step_count=40),
    )


def test_ticket_from_first_claim_to_expiry() -> None:
    table = TicketTable(lifetime_s=LIFETIME_S)
    sequence = table.mint(0.0)
    assert table.claim(sequence, 1, 0.0).kind is ClaimKind.RUN
    assert table.claim(sequence, 1, 1.0).kind is ClaimKind.JOIN
    assert table.claim(sequence, 2, 1.0).kind is ClaimKind.MISMATCH
    answer = RecordedAnswer(200, (("A", "b"),), b"body", False)
    table.finish(sequence, outcome=Outcome.UNKNOWN, answer=answer)
    claim = table.claim(sequence, 1, 2.0)
    assert claim.kind is ClaimKind.REPLAY
    assert claim.answer == answer
    assert (
        table.claim(sequence, 1, LIFETIME_S + 1.0).kind is ClaimKind.FORGOTTEN
    )
    assert table.claim(sequence + 1, 1, 2.0).kind is ClaimKind.FORGOTTEN


def test_ticket_can_be_used_again_after_not_run() -> None:
    table = TicketTable()
    sequence = table.mint(0.0)
    for _ in range(3):
        assert table.claim(sequence, 1, 0.0).kind is ClaimKind.RUN
        table.finish(sequence, outcome=Outcome.NOT_RUN)


@given(st.text(min_size=1), st.integers(1, 10**14))
def test_formatted_ticket_is_parsed_back(
    incarnation: str, sequence: int
) -> None:
    ticket = TicketId(incarnation, sequence)
    assert parse_ticket(format_ticket(ticket)) == ticket


@given(st.one_of(st.text(), st.from_regex(r"tk\..*\.[0-9]+", fullmatch=True)))
def test_parser_accepts_only_formatted_tickets(text: str) -> None:
    ticket = parse_ticket(text)
    if ticket is not None:
        assert_that(format_ticket(ticket), Equals(text))


def test_different_requests_have_different_fingerprints() -> None:
    requests = [
        ("w", "POST", "/p", b"x"),
        ("v", "POST", "/p", b"x"),
        ("w", "PUT", "/p", b"x"),
        ("w", "POST", "/q", b"x"),
        ("w", "POST", "/p", b"y"),
        ("w", "POST", "/p\0", b"x"),
    ]
    fingerprints = {make_fingerprint(*request) for request in requests}
    assert_that(len(fingerprints), Equals(len(requests)))

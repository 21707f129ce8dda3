from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    rule,
    RuleBasedStateMachine,
    run_state_machine_as_test,
)
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from chervilrock.decisions.records import RecordWriter
from chervilrock.decisions.requests import keys
from chervilrock.decisions.requests.keyfold import KeyFold, KeyName
from chervilrock.decisions.requests.keys import (
    COMPLETE,
    KeyClaims,
    KeyDecision,
    KeyVerdict,
)
from chervilrock.generated.interfaces import Outcome
from chervilrock.generated.records import Record, StoredRecord

NAMES = [KeyName("w", "k1"), KeyName("w", "k2")]
NODES = 2
WAIT_S = 2.0
APPEND_RESULTS = ["stored", "stored", "lost", "unanswered", "late"]


class Node:
    """A node with its claims and the requests that it is running."""

    def __init__(self, number: int) -> None:
        writer = RecordWriter(node=f"n{number}", incarnation="i")
        self.claims = KeyClaims(writer=writer, wait_s=WAIT_S)
        self.read_count = 0
        self.batch: tuple[Record, ...] = ()
        self.running: set[KeyName] = set()


class KeyMachine(RuleBasedStateMachine):
    """Nodes claim the same keys in a log that loses or delays appends."""

    @initialize()
    def start(self) -> None:
        self.nodes = [Node(number) for number in range(NODES)]
        self.log: list[Record] = []
        self.late: list[tuple[Record, ...]] = []
        self.now = 0.0
        self.may_have_run: set[KeyName] = set()

    def _record_decision(
        self, node: Node, decision: KeyDecision | None
    ) -> None:
        if decision is None or decision.verdict is not KeyVerdict.DISPATCH:
            return
        name = decision.name
        assert name not in self.may_have_run, "the request ran twice"
        for other in self.nodes:
            assert name not in other.running, "two runs in progress at once"
        node.running.add(name)

    @rule(number=st.integers(0, NODES - 1), name=st.sampled_from(NAMES))
    def claim(self, number: int, name: KeyName) -> None:
        node = self.nodes[number]
        if name in node.running:
            return
        verdict = node.claims.claim(name, self.now)
        assert verdict is not KeyVerdict.DISPATCH

    @rule(
        number=st.integers(0, NODES - 1), result=st.sampled_from(APPEND_RESULTS)
    )
    def append(self, number: int, result: str) -> None:
        node = self.nodes[number]
        batch = node.claims.start_batch()
        if not batch:
            return
        if result in ("stored", "unanswered"):
            self.log += batch
        if result == "late":
            self.late.append(batch)
        node.claims.record_appended(ok=result == "stored")

    @rule(order=st.permutations(range(NODES)))
    def settle(self, order: list[int]) -> None:
        """Appends and reads everything pending, without faults of the log."""
        for number in order:
            self.append(number, "stored")
        for number in order:
            self.read(number, len(self.log))

    @rule()
    def store_late(self) -> None:
        if self.late:
            self.log += self.late.pop(0)

    @rule(number=st.integers(0, NODES - 1), count=st.sampled_from([1, 100]))
    def read(self, number: int, count: int) -> None:
        node = self.nodes[number]
        for record in self.log[node.read_count : node.read_count + count]:
            node.read_count += 1
            stored = StoredRecord(node.read_count, record)
            self._record_decision(node, node.claims.apply_record(stored))

    @rule(seconds=st.sampled_from([0.5, 0.5, WAIT_S]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for node in self.nodes:
            for decision in node.claims.expire(self.now):
                assert decision.verdict is KeyVerdict.NOT_RUN

    @rule(
        number=st.integers(0, NODES - 1),
        outcome=st.sampled_from([*Outcome, COMPLETE]),
    )
    def finish(self, number: int, outcome: str) -> None:
        node = self.nodes[number]
        if not node.running:
            return
        name = node.running.pop()
        if outcome != Outcome.NOT_RUN:
            self.may_have_run.add(name)
        node.claims.finish(name, outcome)


def check_keys() -> None:
    run_state_machine_as_test(
        KeyMachine,
        settings=settings(
            max_examples=80,
            stateful_step_count=40,
            phases=(Phase.generate,),
        ),
    )


def test_key_runs_at_most_once_despite_faults_of_the_log() -> None:
    check_keys()


def accept_every_record(*_arguments: object) -> bool:
    return True


def dispatch_undecided_claim(claims: KeyClaims, name: KeyName) -> KeyDecision:
    del claims._undecided[name]
    return KeyDecision(name, KeyVerdict.DISPATCH)


MUTATIONS = [
    (KeyFold, "_claim", accept_every_record),
    (KeyClaims, "_decide_lost_claim", dispatch_undecided_claim),
    (KeyClaims, "_give_up", dispatch_undecided_claim),
]


@pytest.mark.parametrize(("target", "name", "mutant"), MUTATIONS)
def test_machine_detects_mutation(
    monkeypatch: pytest.MonkeyPatch, target: object, name: str, mutant: object
) -> None:
    monkeypatch.setattr(target, name, mutant)
    with pytest.raises(AssertionError):
        check_keys()


def test_reuse_check_detects_an_ignored_release_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(KeyFold, "_finish", accept_every_record)
    with pytest.raises(AssertionError):
        check_reuse()


def check_reuse() -> None:
    """Checks that a key can be claimed again after its claim was given up."""
    node = Node(0)
    log: list[Record] = []
    node.claims.claim(NAMES[0], 0.0)
    log += node.claims.start_batch()
    node.claims.record_appended(ok=False)
    (decision,) = node.claims.expire(WAIT_S)
    assert decision.verdict is KeyVerdict.NOT_RUN
    node.claims.record_appended(ok=True)
    assert node.claims.claim(NAMES[0], WAIT_S) is KeyVerdict.WAIT
    log += node.claims.start_batch()
    decisions = [
        node.claims.apply_record(StoredRecord(offset, record))
        for offset, record in enumerate(log, start=1)
    ]
    expected = KeyDecision(NAMES[0], KeyVerdict.DISPATCH)
    assert decisions[-1] == expected


def test_key_that_was_given_up_can_be_claimed_again() -> None:
    check_reuse()


def test_claims_are_appended_in_batches() -> None:
    node = Node(0)
    for number in range(keys.MAX_BATCH + 1):
        node.claims.claim(KeyName("w", str(number)), 0.0)
    assert_that(len(node.claims.start_batch()), Equals(keys.MAX_BATCH))
    assert node.claims.start_batch() == ()
    node.claims.record_appended(ok=True)
    assert_that(len(node.claims.start_batch()), Equals(1))


def test_claim_during_an_outage_is_rejected_at_once() -> None:
    node = Node(0)
    node.claims.claim(NAMES[0], 0.0)
    node.claims.start_batch()
    node.claims.record_appended(ok=False)
    assert node.claims.claim(NAMES[1], 0.0) is KeyVerdict.NOT_RUN


def test_claim_of_a_finished_key_is_decided_at_once() -> None:
    first, second = Node(0), Node(1)
    first.claims.claim(NAMES[0], 0.0)
    first.claims.claim(NAMES[1], 0.0)
    log = list(first.claims.start_batch())
    first.claims.record_appended(ok=True)
    first.claims.finish(NAMES[0], COMPLETE)
    first.claims.finish(NAMES[1], Outcome.FAILED)
    log += first.claims.start_batch()
    for offset, record in enumerate(log, start=1):
        second.claims.apply_record(StoredRecord(offset, record))
    assert second.claims.claim(NAMES[0], 0.0) is KeyVerdict.TAKEN
    assert second.claims.claim(NAMES[1], 0.0) is KeyVerdict.FAILED

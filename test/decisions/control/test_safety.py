"""Injected faults break no invariant, and each broken rule is detected."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
import pytest

from chervilrock.decisions import configurations, region_rules
from chervilrock.decisions.control import release
from chervilrock.decisions.lease import LeaseHolder, LeaseObserver
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.streams import StreamReader
from chervilrock.decisions.verdicts import VerdictKind
from chervilrock.generated.interfaces import EnginePhase
from test.decisions.control.machine import FaultMachine

EXAMPLES = 120
EXAMPLES_BROKEN = 150


def run_machine(examples):
    run_state_machine_as_test(
        FaultMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=25,
            phases=(Phase.generate,),
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
            print_blob=False,
        ),
    )


def test_faults_break_no_invariant():
    run_machine(EXAMPLES)


def skip_fence_proof(patch):
    """Release a host that checks fences as soon as it reports to be empty."""
    original = release.is_proved_empty

    def is_proved_empty(context, host, ownership):
        evidence = context.find_evidence(host)
        if context.checks_fence(host) and evidence is not None:
            return evidence.phase == EnginePhase.EMPTY
        return original(context, host, ownership)

    patch.setattr(release, "is_proved_empty", is_proved_empty)


def skip_fence_check(patch):
    """Let the fold accept records with an old fencing number."""
    patch.setattr(
        region_rules,
        "_check_group",
        lambda state, epoch, name, fence: (
            region_rules._check_epoch(state, epoch)
            or (None if name in state.groups else "unknown")
        ),
    )


def skip_epoch_check(patch):
    """Let the fold accept records of an earlier controller."""
    patch.setattr(region_rules, "_check_epoch", lambda state, epoch: None)


def skip_lease_wait(patch):
    """Claim the lease without waiting for the end of the earlier one."""
    over_at = property(lambda self: 0.0, lambda self, value: None)
    patch.setattr(LeaseObserver, "over_at", over_at, raising=False)


def skip_quiet_wait(patch):
    """Trust engines that check no fence before old orders have expired."""
    patch.setattr(release, "find_quiet_time", lambda context, host: 0.0)


def skip_lease_check(patch):
    """Act without checking the end of the lease, as after a pause."""
    patch.setattr(LeaseHolder, "may_act", lambda self, now: self.epoch != 0)


def count_from_reading(patch):
    """Count the lease from a time after its claim or renewal was sent."""
    original = LeaseHolder.record_accepted

    def record_accepted(self, record_id, epoch):
        if record_id in self._sent:
            self._sent[record_id] += 3.0
        original(self, record_id, epoch)

    patch.setattr(LeaseHolder, "record_accepted", record_accepted)


def serve_without_last_host(patch):
    """Serve a group without checking its last host."""

    def whole(self, group, now, limit=None):
        return all(
            self._is_ready(group, rank, now, limit or self.limit)
            for rank in range(len(group.hosts) - 1)
        )

    patch.setattr(PresenceTable, "whole", whole)


def trust_old_evidence(patch):
    """Serve on evidence of any age."""
    patch.setattr(
        PresenceTable, "_find", lambda self, host, *_: self.find_last(host)
    )


def accept_stale_base(patch):
    """Accept a configuration on any base."""

    def judge(self, stored, body):
        self._folded = configurations.read_accepted(stored)
        return configurations._answer(VerdictKind.ACCEPTED, stored.offset)

    patch.setattr(configurations.ConfigurationFold, "_judge_base", judge)


def adopt_any_revision(patch):
    """Adopt every configuration that a peer forwards."""

    def adopt(self, stored):
        self._folded = configurations.read_accepted(stored)
        return True

    patch.setattr(configurations.ConfigurationFold, "adopt", adopt)


def read_trimmed_as_empty(patch):
    """Fold the rest of a trimmed stream as if it were complete."""
    patch.setattr(StreamReader, "_check_gap", lambda self, page: False)


@pytest.mark.parametrize(
    "mutate",
    [
        skip_fence_proof,
        skip_fence_check,
        skip_epoch_check,
        skip_lease_wait,
        skip_quiet_wait,
        skip_lease_check,
        count_from_reading,
        serve_without_last_host,
        trust_old_evidence,
        accept_stale_base,
        adopt_any_revision,
        read_trimmed_as_empty,
    ],
)
def test_machine_finds_broken_rule(mutate, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        run_machine(EXAMPLES_BROKEN)

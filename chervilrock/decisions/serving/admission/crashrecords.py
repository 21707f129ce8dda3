"""Crashes of servers under one feature of requests."""

from collections.abc import Iterable

from chervilrock.decisions.serving.admission.suspects import (
    ServerCrash,
    Trial,
)

MAX_DOUBTFUL_CRASHES = 5
"""Servers that may crash under a feature with which requests have run normally
before, or under a shared one that was on fewer than half of the servers that
crashed, before requests with it are withheld."""

PASS_WAIT_S = 2.0
"""Time after the first crash under a feature with which requests have run
normally before, in which a request with it may do so again."""

UNSURE_WAIT_S = 1.0
"""The same for a feature that only nodes which have seen few requests know."""

FIRST_TRIAL_S = 10.0
"""Time after which a withheld feature with which requests ran before is
tried again, until the next crash under it."""

TRIAL_FACTOR = 6.0
"""Ratio of the times until a trial and until the one before it."""

MAX_TRIALS = 2
"""Trials of a feature; as each may crash servers, there are no more of them."""

MAX_SINGLE_TRIALS = 3
"""Servers that may crash under single requests that test whether a withheld
part is the cause, or one that most requests share."""

FIRST_SINGLE_TRIAL_S = 0.5
"""Time after which the first single request is sent; TRIAL_FACTOR times longer
for each one that crashed a server."""

SINGLE_TRIAL_S = 2.0
"""Time for which one node may send a single request before the next node
may."""

_SCORE_DIGITS = 2
"""Digits of the seconds since the first byte that are compared: a server that
crashes as it begins its answer may have written the head or not."""

MAX_RECORDED_CRASHES = 64
"""Crashes that are kept of a feature."""


class CrashRecord:
    """Crashes of servers under one feature."""

    def __init__(self, now: float) -> None:
        self.crashes: dict[str, ServerCrash] = {}
        self.first_crash_at = now
        self.last_crash_at = now
        self.settles_at = float("inf")
        self.is_withheld = False
        self.was_withheld = False
        self.has_run = False
        self.has_survived = False
        self.withheld_at = now
        self.trials = 0
        self.trial_crashes = 0
        self.requires: tuple[str, ...] = ()
        self.trial: Trial | None = None
        self.trial_ends_at = now
        self.failed_trials = 0
        self.tried_singly_at = float("inf")
        self._score: tuple[float, float] | None = None

    @property
    def has_passed(self) -> bool:
        """Whether requests with the feature ran normally before a crash."""
        return self.has_run or self.has_survived

    @property
    def is_unsure(self) -> bool:
        """Whether only nodes that have seen few requests reported crashes."""
        return all(crash.is_unsure for crash in self.crashes.values())

    @property
    def is_tried_singly(self) -> bool:
        """Whether single requests with the feature were permitted."""
        return self.tried_singly_at < float("inf")

    @property
    def may_be_common(self) -> bool:
        """Whether requests with the feature may run normally."""
        return self.has_passed or self.is_unsure

    @property
    def score(self) -> tuple[float, float]:
        """How unlikely the feature is the cause of all of its crashes."""
        if self._score is None:
            self._score = sum_scores(self.crashes.values())
        return self._score

    def is_on_trial(self, now: float) -> bool:
        """Return whether requests with the feature are tried again.

        A trial ends with the next crash; a request that runs normally removes
        the record.
        """
        if self.trial_crashes == len(self.crashes):
            return True
        if self.trials == MAX_TRIALS or not (
            self.is_withheld and self.has_passed
        ):
            return False
        wait_s = FIRST_TRIAL_S * TRIAL_FACTOR**self.trials
        if now < self.withheld_at + wait_s:
            return False
        self.trials += 1
        self._trim(MAX_DOUBTFUL_CRASHES)
        self.trial_crashes = len(self.crashes)
        return True

    def may_try_singly(self, now: float) -> bool:
        """Return whether a node may try a single request with the feature."""
        if self.failed_trials >= MAX_SINGLE_TRIALS or self.has_passed:
            return False
        if not self.is_unsure and not self.is_tried_singly:
            return False
        since = self.last_crash_at if self.failed_trials else self.withheld_at
        wait_s = FIRST_SINGLE_TRIAL_S * TRIAL_FACTOR**self.failed_trials
        return now >= since + wait_s

    def begin_trial(self, trial: Trial, now: float) -> None:
        """Permit a single request; the next crash ends the permission."""
        self.trial = trial
        self.trial_ends_at = now + SINGLE_TRIAL_S
        self.record_tried_singly(now)
        self._trim(MAX_RECORDED_CRASHES - MAX_SINGLE_TRIALS)

    def record_tried_singly(self, now: float) -> None:
        """Record that single requests are permitted, here or elsewhere."""
        self.tried_singly_at = min(self.tried_singly_at, now)

    def _trim(self, count: int) -> None:
        """Remove the oldest crashes, so that further ones are recorded."""
        while len(self.crashes) > count:
            del self.crashes[next(iter(self.crashes))]
        self._score = None

    def add(self, crash: ServerCrash, now: float) -> None:
        """Add a crash of another server."""
        # Several requests on trial may be in progress at once.
        is_sent_since = now - crash.since_sent_s >= self.tried_singly_at
        if self.trial is not None or is_sent_since:
            self.failed_trials += 1
            self.trial = None
        self.crashes[crash.server] = crash
        self.last_crash_at = now
        self.has_run |= crash.has_passed
        self._score = None

    def add_observation(self, crash: ServerCrash) -> None:
        """Add what another node has observed of a known crash."""
        known = self.crashes[crash.server]
        self.has_run |= crash.has_passed
        self.crashes[crash.server] = known._replace(
            # An announced crash does not state them.
            companions=known.companions or crash.companions,
            is_unsure=(
                known.is_unsure if known.companions else crash.is_unsure
            ),
            survived_s=max(known.survived_s, crash.survived_s),
        )

    @property
    def doubtful_until(self) -> float:
        """Time until which a request with it may still run normally."""
        if self.was_withheld:
            return 0.0
        if self.has_passed:
            return self.first_crash_at + PASS_WAIT_S
        return self.first_crash_at + UNSURE_WAIT_S if self.is_unsure else 0.0


def sum_scores(crashes: Iterable[ServerCrash]) -> tuple[float, float]:
    """Return how unlikely one cause is for all of these crashes."""
    since_first_byte_s = since_sent_s = 0.0
    for crash in crashes:
        since_first_byte_s += round(crash.since_first_byte_s, _SCORE_DIGITS)
        since_sent_s += crash.since_sent_s
    return since_first_byte_s, -since_sent_s

"""Identifies what crashes the backend servers: a request, or a part of prompts.

A request that crashes its server comes back as another attempt, at any node,
and would crash one server after the other; so would requests that share a part
of their prompts. A crash takes everything with it that ran on the server, so
one crash says little about any feature of a request. What distinguishes the
cause from bystanders: it was on the server at every crash, the server had sent
no or little of its answer by then, and no request with it runs normally.
"""

from collections.abc import Collection, Iterable, Iterator, Sequence
import heapq
import itertools
from typing import NamedTuple

from chervilrock.decisions.serving.admission.features import is_shared

MAX_CRASHES = 3
"""Servers that may crash under a feature before requests with it are
withheld."""

MAX_DOUBTFUL_CRASHES = 5
"""The same for a feature with which requests have run normally before, and for
a shared one that was on fewer than half of the servers that crashed."""

MIN_SURVIVAL_S = 0.2
"""Time for which a server must have answered a request when it crashes, so that
the crash may not be due to any feature of that request."""

MIN_SURVIVAL_RATIO = 4.0
"""How many times longer that must be than the server had answered another
request when it crashed."""

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
"""Servers that may crash under single requests that try whether a withheld
part, which nothing tells from a common one, is the cause."""

FIRST_SINGLE_TRIAL_S = 0.5
"""Time after which the first of them is sent; TRIAL_FACTOR times longer for
each one that crashed a server."""

SINGLE_TRIAL_S = 2.0
"""Time in which one node may send such a request before the next node may."""

MAX_AVOIDED = 16
"""Features that a request on trial may not have; those of the latest crashes
come first."""

MIN_ANNOUNCED_CRASHES = 2
"""Crashes from which on all nodes have a request in their list, so that the
node that observes the third crash withholds it, and a normal completion
anywhere clears it."""

FORGET_S = 600.0
"""Time after its last crash for which a request that is not withheld counts as
a suspect."""

WITHHELD_S = 3600.0
"""Time after its last crash for which a request is withheld. A new version of
the engine may run it; until then each trial costs up to three servers."""

SETTLE_S = 0.05
"""Time to wait for the reports of other nodes on the same crash: they take some
milliseconds, and without them a bystander may seem to be the cause."""

RIVAL_SETTLE_S = 0.25
"""The same while a likelier request had all of these crashes but one: the
report of its last crash may be late where nodes are busy."""

MAX_CONTENTS = 2048
"""Features that are kept at once; a flood of different ones evicts those with
the fewest crashes first."""

MAX_ANNOUNCED_SUSPECTS = 128
"""Features that the leader announces to the nodes."""

MAX_CANDIDATES = 64
"""Features with most crashes that are evaluated; they share nearly all servers
where there are more."""

MAX_RIVALS = 256
"""Features with the latest crashes that others are compared with."""

_SCORE_DIGITS = 2
"""Digits of the seconds since the first byte that are compared: a server that
crashes as it begins its answer may have written the head or not."""

MAX_RECORDED_CRASHES = 64
"""Crashes that are kept of a feature."""

MAX_ANNOUNCED_CRASHES = 8
"""Crashes of a feature that are announced; later ones add no information on
it."""


class ServerCrash(NamedTuple):
    """A backend server that crashed while it had a request.

    Attributes:
      server: identifier of this incarnation of the server.
      node: node that observed it.
      since_first_byte_s: seconds since the first byte of the answer, 0 without
        one; of several requests with the feature, of the one answered last.
      since_sent_s: seconds since that request was sent there.
      companions: other features of the request.
      has_passed: whether requests with the feature had run normally at the
        node before.
      survived_s: seconds since the first byte of the answer to the request with
        the feature that had been answered for longest there.
      is_unsure: whether the node has seen too few requests to know whether the
        feature is common.
      position: index of the feature in its request, 0 for the content.
    """

    server: str
    node: str
    since_first_byte_s: float
    since_sent_s: float
    companions: tuple[str, ...] = ()
    has_passed: bool = False
    survived_s: float = 0.0
    is_unsure: bool = False
    position: int = 0


class Trial(NamedTuple):
    """A permission to send one request with a withheld feature.

    Attributes:
      number: number of the permission.
      node: node that has it, empty while there is none.
      avoids: features that the request may not have.
      failures: servers that crashed under such requests before.
    """

    number: int
    node: str
    avoids: tuple[str, ...]
    failures: int


class Suspect(NamedTuple):
    """A feature of requests under which servers crashed.

    Attributes:
      content: identifier of the feature.
      crashes: the servers that crashed under it, the first one first.
      is_withheld: whether requests with it are withheld from all servers.
      requires: features that a request must have as well to be withheld, as
        nothing tells yet which of them is the cause.
      has_passed: whether requests with it ran normally before the crashes.
      trial: which request with it may be sent all the same, None for none.
    """

    content: str
    crashes: tuple[ServerCrash, ...]
    is_withheld: bool
    requires: tuple[str, ...] = ()
    has_passed: bool = False
    trial: Trial | None = None

    @property
    def stored(self) -> tuple[object, ...]:
        """The fields for the store; former versions reject any more."""
        return self[:5]

    @property
    def servers(self) -> str:
        """The crashed servers, for a log line."""
        return ",".join(crash.server for crash in self.crashes)

    @property
    def nodes(self) -> str:
        """The nodes that observed the crashes, for a log line."""
        return ",".join(sorted({crash.node for crash in self.crashes}))


class CrashReport(NamedTuple):
    """What one node reports to another about requests and crashed servers.

    Attributes:
      crashes: features and the crashes that the node observed.
      cleared: features with which requests have run normally since.
    """

    crashes: tuple[tuple[str, ServerCrash], ...] = ()
    cleared: tuple[str, ...] = ()


_Rank = tuple[bool, bool, int, int, float, float, bool, int, str]


class _Record:
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
            self._score = _sum_scores(self.crashes.values())
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


class _Candidate(NamedTuple):
    """A feature that may be withheld.

    Attributes:
      feature: the feature.
      record: its crashes.
      is_confirmed: whether it is shared and was found to be a cause before.
      riders: number of other features that all of its requests have.
    """

    feature: str
    record: _Record
    is_confirmed: bool
    riders: int


class SuspectTracker:
    """Crashes of servers by the features of the requests that they had."""

    def __init__(self) -> None:
        """Create a tracker without suspects."""
        self._records: dict[str, _Record] = {}
        self._crashed_at: dict[str, float] = {}
        self._fastest_s: dict[str, float] = {}
        self._settled_at = float("-inf")
        self._trial_number = 0

    def __len__(self) -> int:
        return len(self._records)

    def count_crashes(self, content: str) -> int:
        """Return the servers that are known to have crashed under a request."""
        record = self._records.get(content)
        return 0 if record is None else len(record.crashes)

    def record_crash(
        self,
        content: str,
        crash: ServerCrash,
        now: float,
        *,
        settle_s: float = SETTLE_S,
    ) -> bool:
        """Record a crash, once for each server; return whether it was new.

        Args:
          content: the request.
          crash: the crash.
          now: current time.
          settle_s: time after which the crash counts.
        """
        self._crashed_at.setdefault(crash.server, now)
        if crash.since_first_byte_s:
            fastest_s = self._fastest_s.get(crash.server, float("inf"))
            self._fastest_s[crash.server] = min(
                fastest_s, crash.since_first_byte_s
            )
        record = self._records.get(content)
        if record is None:
            self._evict_if_full()
            record = _Record(now)
        elif crash.server in record.crashes:
            record.add_observation(crash)
            return False
        elif len(record.crashes) >= MAX_RECORDED_CRASHES:
            return False
        else:
            # Removed and inserted again to keep the order of the last crashes.
            del self._records[content]
        self._records[content] = record
        record.add(crash, now)
        if len(record.crashes) in (MAX_CRASHES, MAX_DOUBTFUL_CRASHES):
            record.settles_at = now + settle_s
        return True

    def record_suspect(self, suspect: Suspect, now: float) -> None:
        """Record what another node has found out about a feature."""
        for crash in suspect.crashes:
            settle_s = 0.0 if suspect.is_withheld else SETTLE_S
            self.record_crash(suspect.content, crash, now, settle_s=settle_s)
        record = self._records.get(suspect.content)
        if record is not None:
            record.requires = suspect.requires
            record.has_run |= suspect.has_passed
            record.was_withheld |= suspect.is_withheld
            if suspect.trial is not None:
                record.record_tried_singly(now)
                record.failed_trials = max(
                    record.failed_trials, suspect.trial.failures
                )

    def record_pass(
        self, feature: str, sent_at: float, survived_s: float
    ) -> bool:
        """Clear a feature if a request shows that servers survive it.

        Args:
          feature: the feature.
          sent_at: time at which the request was sent.
          survived_s: seconds since the first byte of its answer, inf if the
            answer is complete.

        Returns:
          Whether the feature was cleared.
        """
        record = self._records.get(feature)
        if record is None or sent_at < record.first_crash_at:
            return False
        begun = [
            crash.since_first_byte_s
            for crash in record.crashes.values()
            if crash.since_first_byte_s
        ]
        if survived_s < 2 * min(begun, default=0.0):
            return False
        return self.clear(feature)

    def clear(self, content: str) -> bool:
        """Remove a feature that crashes no server; return whether known."""
        return self._records.pop(content, None) is not None

    def may_be_common(self, feature: str) -> bool:
        """Return whether requests with a feature may run normally."""
        record = self._records.get(feature)
        return record is not None and record.may_be_common

    def awaits_verdict(
        self, feature: str, min_crashes: int, now: float, wait_s: float
    ) -> bool:
        """Return whether a feature may turn out to be the cause very soon.

        Args:
          feature: the feature.
          min_crashes: crashes below which it is not.
          now: current time.
          wait_s: time after the last crash in which a shared feature may.
        """
        record = self._records.get(feature)
        if record is None or len(record.crashes) < min_crashes:
            return False
        if not is_shared(feature):
            return True
        return not record.has_passed and now < record.last_crash_at + wait_s

    def evaluate(
        self, now: float, nodes: Sequence[str] = ()
    ) -> tuple[Suspect, ...]:
        """Return the features with several crashes, and which are withheld.

        The one with most crashes that are not explained yet is withheld first;
        of equals, the one whose requests have most in common, then the one
        whose servers crashed soonest after they had begun to answer it, if at
        all. Shared features that are withheld go before, and features with
        which requests ran normally before come last. A crash that a feature
        explains does not count against the bystanders there, unless the answer
        to the same content began later than its own. Everything is evaluated
        anew each time, so that a bystander is released as soon as the cause is
        known.

        Args:
          now: current time.
          nodes: nodes that may try single requests with a withheld part.
        """
        self._expire(now)
        suspects = {
            content: record
            for content, record in self._records.items()
            if len(record.crashes) >= MIN_ANNOUNCED_CRASHES
        }
        for record in suspects.values():
            record.has_survived = record.has_survived or any(
                map(self._is_survivor, record.crashes.values())
            )
        rivals = list(suspects.values())[-MAX_RIVALS:]
        explained: dict[str, float] = {}
        pending: dict[str, float] = {}
        withheld: list[_Record] = []
        candidates = self._list_candidates(suspects)
        while candidates:
            candidate = min(
                candidates, key=lambda one: _get_rank(one, explained)
            )
            candidates.remove(candidate)
            record = candidate.record
            if not record.is_on_trial(now):
                shared = is_shared(candidate.feature)
                if not self._is_cause(
                    candidate, explained | pending if shared else explained
                ):
                    continue
                if now < self._find_due(record, rivals):
                    # A less likely feature does not go first meanwhile.
                    pending |= dict.fromkeys(record.crashes, 0.0)
                    continue
                withheld.append(record)
            for crash in record.crashes.values():
                former = explained.get(crash.server, float("inf"))
                explained[crash.server] = min(former, crash.since_first_byte_s)
        for record in withheld:
            if not record.is_withheld:
                record.withheld_at = now
        for record in suspects.values():
            record.is_withheld = record in withheld
            record.was_withheld |= record.is_withheld
        for content, record in suspects.items():
            if record.is_withheld and is_shared(content) and nodes:
                self._update_trial(record, nodes, now)
            else:
                record.trial = None
        return self._list(suspects)

    def begin_term(self, now: float) -> None:
        """Wait for the reports of all nodes before common features count."""
        self._settled_at = now + PASS_WAIT_S

    def _update_trial(
        self, record: _Record, nodes: Sequence[str], now: float
    ) -> None:
        """Let one node after the other try a request with a withheld part.

        Other features of the requests that crashed servers may explain all of
        its crashes as well. Without a request that has none of them, nothing
        would ever tell the part from its bystanders.
        """
        avoids = self._find_avoided(record)
        if not avoids or not record.may_try_singly(now):
            record.trial = None
        elif record.trial is not None and now < record.trial_ends_at:
            record.trial = record.trial._replace(avoids=avoids)
        else:
            self._trial_number += 1
            node = nodes[self._trial_number % len(nodes)]
            record.begin_trial(
                Trial(self._trial_number, node, avoids, record.failed_trials),
                now,
            )

    def _find_avoided(self, record: _Record) -> tuple[str, ...]:
        """Return features that may be the causes instead of a shared one.

        These are the parts that were on some of its servers, and the contents
        that would be withheld by themselves.
        """
        avoided: dict[str, None] = {}
        for crash in reversed(record.crashes.values()):
            for feature in crash.companions:
                other = self._records.get(feature)
                if other is None or other.has_passed:
                    continue
                if other.crashes.keys() >= record.crashes.keys():
                    continue
                if is_shared(feature) or len(other.crashes) >= MAX_CRASHES:
                    avoided[feature] = None
        return tuple(itertools.islice(avoided, MAX_AVOIDED))

    def _is_survivor(self, crash: ServerCrash) -> bool:
        """Return whether a crash is probably due to another request."""
        fastest_s = self._fastest_s.get(crash.server, float("inf"))
        return crash.survived_s >= max(
            MIN_SURVIVAL_S, MIN_SURVIVAL_RATIO * fastest_s
        )

    def _list_candidates(
        self, suspects: dict[str, _Record]
    ) -> list[_Candidate]:
        """Return the features that may be withheld, at most MAX_CANDIDATES."""
        keys = heapq.nsmallest(
            MAX_CANDIDATES,
            (
                (record.has_passed, -len(record.crashes), feature)
                for feature, record in suspects.items()
                if len(record.crashes) >= MAX_CRASHES
            ),
        )
        return [
            self._describe_candidate(feature, suspects[feature])
            for _, _, feature in keys
        ]

    def _describe_candidate(self, feature: str, record: _Record) -> _Candidate:
        riders = self._find_riders(record)
        record.requires = riders if is_shared(feature) else ()
        is_confirmed = is_shared(feature) and (
            record.is_withheld or record.trials > 0
        )
        return _Candidate(feature, record, is_confirmed, len(riders))

    def _is_cause(
        self, candidate: _Candidate, explained: dict[str, float]
    ) -> bool:
        """Return whether enough crashes have no other explanation.

        Args:
          candidate: the feature.
          explained: servers that crashed under likelier features.
        """
        record = candidate.record
        unexplained = _count_unexplained(candidate, explained)
        is_doubtful = not record.was_withheld and (
            record.has_passed
            or (
                is_shared(candidate.feature)
                and 2 * unexplained < self._count_crashed(record, explained)
            )
        )
        return unexplained >= (
            MAX_DOUBTFUL_CRASHES if is_doubtful else MAX_CRASHES
        )

    def _count_crashed(
        self, record: _Record, explained: dict[str, float]
    ) -> int:
        """Return the unexplained crashes of servers since the first one."""
        since = record.first_crash_at - SETTLE_S
        return sum(
            time >= since and server not in explained
            for server, time in self._crashed_at.items()
        )

    def _find_riders(self, record: _Record) -> tuple[str, ...]:
        """Return the other features of all requests that crashed servers.

        Those that requests ran normally with, or that were not on all of these
        servers, are left out.
        """
        crashes = record.crashes.values()
        if not all(crash.companions for crash in crashes):
            return record.requires
        shared = set.intersection(*(set(one.companions) for one in crashes))
        return tuple(
            sorted(
                feature
                for feature in shared
                if feature in self._records
                and not self._records[feature].has_passed
                and self._records[feature].crashes.keys()
                >= record.crashes.keys()
            )
        )

    def find_next_due(self, now: float) -> float | None:
        """Return when the next request is due for evaluation, None for none."""
        times = [
            time
            for record in self._records.values()
            for time in (
                record.settles_at,
                _find_latest_due(record),
                record.doubtful_until,
            )
            if now < time < float("inf")
        ]
        return min(times, default=None)

    def _find_due(self, record: _Record, suspects: Iterable[_Record]) -> float:
        """Return when a feature may be withheld, as far as is known now.

        A likelier feature that shares all of its crashes but one goes first,
        also while its own last crash has not settled.
        """
        due = max(record.settles_at, record.doubtful_until)
        if record.may_be_common and not record.was_withheld:
            due = max(due, self._settled_at)
        count = len(record.crashes)
        for rival in suspects:
            shared = record.crashes.keys() & rival.crashes.keys()
            if len(shared) < count - 1 or record is rival:
                continue
            if rival.has_passed and not record.has_passed:
                continue
            if _score(rival, shared) >= _score(record, shared):
                continue
            if len(rival.crashes) < count:
                return max(due, _find_latest_due(record))
            due = max(due, min(rival.settles_at, _find_latest_due(record)))
        return due

    def _list(self, suspects: dict[str, _Record]) -> tuple[Suspect, ...]:
        """Return the suspects to announce, withheld and recent ones first."""
        listed = [
            Suspect(
                content=content,
                crashes=tuple(
                    ServerCrash(
                        crash.server,
                        crash.node,
                        crash.since_first_byte_s,
                        crash.since_sent_s,
                    )
                    for crash in itertools.islice(
                        record.crashes.values(), MAX_ANNOUNCED_CRASHES
                    )
                ),
                is_withheld=record.is_withheld,
                requires=record.requires,
                has_passed=record.has_passed,
                trial=_describe_trial(record),
            )
            for content, record in reversed(suspects.items())
        ]
        listed.sort(key=lambda suspect: not suspect.is_withheld)
        return tuple(listed[:MAX_ANNOUNCED_SUSPECTS])

    def _expire(self, now: float) -> None:
        for content, record in list(self._records.items()):
            lifetime_s = WITHHELD_S if record.is_withheld else FORGET_S
            if now - record.last_crash_at > lifetime_s:
                del self._records[content]
        for server, time in list(self._crashed_at.items()):
            if now - time <= FORGET_S:
                break
            del self._crashed_at[server]
            self._fastest_s.pop(server, None)

    def _evict_if_full(self) -> None:
        """Drop the record with the fewest crashes, the oldest of these."""
        if len(self._records) < MAX_CONTENTS:
            return
        for content, record in self._records.items():
            if len(record.crashes) == 1:
                del self._records[content]
                return
        sizes = {
            content: len(record.crashes)
            for content, record in self._records.items()
        }
        del self._records[min(sizes, key=sizes.__getitem__)]


def _describe_trial(record: _Record) -> Trial | None:
    """Return the trial to announce, for the next leader also a former one."""
    if record.trial is None and record.is_tried_singly:
        return Trial(0, "", (), record.failed_trials)
    return record.trial


def _find_latest_due(record: _Record) -> float:
    """Return when to stop waiting for the report of a rival."""
    return record.settles_at + RIVAL_SETTLE_S


def _score(record: _Record, servers: Collection[str]) -> tuple[float, float]:
    """Return how unlikely a feature is the cause of some crashes."""
    if len(servers) == len(record.crashes):
        return record.score
    return _sum_scores(record.crashes[server] for server in servers)


def _sum_scores(crashes: Iterable[ServerCrash]) -> tuple[float, float]:
    since_first_byte_s = since_sent_s = 0.0
    for crash in crashes:
        since_first_byte_s += round(crash.since_first_byte_s, _SCORE_DIGITS)
        since_sent_s += crash.since_sent_s
    return since_first_byte_s, -since_sent_s


def _get_rank(candidate: _Candidate, explained: dict[str, float]) -> _Rank:
    """Return a key that sorts candidates by how likely they are the cause.

    Of those that no server had begun to answer, the one that was on its servers
    longest is the likeliest to have started running.
    """
    record = candidate.record
    return (
        not candidate.is_confirmed,
        record.has_passed,
        -_count_unexplained(candidate, explained),
        -candidate.riders,
        *record.score,
        is_shared(candidate.feature),
        # Prompts begin with what most requests share.
        -min(crash.position for crash in record.crashes.values()),
        candidate.feature,
    )


def _count_unexplained(
    candidate: _Candidate, explained: dict[str, float]
) -> int:
    """Return the crashes of a feature that no likelier one explains.

    Args:
      candidate: the feature.
      explained: servers that crashed under likelier features, with the seconds
        since the first byte of the answer to that request.
    """
    return sum(
        crash.server not in explained
        or (
            not is_shared(candidate.feature)
            and 0.0 < crash.since_first_byte_s < explained[crash.server]
        )
        for crash in candidate.record.crashes.values()
    )


class SuspectTable:
    """Suspects that one node has, as its requests look them up.

    Attributes:
      version: term and number of the list that a leader announced.
      announced: that list.
    """

    def __init__(self) -> None:
        """Create a table without suspects."""
        self.version = (-1, 0)
        self.announced: tuple[Suspect, ...] = ()
        self._withheld: dict[str, Suspect] = {}
        self._tried: dict[str, tuple[int, int]] = {}

    def __bool__(self) -> bool:
        return bool(self._withheld)

    def update(
        self, announced: Iterable[Suspect], own: Iterable[Suspect]
    ) -> tuple[tuple[Suspect, ...], tuple[str, ...]]:
        """Apply what the leader announced and what this node found by itself.

        Args:
          announced: suspects that the leader announced.
          own: suspects that this node found.

        Returns:
          What is withheld from now on, and what no longer is.
        """
        both = (*announced, *own)
        former = self._withheld
        self._withheld = {
            suspect.content: suspect
            for suspect in reversed(both)
            if suspect.is_withheld
        }
        self._tried = {
            content: number
            for content, number in self._tried.items()
            if content in self._withheld
        }
        newly_withheld = tuple(
            suspect
            for content, suspect in self._withheld.items()
            if content not in former
        )
        return newly_withheld, tuple(
            content for content in former if content not in self._withheld
        )

    def find_withheld(
        self, content: str, parts: Iterable[str] = ()
    ) -> Suspect | None:
        """Return why a request is withheld, None when it is not.

        Args:
          content: identifier of its content.
          parts: identifiers of its other features.
        """
        return next(self._iterate_withheld({content, *parts}), None)

    def begin_trial(
        self, node: str, content: str, parts: Iterable[str]
    ) -> Suspect | None:
        """Let a withheld request try whether a feature crashes servers.

        Args:
          node: this node.
          content: identifier of its content.
          parts: identifiers of its other features.

        Returns:
          The feature, None if the request is not permitted.
        """
        features = {content, *parts}
        withheld = tuple(self._iterate_withheld(features))
        if len(withheld) != 1:
            return None
        suspect = withheld[0]
        trial = suspect.trial
        if trial is None or trial.node != node:
            return None
        number = (self.version[0], trial.number)
        if self._tried.get(suspect.content) == number:
            return None
        others = features.difference((suspect.content, *suspect.requires))
        if not others.isdisjoint(trial.avoids) or any(
            other.content in others for other in self.announced
        ):
            return None
        self._tried[suspect.content] = number
        return suspect

    def is_on_trial(self, tried: Suspect) -> bool:
        """Return whether the trial of a feature that has begun still holds."""
        suspect = self._withheld.get(tried.content)
        if suspect is None or suspect.trial is None or tried.trial is None:
            return False
        return suspect.trial.number == tried.trial.number

    def _iterate_withheld(self, features: set[str]) -> Iterator[Suspect]:
        """Iterate over the reasons for which a request is withheld."""
        for feature in features & self._withheld.keys():
            suspect = self._withheld[feature]
            if features.issuperset(suspect.requires):
                yield suspect

    def is_announced_withheld(self, content: str) -> bool:
        """Return whether the leader withholds a request."""
        return any(
            suspect.content == content and suspect.is_withheld
            for suspect in self.announced
        )

    def count_withheld(self) -> int:
        """Return how many requests are withheld."""
        return len(self._withheld)

    def list_withheld(self) -> tuple[Suspect, ...]:
        """Return the requests that are withheld."""
        return tuple(self._withheld.values())

"""Decides which features of requests crash servers, and withholds them.

The leader, or a node without one, counts the crashes under each feature.
"""

from collections.abc import Collection, Iterable, Sequence
import heapq
import itertools
from typing import NamedTuple

from chervilrock.decisions.serving.admission.crashrecords import (
    CrashRecord,
    MAX_DOUBTFUL_CRASHES,
    MAX_RECORDED_CRASHES,
    PASS_WAIT_S,
    sum_scores,
)
from chervilrock.decisions.serving.admission.features import is_shared
from chervilrock.decisions.serving.admission.suspects import (
    ServerCrash,
    Suspect,
    Trial,
)

MAX_CRASHES = 3
"""Servers that may crash under a feature before requests with it are
withheld."""

MIN_SURVIVAL_S = 0.2
"""Time for which a server must have answered a request when it crashes, so that
the crash may not be due to any feature of that request."""

MIN_SURVIVAL_RATIO = 4.0
"""How many times longer that must be than the server had answered another
request when it crashed."""

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

MAX_ANNOUNCED_CRASHES = 8
"""Crashes of a feature that are announced; later ones add no information on
it."""

_Rank = tuple[bool, bool, int, int, float, float, bool, int, str]


class _Candidate(NamedTuple):
    """A feature that may be withheld.

    Attributes:
      feature: the feature.
      record: its crashes.
      is_confirmed: whether it is shared and was found to be a cause before.
      riders: number of other features that all of its requests have.
    """

    feature: str
    record: CrashRecord
    is_confirmed: bool
    riders: int


class SuspectTracker:
    """Crashes of servers by the features of the requests that they had."""

    def __init__(self) -> None:
        """Create a tracker without suspects."""
        self._records: dict[str, CrashRecord] = {}
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
            record = CrashRecord(now)
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
        withheld: list[CrashRecord] = []
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
        self, record: CrashRecord, nodes: Sequence[str], now: float
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

    def _find_avoided(self, record: CrashRecord) -> tuple[str, ...]:
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
        self, suspects: dict[str, CrashRecord]
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

    def _describe_candidate(
        self, feature: str, record: CrashRecord
    ) -> _Candidate:
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
        self, record: CrashRecord, explained: dict[str, float]
    ) -> int:
        """Return the unexplained crashes of servers since the first one."""
        since = record.first_crash_at - SETTLE_S
        return sum(
            time >= since and server not in explained
            for server, time in self._crashed_at.items()
        )

    def _find_riders(self, record: CrashRecord) -> tuple[str, ...]:
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

    def _find_due(
        self, record: CrashRecord, suspects: Iterable[CrashRecord]
    ) -> float:
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

    def _list(self, suspects: dict[str, CrashRecord]) -> tuple[Suspect, ...]:
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


def _describe_trial(record: CrashRecord) -> Trial | None:
    """Return the trial to announce, for the next leader also a former one."""
    if record.trial is None and record.is_tried_singly:
        return Trial(0, "", (), record.failed_trials)
    return record.trial


def _find_latest_due(record: CrashRecord) -> float:
    """Return when to stop waiting for the report of a rival."""
    return record.settles_at + RIVAL_SETTLE_S


def _score(
    record: CrashRecord, servers: Collection[str]
) -> tuple[float, float]:
    """Return how unlikely a feature is the cause of some crashes."""
    if len(servers) == len(record.crashes):
        return record.score
    return sum_scores(record.crashes[server] for server in servers)


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

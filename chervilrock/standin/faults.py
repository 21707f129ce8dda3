"""Fault injection for stand-ins."""

import asyncio
import enum
import random
from typing import NotRequired, TypedDict


class FaultKind(enum.StrEnum):
    """A kind of fault to inject.

    LOSE_ANSWER: take effect, then close the connection without an answer.
    REFUSE: answer 503 with X-Not-Run before any effect.
    DELAY: wait `delay_ms` before the effect.
    ANSWER_LATE: wait `delay_ms` between the effect and the answer.
    OUTAGE: answer 503 before any effect, without X-Not-Run.
    CLOSE_REUSED: on a connection that has served a request before, take effect
      and close the connection without an answer.
    BREAK_STREAM: close the connection of a stream after `after_events`.
    REPEAT_EVENT: send an event of a stream twice.
    FOREIGN_EVENT: send an event of another request within a stream.
    HOLD_EVENT: send an event of a stream after the one that follows it.
    DROP_CACHE_EVENT: lose a cache event, which leaves a gap.
    IGNORE_FENCE: accept old fencing numbers of orders and requests.
    SLOW_TOKEN: add `delay_ms` to each step of the batch.
    """

    LOSE_ANSWER = "lose_answer"
    REFUSE = "refuse"
    DELAY = "delay"
    ANSWER_LATE = "answer_late"
    OUTAGE = "outage"
    CLOSE_REUSED = "close_reused"
    BREAK_STREAM = "break_stream"
    REPEAT_EVENT = "repeat_event"
    FOREIGN_EVENT = "foreign_event"
    HOLD_EVENT = "hold_event"
    DROP_CACHE_EVENT = "drop_cache_event"
    IGNORE_FENCE = "ignore_fence"
    SLOW_TOKEN = "slow_token"


class FaultRule(TypedDict):
    """A fault to inject and the requests that it applies to.

    Attributes:
      path: prefix of the paths that it applies to, all when missing.
      method: HTTP method that it applies to, all when missing.
      count: number of times that it applies, unlimited when missing.
      probability: probability of applying to a match, 1 when missing.
      delay_ms: length of a delay in milliseconds.
      after_events: number of events before a stream breaks.
    """

    kind: FaultKind
    path: NotRequired[str]
    method: NotRequired[str]
    count: NotRequired[int]
    probability: NotRequired[float]
    delay_ms: NotRequired[int]
    after_events: NotRequired[int]


class FaultOrder(TypedDict):
    """Body of `POST /faults`; missing members leave the state unchanged.

    Attributes:
      clear: whether to remove all rules first.
      rules: rules to add.
      paused: whether the stand-in is frozen.
    """

    clear: NotRequired[bool]
    rules: NotRequired[tuple[FaultRule, ...]]
    paused: NotRequired[bool]


class Faults:
    """The active fault rules, and whether the stand-in is frozen."""

    def __init__(self, *, rng: random.Random | None = None) -> None:
        """Creates an empty set of rules.

        Args:
          rng: random number generator for rules with a probability.
        """
        self._rng = rng or random.Random(0)
        self._rules: list[FaultRule] = []
        self._running = asyncio.Event()
        self._running.set()

    def add(self, rule: FaultRule) -> None:
        """Appends a copy of a rule."""
        self._rules.append(rule.copy())

    def clear(self, kind: FaultKind | None = None) -> None:
        """Removes the rules of one kind, or all rules."""
        self._rules = [
            rule for rule in self._rules if kind and rule["kind"] != kind
        ]

    def apply(self, order: FaultOrder) -> None:
        """Applies an order received over HTTP."""
        if order.get("clear", False):
            self.clear()
        for rule in order.get("rules", ()):
            self.add(rule)
        if "paused" in order:
            self.set_paused(order["paused"])

    def list_rules(self) -> tuple[FaultRule, ...]:
        """Returns the active rules with their remaining counts."""
        return tuple(self._rules)

    def strike(
        self, kind: FaultKind, path: str = "", method: str = ""
    ) -> FaultRule | None:
        """Decides whether a fault applies now, and decrements its count.

        Args:
          kind: kind of fault.
          path: path of the request.
          method: HTTP method of the request.

        Returns:
          The rule that applies, or None.
        """
        for rule in self._rules:
            if rule["kind"] == kind and self._matches(rule, path, method):
                self._decrement_count(rule)
                return rule
        return None

    def _matches(self, rule: FaultRule, path: str, method: str) -> bool:
        if not path.startswith(rule.get("path", "")):
            return False
        if rule.get("method", method) != method:
            return False
        probability = rule.get("probability", 1.0)
        return probability >= 1.0 or self._rng.random() < probability

    def _decrement_count(self, rule: FaultRule) -> None:
        if "count" not in rule:
            return
        rule["count"] -= 1
        if rule["count"] <= 0:
            self._rules.remove(rule)

    @property
    def paused(self) -> bool:
        """Whether the stand-in is frozen."""
        return not self._running.is_set()

    def set_paused(self, paused: bool) -> None:
        """Freezes or resumes the stand-in."""
        if paused:
            self._running.clear()
        else:
            self._running.set()

    async def wait_resumed(self) -> None:
        """Waits while the stand-in is frozen."""
        await self._running.wait()

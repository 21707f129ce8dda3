"""Arrivals for the bench of routing and limits.

The workload follows the users' needs, is independent of the policies and is
the same for every policy of a run:

* Ten workspaces, three of them large: each of these sends a quarter of the
  requests, each of the others a seventh of the remaining quarter.
* Each workspace has one system prompt of 512 to 2,048 tokens.
* Of the new arrivals without a long prompt, six in ten start a conversation of
  four turns on average, with a mean think time of 8 s after each answer; each
  turn repeats the whole conversation. The rest are single requests, with 128
  to 1,024 tokens of their own after the system prompt.
* One new arrival in twenty is a long prompt: a document of 8,000 to 12,000
  tokens without a shared prefix.
* Answers: log-normal, median 120 tokens, at most 600.
* Bursts: the rate changes between 0.6 times (10 s on average) and 1.8 times
  (5 s on average) the mean rate.
* One request in ten has priority 1, the others 5; 85 in 100 are idempotent.
* Callers time out after 60 s. A conversation keeps its entry node, as callers
  keep the address, and changes it in a fifth of its turns.
"""

import bisect
from collections.abc import Iterator
import heapq
import itertools
import random
from typing import NamedTuple

from bench import queue_model

LARGE_WORKSPACES = 3
SMALL_WORKSPACES = 7
CONVERSATION_SHARE = 0.6
LONG_SHARE = 0.05
MORE_TURNS = 0.75
THINKING_S = 8.0
TURN_TIME_S = 6.0
HIGH_RATE = 1.8
LOW_RATE = 0.6
HIGH_S = 5.0
LOW_S = 10.0
CALLER_WAIT_S = 60.0
NODE_CHANGE_SHARE = 0.2
SEEN_BLOCKS = 64
"""Prefix blocks that a node hashes of a prompt."""


class Arrival(NamedTuple):
    """A request that a caller sends to an entry node.

    Attributes:
      time: time of arrival in seconds
      number: identity of the request
      node: number of the entry node
      workspace: name of the workspace
      blocks: hashes of all full blocks of the prompt
      prompt_tokens: length of the prompt
      answer_tokens: length of the answer
      answer_blocks: hashes of the blocks of prompt and answer together
      priority: 0 (first) to 9 (last)
      idempotent: whether it may run more than once
    """

    time: float
    number: int
    node: int
    workspace: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int
    answer_blocks: tuple[int, ...]
    priority: int
    idempotent: bool


class _Turn(NamedTuple):
    time: float
    order: int
    node: int
    workspace: str
    text: tuple[int, ...]


class Workload:
    """Draws the arrivals of one run."""

    def __init__(
        self,
        *,
        rate: float,
        seconds: float,
        nodes: int,
        seed: int,
        weights: dict[str, float] | None = None,
    ) -> None:
        """Create the workload of one run.

        Args:
          rate: mean requests in a second.
          seconds: time in which requests arrive.
          nodes: number of entry nodes.
          seed: seed of all draws.
          weights: share of the requests by workspace; None for the ten
            workspaces of the description.
        """
        self._rng = random.Random(seed)
        self._rate = rate
        self._seconds = seconds
        self._nodes = nodes
        self._weights = weights or default_weights()
        self._blocks = itertools.count(1)
        self._system_prompts = {
            name: self._new_blocks(512, 2048) for name in self._weights
        }

    def arrivals(self) -> Iterator[Arrival]:
        """Yield the requests in the order of time."""
        numbers = itertools.count(1)
        turns: list[_Turn] = []
        orders = itertools.count()
        for time in self._start_times():
            turns_until = time
            while turns and turns[0].time <= turns_until:
                yield self._continue(heapq.heappop(turns), numbers, turns)
            yield self._start(time, numbers, turns, orders)
        while turns:
            turn = heapq.heappop(turns)
            if turn.time < self._seconds:
                yield self._continue(turn, numbers, turns)

    def _start_times(self) -> Iterator[float]:
        turns = 1.0 / (1.0 - MORE_TURNS)
        mean = (1.0 - LONG_SHARE) * (
            CONVERSATION_SHARE * turns + 1.0 - CONVERSATION_SHARE
        ) + LONG_SHARE
        rate = self._rate / mean
        time = 0.0
        high = False
        change = self._rng.expovariate(1.0 / LOW_S)
        while True:
            factor = HIGH_RATE if high else LOW_RATE
            gap = self._rng.expovariate(rate * factor)
            if time + gap > change:
                time = change
                high = not high
                mean_stay = HIGH_S if high else LOW_S
                change = time + self._rng.expovariate(1.0 / mean_stay)
                continue
            time += gap
            if time >= self._seconds:
                return
            yield time

    def _start(
        self,
        time: float,
        numbers: Iterator[int],
        turns: list[_Turn],
        orders: Iterator[int],
    ) -> Arrival:
        names = list(self._weights)
        weights = list(self._weights.values())
        workspace = self._rng.choices(names, weights)[0]
        node = self._rng.randrange(self._nodes)
        if self._rng.random() < LONG_SHARE:
            return self._make(
                time, numbers, node, workspace, self._new_blocks(8000, 12000)
            )
        text = self._system_prompts[workspace]
        if self._rng.random() < CONVERSATION_SHARE:
            text += self._new_blocks(64, 512)
            arrival = self._make(time, numbers, node, workspace, text)
            self._plan_turn(arrival, turns, next(orders))
            return arrival
        text += self._new_blocks(128, 1024)
        return self._make(time, numbers, node, workspace, text)

    def _continue(
        self, turn: _Turn, numbers: Iterator[int], turns: list[_Turn]
    ) -> Arrival:
        text = turn.text + self._new_blocks(64, 256)
        arrival = self._make(
            turn.time, numbers, turn.node, turn.workspace, text
        )
        self._plan_turn(arrival, turns, turn.order)
        return arrival

    def _plan_turn(
        self, arrival: Arrival, turns: list[_Turn], order: int
    ) -> None:
        if self._rng.random() >= MORE_TURNS:
            return
        pause = TURN_TIME_S + self._rng.expovariate(1.0 / THINKING_S)
        node = arrival.node
        if self._rng.random() < NODE_CHANGE_SHARE:
            node = self._rng.randrange(self._nodes)
        turn = _Turn(
            time=arrival.time + pause,
            order=order,
            node=node,
            workspace=arrival.workspace,
            text=arrival.answer_blocks,
        )
        heapq.heappush(turns, turn)

    def _make(
        self,
        time: float,
        numbers: Iterator[int],
        node: int,
        workspace: str,
        text: tuple[int, ...],
    ) -> Arrival:
        answer = int(min(600, max(1, self._rng.lognormvariate(4.79, 0.7))))
        answer_blocks = tuple(
            next(self._blocks)
            for _ in range(answer // queue_model.BLOCK_TOKENS)
        )
        extra = self._rng.randrange(queue_model.BLOCK_TOKENS)
        return Arrival(
            time=time,
            number=next(numbers),
            node=node,
            workspace=workspace,
            blocks=text,
            prompt_tokens=len(text) * queue_model.BLOCK_TOKENS + extra,
            answer_tokens=answer,
            answer_blocks=text + answer_blocks,
            priority=1 if self._rng.random() < 0.1 else 5,
            idempotent=self._rng.random() < 0.85,
        )

    def _new_blocks(self, least: int, most: int) -> tuple[int, ...]:
        tokens = self._rng.randint(least, most)
        count = max(1, tokens // queue_model.BLOCK_TOKENS)
        return tuple(next(self._blocks) for _ in range(count))


def fit_rate(
    arrivals: list[Arrival], *, rate: float, start: float, end: float
) -> list[Arrival]:
    """Scale the times so that a window gets exactly the mean rate.

    Bursts make the number of requests of a short run vary by a tenth and
    more, so that the load of a result would not be the intended one.

    Args:
      arrivals: requests in the order of time, for longer than the window.
      rate: requests in a second that the window gets.
      start: start of the window in seconds.
      end: end of the window in seconds.

    Returns:
      The requests up to the end of the window.
    """
    wanted = round(rate * (end - start))
    times = [arrival.time for arrival in arrivals]
    least, most = 0.5, 2.0
    for _ in range(40):
        factor = (least + most) / 2.0
        count = bisect.bisect_left(times, end / factor) - bisect.bisect_left(
            times, start / factor
        )
        if count > wanted:
            least = factor
        else:
            most = factor
    return [
        arrival._replace(time=arrival.time * most)
        for arrival in arrivals
        if arrival.time * most < end
    ]


def default_weights() -> dict[str, float]:
    """Return the share of the requests of each of the ten workspaces."""
    weights = {f"large{i}": 0.25 for i in range(LARGE_WORKSPACES)}
    rest = (1.0 - sum(weights.values())) / SMALL_WORKSPACES
    weights |= {f"small{i}": rest for i in range(SMALL_WORKSPACES)}
    return weights

"""Model of a replica group with continuous batching, under fake time.

It models only what affects routing and limits. An engine runs steps. In each
step every decoding stream gets one token and up to `CHUNK_TOKENS` tokens of
the waiting prompts are computed, in the order of priority and arrival. A step
takes a fixed time, plus a time for each decoding stream, plus a time for each
prompt token. Blocks of prompt prefixes stay in the KV cache until their memory
is needed; the least recently used block is evicted first. Running requests
reserve memory for their prompt and answer; a request waits while the batch or
the memory is full.

The constants describe a current engine (about 25 ms a step with a full batch,
12,500 prompt tokens a second) and are not fitted to any policy.
"""

import bisect
import collections
import math
from typing import NamedTuple

BLOCK_TOKENS = 64
CHUNK_TOKENS = 512
MAX_BATCH = 32
KV_TOKENS = 96_000
STEP_S = 0.015
STEP_PER_STREAM_S = 0.0003
STEP_PER_PROMPT_TOKEN_S = 0.00008


class Job(NamedTuple):
    """An attempt as the engine sees it.

    Attributes:
      attempt: identity of the attempt
      priority: 0 (first) to 9 (last)
      blocks: hashes of all full blocks of the prompt
      prompt_tokens: length of the prompt
      answer_tokens: length of the answer
      answer_blocks: hashes of the blocks of prompt and answer together
    """

    attempt: int
    priority: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int
    answer_blocks: tuple[int, ...]


class StepResult(NamedTuple):
    """Result of a step.

    Attributes:
      duration: length of the step in seconds
      decoding: streams that got another token
      first: attempts that got their first token
      finished: attempts that got their last token
    """

    duration: float
    decoding: int
    first: tuple[int, ...]
    finished: tuple[int, ...]


class _Prefill:
    """A prompt that is being computed."""

    __slots__ = ("job", "left", "order")

    def __init__(self, job: Job, order: tuple[int, int], left: int) -> None:
        self.job = job
        self.order = order
        self.left = left


class PrefixCache:
    """Prefix blocks in the memory that running requests leave free."""

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.stored: list[int] = []
        self.dropped: list[int] = []

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached; mark them as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def add(self, blocks: tuple[int, ...]) -> None:
        """Store blocks as the most recently used."""
        for block in blocks:
            if block not in self._blocks:
                self.stored.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)

    def shrink(self, room: int) -> None:
        """Drop the least recently used blocks down to `room` blocks."""
        while len(self._blocks) > max(0, room):
            self.dropped.append(self._blocks.popitem(last=False)[0])


class Engine:
    """A replica group seen as one engine."""

    def __init__(self) -> None:
        """Create an idle engine with an empty cache and normal speed."""
        self.slowness = 1.0
        self.cache = PrefixCache()
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self._arrivals = 0
        self._steps = 0
        self._waiting: list[tuple[int, int, Job]] = []
        self._prefills: list[_Prefill] = []
        self._decoding: dict[int, Job] = {}
        self._first_steps: dict[int, int] = {}
        self._finish_at: dict[int, list[int]] = {}
        self._reserved = 0

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._prefills) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Requests that wait for the batch."""
        return len(self._waiting)

    @property
    def cache_used(self) -> float:
        """Share of the KV cache held by running requests."""
        return self._reserved / KV_TOKENS

    def is_idle(self) -> bool:
        """Return whether no request waits or runs."""
        return not self.running and not self._waiting

    def attempts(self) -> list[int]:
        """Return all attempts that wait or run."""
        waiting = [job.attempt for _, _, job in self._waiting]
        prefills = [entry.job.attempt for entry in self._prefills]
        return waiting + prefills + list(self._decoding)

    def progress(self) -> list[tuple[int, int]]:
        """Return the decoding attempts with their numbers of tokens."""
        return [
            (attempt, self._steps - self._first_steps[attempt] + 1)
            for attempt in self._decoding
        ]

    def submit(self, job: Job) -> None:
        """Add a request to the queue."""
        self._arrivals += 1
        bisect.insort(self._waiting, (job.priority, self._arrivals, job))

    def cancel(self, attempt: int) -> None:
        """Drop an attempt that waits or runs."""
        self._waiting = [
            entry for entry in self._waiting if entry[2].attempt != attempt
        ]
        for entry in self._prefills:
            if entry.job.attempt == attempt:
                self._prefills.remove(entry)
                self._reserved -= _count_reserved_tokens(entry.job)
                break
        job = self._decoding.pop(attempt, None)
        self._first_steps.pop(attempt, None)
        if job is not None:
            self._reserved -= _count_reserved_tokens(job)

    def step(self) -> StepResult:
        """Run one step."""
        self._fill_batch()
        self._steps += 1
        computed, ready = self._compute_prompts()
        finished = [
            attempt
            for attempt in self._finish_at.pop(self._steps, ())
            if attempt in self._decoding
        ]
        decoding = len(self._decoding)
        for attempt in finished:
            del self._first_steps[attempt]
            self._finish(self._decoding.pop(attempt))
        first = []
        for job in ready:
            first.append(job.attempt)
            if self._start_decoding(job):
                finished.append(job.attempt)
        duration = self.slowness * (
            STEP_S
            + STEP_PER_STREAM_S * decoding
            + STEP_PER_PROMPT_TOKEN_S * computed
        )
        return StepResult(duration, decoding, tuple(first), tuple(finished))

    def _fill_batch(self) -> None:
        while self._waiting and self.running < MAX_BATCH:
            priority, arrival, job = self._waiting[0]
            if (
                self._reserved
                and self._reserved + _count_reserved_tokens(job) > KV_TOKENS
            ):
                return
            del self._waiting[0]
            self._reserved += _count_reserved_tokens(job)
            matched = self.cache.match(job.blocks) * BLOCK_TOKENS
            self.cache.shrink((KV_TOKENS - self._reserved) // BLOCK_TOKENS)
            # The last token is always computed, as the first token of the
            # answer comes from it.
            left = max(1, job.prompt_tokens - matched)
            self.prompt_tokens += job.prompt_tokens
            self.cached_tokens += job.prompt_tokens - left
            entry = _Prefill(job, (priority, arrival), left)
            bisect.insort(self._prefills, entry, key=lambda each: each.order)

    def _compute_prompts(self) -> tuple[int, list[Job]]:
        budget = CHUNK_TOKENS
        ready = []
        while self._prefills and budget:
            entry = self._prefills[0]
            done = min(entry.left, budget)
            entry.left -= done
            budget -= done
            if entry.left:
                break
            del self._prefills[0]
            ready.append(entry.job)
        return CHUNK_TOKENS - budget, ready

    def _start_decoding(self, job: Job) -> bool:
        """Start the answer; return whether its first token is its last."""
        self._add_to_cache(job.blocks)
        if job.answer_tokens <= 1:
            self._finish(job)
            return True
        self._decoding[job.attempt] = job
        self._first_steps[job.attempt] = self._steps
        last_step = self._steps + job.answer_tokens - 1
        self._finish_at.setdefault(last_step, []).append(job.attempt)
        return False

    def _finish(self, job: Job) -> None:
        self._reserved -= _count_reserved_tokens(job)
        self._add_to_cache(job.answer_blocks)

    def _add_to_cache(self, blocks: tuple[int, ...]) -> None:
        self.cache.add(blocks)
        self.cache.shrink((KV_TOKENS - self._reserved) // BLOCK_TOKENS)


def _count_reserved_tokens(job: Job) -> int:
    tokens = job.prompt_tokens + job.answer_tokens
    return math.ceil(tokens / BLOCK_TOKENS) * BLOCK_TOKENS

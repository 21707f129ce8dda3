"""Cost of sending a request to a group, in prompt tokens to compute.

The cost stands for the time to the first token. A token is the unit, since
the time for one is the same for all groups of a model but for the slowness
that a group has shown.
"""

from typing import NamedTuple

BLOCK_TOKENS = 64
"""Tokens taken for a prefix block of `base.BLOCK_CHARS` characters."""

OWN_TOKENS = 200.0
"""Cost of an own stream in progress.

It is much more than that of a reported one: own streams are counted without
delay, and when every node spreads its own evenly, the sum is even as well.
"""

STREAM_TOKENS = 20.0
"""Cost of a stream in progress at the group, as last reported."""

WAITING_TOKENS = 400.0
"""Cost of a request that waits at the engine."""

FULL_TOKENS = 600.0
"""Cost of a full batch or memory."""

REMOTE_TOKENS = 15.0
"""Cost of another data centre (about a millisecond)."""

SPREAD_TOKENS = 32.0
"""Greatest cost by which hashing prefers one group to another.

It makes nodes that know nothing of a prefix choose the same group for it.
"""

MAX_SLOWNESS = 4.0


class GroupState(NamedTuple):
    """What a node believes of a group, for one request.

    Attributes:
      uncached: prompt tokens of the request that the group has to compute
      pending: tokens of own prompts that wait for their first token there
      own: own streams
      streams: streams of all nodes
      waiting: requests that wait at the engine
      full: whether the batch or the memory is full
      slowness: time for a token, in those of the median group
      remote: whether it is in another data centre
      spread: number from 0 to 1 that all nodes draw alike for the prefix
    """

    uncached: float
    pending: float
    own: int
    streams: float
    waiting: int
    full: bool
    slowness: float
    remote: bool
    spread: float


def estimate_cost(state: GroupState) -> float:
    """Return the cost of a group in prompt tokens."""
    tokens = (
        state.uncached
        + state.pending
        + OWN_TOKENS * state.own
        + STREAM_TOKENS * state.streams
        + WAITING_TOKENS * state.waiting
    )
    if state.full:
        tokens += FULL_TOKENS
    slowness = min(MAX_SLOWNESS, max(1.0, state.slowness))
    distance = REMOTE_TOKENS if state.remote else 0.0
    return tokens * slowness + distance + SPREAD_TOKENS * state.spread


def count_uncached(prompt_tokens: int, cached_blocks: int) -> float:
    """Return the prompt tokens that are to be computed, at least one."""
    return float(max(1, prompt_tokens - cached_blocks * BLOCK_TOKENS))

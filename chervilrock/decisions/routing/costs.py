"""Cost of sending a request to a group, in prompt tokens to compute.

The cost approximates the time to the first token. Its unit is the token, since
all groups of a model take the same time for a token except for the slowness
that a group has shown.
"""

from typing import NamedTuple

BLOCK_TOKENS = 64
"""Estimated tokens in a prefix block of `base.BLOCK_CHARS` characters."""

OWN_ATTEMPT_TOKENS = 200.0
"""Cost of an own attempt in progress, in addition to `ANY_ATTEMPT_TOKENS`.

It is much more than the cost of a reported attempt: own attempts are counted
without delay, and when every node balances its own, the sum is balanced too.
"""

ANY_ATTEMPT_TOKENS = 20.0
"""Cost of an attempt of any node in progress, as last reported."""

WAITING_REQUEST_TOKENS = 400.0
"""Cost of a request that waits at the engine."""

FULL_GROUP_TOKENS = 600.0
"""Cost of a full batch or KV cache."""

REMOTE_GROUP_TOKENS = 15.0
"""Cost of a group in another data centre, about a millisecond."""

RENDEZVOUS_TOKENS = 32.0
"""Greatest cost by which rendezvous hashing prefers one group to another.

It makes nodes without data on a prefix choose the same group for it.
"""

MAX_SLOWNESS = 4.0


class GroupState(NamedTuple):
    """Estimated state of a group, for one request.

    Attributes:
      uncached_tokens: prompt tokens that the group has to compute
      pending_tokens: tokens of own prompts that await their first token there
      own_attempts: own attempts in progress
      total_attempts: attempts of all nodes in progress
      waiting_requests: requests that wait at the engine
      is_full: whether the batch or the KV cache is full
      slowness: token time as a multiple of that of the median group
      is_remote: whether it is in another data centre
      rendezvous: hash of prefix and group from 0 to 1, equal at all nodes
    """

    uncached_tokens: float
    pending_tokens: float
    own_attempts: int
    total_attempts: float
    waiting_requests: int
    is_full: bool
    slowness: float
    is_remote: bool
    rendezvous: float


def estimate_cost(state: GroupState) -> float:
    """Return the cost of a group in prompt tokens."""
    tokens = (
        state.uncached_tokens
        + state.pending_tokens
        + OWN_ATTEMPT_TOKENS * state.own_attempts
        + ANY_ATTEMPT_TOKENS * state.total_attempts
        + WAITING_REQUEST_TOKENS * state.waiting_requests
    )
    if state.is_full:
        tokens += FULL_GROUP_TOKENS
    slowness = min(MAX_SLOWNESS, max(1.0, state.slowness))
    remote_tokens = REMOTE_GROUP_TOKENS if state.is_remote else 0.0
    return (
        tokens * slowness + remote_tokens + RENDEZVOUS_TOKENS * state.rendezvous
    )


def count_uncached(prompt_tokens: int, cached_blocks: int) -> float:
    """Return the number of prompt tokens to compute, at least one."""
    return float(max(1, prompt_tokens - cached_blocks * BLOCK_TOKENS))

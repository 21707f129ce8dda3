"""Types of the routing decisions and the base class of their policies.

A policy chooses the replica group that receives a request. Its only input is
the events that the node forwards to it: those of the node's own requests, the
load reports of engines, which lag, and their cache events, which arrive late
and with gaps.
"""

import abc
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from chervilrock.generated import interfaces

BLOCK_CHARS = 256
"""Characters of prompt text in a prefix block."""

PROGRESS_TOKENS = 16
"""Least number of tokens between calls of `RoutingPolicy.on_progress`."""

MAX_BLOCKS = 64
"""Greatest number of prefix blocks of a prompt that are hashed."""


class Endpoint(NamedTuple):
    """A replica group that may receive requests now.

    Attributes:
      group: name of the replica group
      fence: fencing number under which its hosts hold it
      model: model that it serves
      version: version in the weight store
      adapters: adapters that it has loaded
      address: IP:port of the engine with rank 0
      data_centre: data centre of the engine with rank 0
      size: number of hosts in the group
    """

    group: str
    fence: int
    model: str
    version: str
    adapters: tuple[str, ...]
    address: str
    data_centre: str
    size: int


class RequestView(NamedTuple):
    """The properties of a request that decisions use.

    Attributes:
      request_id: identity of the request, unique at this node
      workspace: workspace of the caller
      model: model that the caller names
      adapter: adapter that the caller names, empty for none
      prefix_blocks: hashes of ever longer prefixes of the prompt
      prompt_tokens: estimated length of the prompt in tokens
      max_tokens: most tokens that the answer may have
      priority: 0 (first) to 9 (last)
      idempotent: whether it may run more than once
      deadline: time in seconds after which the caller no longer waits
    """

    request_id: str
    workspace: str
    model: str
    adapter: str
    prefix_blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int
    idempotent: bool
    deadline: float


class RoutingPolicy(abc.ABC):
    """Chooses a replica group for a request.

    The `on_` methods update the state of a policy. They do nothing by
    default, so a policy overrides only those that it needs. All times are
    in seconds of one monotonic clock.
    """

    @abc.abstractmethod
    def choose(
        self,
        request: RequestView,
        endpoints: Sequence[Endpoint],
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
    ) -> Endpoint | None:
        """Choose the group that receives a request.

        Args:
          request: the request to send.
          endpoints: the groups that are complete and serving now.
          now: present time.
          exclude: groups that must not receive this request, such as those of
            earlier attempts.

        Returns:
          One of `endpoints` that serves the model and adapter and is not
          excluded, or None when there is none.
        """

    def on_sent(
        self, request: RequestView, endpoint: Endpoint, now: float
    ) -> None:
        """Handle an attempt that was sent to a group."""
        del request, endpoint, now

    def on_first_token(
        self,
        request: RequestView,
        endpoint: Endpoint,
        now: float,
        waited_s: float,
    ) -> None:
        """Handle a first token that came `waited_s` seconds after sending."""
        del request, endpoint, now, waited_s

    def on_progress(
        self,
        request: RequestView,
        endpoint: Endpoint,
        now: float,
        tokens: int,
    ) -> None:
        """Handle progress: `tokens` tokens of the answer have come so far.

        One call every `PROGRESS_TOKENS` tokens is enough. Without these calls,
        a group that becomes slow is detected only when its answers end.
        """
        del request, endpoint, now, tokens

    def on_done(
        self,
        request: RequestView,
        endpoint: Endpoint,
        now: float,
        ok: bool,
        tokens: int,
    ) -> None:
        """Handle the end of an attempt.

        Args:
          request: the request.
          endpoint: the group that the attempt was sent to.
          now: present time.
          ok: False when the attempt failed at the group; True when it
            completed or the node cancelled it.
          tokens: number of tokens of the answer that came.
        """
        del request, endpoint, now, ok, tokens

    def on_load_report(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Handle a load report of a group."""
        del group, load, now

    def on_cache_event(
        self, group: str, event: interfaces.CacheEvent, now: float
    ) -> None:
        """Handle a prefix block that entered or left the cache of a group."""
        del group, event, now


def serves(endpoint: Endpoint, request: RequestView) -> bool:
    """Return whether a group serves the model and adapter of a request."""
    if endpoint.model != request.model:
        return False
    return not request.adapter or request.adapter in endpoint.adapters


def filter_endpoints(
    request: RequestView,
    endpoints: Sequence[Endpoint],
    exclude: frozenset[str],
) -> list[Endpoint]:
    """Return the groups that serve a request and are not excluded."""
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.group not in exclude and serves(endpoint, request)
    ]


def hash_prefix_blocks(text: str) -> tuple[int, ...]:
    """Hash ever longer prefixes of a prompt, one for each full block.

    The hash of a block covers everything before it too, so two prompts share
    the first n hashes only when they share the first n blocks. At most
    `MAX_BLOCKS` blocks are hashed, which bounds the cost for long prompts.

    Args:
      text: the prompt.

    Returns:
      64-bit hashes, empty for a prompt shorter than a block.
    """
    count = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    hashes = []
    previous = 0
    for index in range(count):
        start = index * BLOCK_CHARS
        block = text[start : start + BLOCK_CHARS]
        previous = xxhash.xxh3_64_intdigest(
            block.encode("utf-8", "surrogatepass"), seed=previous
        )
        hashes.append(previous)
    return tuple(hashes)


def format_block(block: int) -> str:
    """Format a block hash in hexadecimal, as in cache events."""
    return f"{block:016x}"


def parse_block(text: str) -> int | None:
    """Return the block hash of a cache event, or None if it is malformed."""
    try:
        return int(text, 16)
    except ValueError:
        return None

"""Types of the routing decisions and the base class of their policies.

A policy chooses the replica group that gets a request. It learns only from
the events that the node hands to it: its own requests, the load reports of
engines, which lag, and their cache events, which come late and with gaps.
"""

import abc
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from chervilrock.generated import interfaces

BLOCK_CHARS = 256
"""Characters of prompt text in a prefix block."""

PROGRESS_TOKENS = 16
"""Tokens of an answer between two calls of `RoutingPolicy.on_progress`."""

MAX_BLOCKS = 64
"""Most prefix blocks that are hashed of a prompt."""


class Endpoint(NamedTuple):
    """A replica group that may get requests now.

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
    """What the decisions know of a request.

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

    The events keep what a policy has learnt up to date. Each does nothing by
    default, so that a policy takes only those that it needs. All times are
    seconds of one monotonic clock.
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
        """Choose the group that gets a request.

        Args:
          request: the request to send.
          endpoints: the groups that are whole and serving now.
          now: present time.
          exclude: groups that must not get this request, such as those of
            earlier attempts.

        Returns:
          One of `endpoints` that serves the model and adapter and is not
          excluded, or None when there is none.
        """

    def on_sent(
        self, request: RequestView, endpoint: Endpoint, now: float
    ) -> None:
        """Learn that an attempt was sent to a group."""
        del request, endpoint, now

    def on_first_token(
        self,
        request: RequestView,
        endpoint: Endpoint,
        now: float,
        waited: float,
    ) -> None:
        """Learn that the first token came `waited` seconds after sending."""
        del request, endpoint, now, waited

    def on_progress(
        self,
        request: RequestView,
        endpoint: Endpoint,
        now: float,
        tokens: int,
    ) -> None:
        """Learn that `tokens` tokens of the answer have come so far.

        It is enough to tell every `PROGRESS_TOKENS` tokens. Without it, a
        group that turns slow is found only when its answers end.
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
        """Learn that an attempt ended.

        Args:
          request: the request.
          endpoint: the group that had the attempt.
          now: present time.
          ok: False when the group failed it; True also when the node
            cancelled it.
          tokens: tokens of answer that came.
        """
        del request, endpoint, now, ok, tokens

    def on_load_report(
        self, group: str, load: interfaces.EngineLoad, now: float
    ) -> None:
        """Learn from a load report of a group."""
        del group, load, now

    def on_cache_event(
        self, group: str, event: interfaces.CacheEvent, now: float
    ) -> None:
        """Learn that a prefix block entered or left the cache of a group."""
        del group, event, now


def serves(endpoint: Endpoint, request: RequestView) -> bool:
    """Tell whether a group serves the model and adapter of a request."""
    if endpoint.model != request.model:
        return False
    return not request.adapter or request.adapter in endpoint.adapters


def filter_endpoints(
    request: RequestView,
    endpoints: Sequence[Endpoint],
    exclude: frozenset[str],
) -> list[Endpoint]:
    """Keep the groups that serve a request and are not excluded."""
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
    """Write a block hash as cache events carry it, in hexadecimal."""
    return f"{block:016x}"


def parse_block(text: str) -> int | None:
    """Read a block hash of a cache event, or None when it is malformed."""
    try:
        return int(text, 16)
    except ValueError:
        return None

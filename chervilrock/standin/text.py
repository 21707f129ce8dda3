"""Deterministic answers of the engine stand-in."""

from collections.abc import Mapping
import hashlib
from typing import Any

import xxhash

DEFAULT_MAX_TOKENS = 16

BLOCK_CHARACTERS = 64
_DIGEST_BYTES = 8
_WORDS = (
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "heath",
    "inlet", "jetty", "knoll", "ledge", "marsh", "north", "ocean", "plain",
    "quarry", "ridge", "shore", "thorn", "upland", "valley", "willow", "yard",
)  # fmt: skip


def format_prompt(body: Mapping[str, Any]) -> str:
    """Returns the canonical prompt of a completion or chat request.

    Args:
      body: decoded body with `prompt` or with `messages`.

    Returns:
      The prompt as one text; each message of a chat is a line `ROLE: TEXT`.
    """
    if "messages" not in body:
        return _join_texts(body.get("prompt", ""))
    lines = [
        f"{message['role']}: {_join_texts(message.get('content'))}"
        for message in body["messages"]
    ]
    return "\n".join(lines)


def _join_texts(content: object) -> str:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    return "".join(
        part.get("text", "") if isinstance(part, dict) else str(part)
        for part in content
    )


def hash_request(model: str, prompt: str) -> int:
    """Returns a number that identifies a model and a prompt."""
    digest = hashlib.blake2b(
        f"{model}\0{prompt}".encode(), digest_size=_DIGEST_BYTES
    )
    return int.from_bytes(digest.digest(), "big")


def make_token(digest: int, index: int) -> str:
    """Returns one token of an answer.

    Args:
      digest: result of `hash_request`.
      index: index of the token from 0; token 0 is the whole digest.
    """
    if index == 0:
        return f"{digest:016x}"
    word = _WORDS[
        xxhash.xxh64_intdigest(str(index).encode(), digest) % len(_WORDS)
    ]
    return f" {word}-{index}"


def expected_text(
    model: str, prompt: str, max_tokens: int = DEFAULT_MAX_TOKENS
) -> tuple[str, ...]:
    """Returns the tokens of the whole answer to a request.

    Answers to two requests differ unless model and prompt are the same. A
    lost, duplicated or reordered token is detectable, because each token
    contains its index.

    Args:
      model: model as the caller names it, with the adapter.
      prompt: result of `format_prompt`.
      max_tokens: number of tokens.
    """
    digest = hash_request(model, prompt)
    return tuple(make_token(digest, index) for index in range(max_tokens))


def list_prefix_blocks(model: str, prompt: str) -> tuple[str, ...]:
    """Returns the hashes of the full prefix blocks of a prompt, in order."""
    digest = hashlib.blake2b(f"{model}\0".encode(), digest_size=_DIGEST_BYTES)
    blocks = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        blocks.append(digest.hexdigest())
    return tuple(blocks)

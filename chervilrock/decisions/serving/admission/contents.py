"""Identifies attempts of callers that are the same request."""

import xxhash

MAX_SHOWN_CHARACTERS = 64
"""Characters of a workspace's name in an identifier, which has to be short."""


def identify_content(
    *, method: str, host: str, target: str, workspace: str, body: bytes
) -> str:
    """Return a short identifier of the content of a request.

    It is equal for all attempts with the same content, whichever request
    identifier they have. The workspace is part of it in plain text, so that no
    caller can construct a request that is mistaken for one of another
    workspace.

    Args:
      method: HTTP method.
      host: host in the request, with or without a port.
      target: path and query.
      workspace: customer, empty when none is known.
      body: the whole body.
    """
    state = xxhash.xxh3_64()
    hostname = host.partition(":")[0].lower()
    # No field of the head can contain a line break.
    state.update(f"{method}\n{hostname}\n{target}\n{workspace}\n".encode())
    state.update(body)
    return f"{workspace[:MAX_SHOWN_CHARACTERS]}/{state.hexdigest()}"

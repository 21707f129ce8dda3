"""What makes two attempts of callers the same request."""

import xxhash

MAX_SHOWN = 64
"""Characters of a workspace's name that are shown; keys are short."""


def identify_content(
    *, method: str, host: str, target: str, workspace: str, body: bytes
) -> str:
    """Return a short name for what a caller asks for.

    It is equal for all attempts with the same content, whichever identifier
    they bear. The workspace is part of it in plain, so that no caller can make
    a request that is taken for one of another workspace.

    Args:
      method: HTTP method.
      host: host that the request names, with or without a port.
      target: path and query.
      workspace: customer, empty when none is known.
      body: the whole body.
    """
    state = xxhash.xxh3_64()
    name = host.partition(":")[0].lower()
    # No field of the head can hold a line break.
    state.update(f"{method}\n{name}\n{target}\n{workspace}\n".encode())
    state.update(body)
    return f"{workspace[:MAX_SHOWN]}/{state.hexdigest()}"

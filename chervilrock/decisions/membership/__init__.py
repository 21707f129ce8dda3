"""Which nodes there are, and which of them callers should use."""

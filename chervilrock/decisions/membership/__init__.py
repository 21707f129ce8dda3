"""Membership of nodes, and the nodes that callers should use."""

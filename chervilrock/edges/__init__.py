"""HTTP handlers and clients at the edges of a node."""

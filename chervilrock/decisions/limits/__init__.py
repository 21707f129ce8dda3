"""Limits on the requests that a node admits."""

"""Limits on the requests that a node lets through."""

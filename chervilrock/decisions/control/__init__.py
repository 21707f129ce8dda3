"""Decisions of a region's controller about hosts and groups."""

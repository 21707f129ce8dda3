"""Reads of the store: by whom, how often, and whether it answers."""

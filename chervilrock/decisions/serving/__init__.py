"""Decisions of a node that serves on the platform of its users."""

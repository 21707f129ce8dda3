"""A serving system for models whose replicas span several hosts."""

__version__ = "0.1.0"

"""The plan: which groups are formed, where, and of which hosts."""

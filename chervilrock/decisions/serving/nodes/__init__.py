"""The nodes among themselves: leader, relays, and whom callers use."""

"""Pure decisions: no sockets, no clock, no hidden randomness."""

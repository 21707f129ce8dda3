"""Pure decision logic: no I/O, no clock, no hidden randomness."""

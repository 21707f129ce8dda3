"""The demonstration: a whole installation under load and failures."""

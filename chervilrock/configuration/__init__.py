"""Reads and checks configuration files and settings, with locations."""

"""Configuration files and settings, checked with places."""

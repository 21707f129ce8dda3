"""Settings and fixtures shared by all tests."""

from hypothesis import settings

pytest_plugins = ["pytester", "test.known_red"]

settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
settings.load_profile("repeatable")

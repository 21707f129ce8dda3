"""Test doubles (stand-ins) of the platform and of the backend servers."""

"""Clients of the platform services and of the backend servers."""

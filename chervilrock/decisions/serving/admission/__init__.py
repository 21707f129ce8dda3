"""Decisions on requests: their route, place, order, wait and retries."""

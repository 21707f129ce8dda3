"""Decisions about requests: attempts, outcomes, tickets and keys."""

"""Request decisions: attempts, outcomes, tickets and idempotency keys."""

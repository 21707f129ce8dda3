"""Benches: each module of this package measures one part of the product."""

"""Adapter to the platform of the users.

It translates the names, formats and calls of the platform into the types of
the project and back, and decides nothing. No other part of the package knows
a name of the platform.
"""

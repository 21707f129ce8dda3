"""Adapter to the platform of the users.

Translates the names, formats and calls of the platform into the types of the
project and back, and contains no decisions. No other part of the package uses
a name of the platform, except the stand-ins for it.
"""

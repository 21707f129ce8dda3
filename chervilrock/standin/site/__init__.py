"""Stand-in for the users' platform: store, servers and operator.

It serves the published protocol over loopback, keeps all data in memory and
supports fault injection.
"""

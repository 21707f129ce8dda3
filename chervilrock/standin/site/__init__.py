"""Stand-in for the users' platform: store, servers and operator.

It speaks the published protocol over loopback, keeps everything in memory, and
can be told to misbehave.
"""

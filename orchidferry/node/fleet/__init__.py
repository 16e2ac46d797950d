"""Membership of a fleet of nodes, over UDP and TCP: the I/O around `orchidferry.balancing.fleet`.

`settings` reads the settings file, `wire` encodes and decodes messages, `saved_state` defines the state file
and `journal` the journal; `shell` connects all of them to sockets and timers. Nothing of this package is
imported unless `ORCHIDFERRY_FLEET` is set.
"""

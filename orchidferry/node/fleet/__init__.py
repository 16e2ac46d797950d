"""The nodes of a fleet, over UDP and TCP: the thin shell round `orchidferry.balancing.fleet`.

`settings` reads the operator's file, `wire` writes and reads messages, `shell` has the sockets, the timers,
the disk and the journal. Nothing of it is imported where `ORCHIDFERRY_FLEET` is not set.
"""

"""Membership of the nodes of a fleet by SWIM, free of I/O; clock and random choices are handed in.

SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's changes (Dadgar, Phillips and Currey, 2018): each node
probes one other at a time, directly and then through some others; a node that does not answer is suspected,
may refute that, and is lost once it has not for long enough; updates ride on the messages of the probes;
complete states are exchanged now and then. Times are milliseconds of a monotonic clock.

`members`: the record of a node and which of two updates wins; `messages`: messages, events and actions;
`member_table`: all that are known; `gossip_queue`: updates to spread; `suspicion`: how long silence lasts;
`timers`, `outbox`, `prober`, `name_conflict`: parts of `membership`, which puts them together.
"""

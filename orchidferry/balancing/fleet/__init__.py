"""Membership of the nodes of a fleet by SWIM. No I/O; the caller supplies the clock and random numbers.

The protocol is SWIM (Das, Gupta and Motivala, 2002) with the extensions of Lifeguard (Dadgar, Phillips and
Currey, 2018). Each node probes one other node at a time, first directly and then through some others. A node
that does not answer is suspected. It may refute the suspicion; if it does not in time, it is declared lost.
Updates are piggybacked on the messages of the probes, and nodes exchange their complete states from time to
time. Times are milliseconds of a monotonic clock.

- `members`: the entry of a node, and the order that decides which of two updates wins
- `messages`: messages between nodes, events and actions
- `member_table`: all known members
- `gossip_queue`: updates to be spread
- `suspicion`, `suspicions`: the time that a suspected node has for a refutation
- `timers`, `outbox`, `prober`, `reconnector`, `replay_window`, `name_conflict`: components of `membership`
- `membership`: the state machine that combines all of these
"""

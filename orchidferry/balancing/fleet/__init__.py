"""Who is there: membership of the nodes of a fleet, free of I/O, clocks and chance of its own.

SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's changes (Dadgar, Phillips and Currey, 2018): each node
probes one other at a time, directly and then through some others; who does not answer is suspected, may
refute that, and is lost once nobody heard of it for long enough; news rides on the messages of the probes;
whole views are exchanged now and then. Times are milliseconds of a monotonic clock that is handed in.

`members` says what is known of a node and which of two words counts, `messages` what goes in and out, `fresh`
what may be believed to be new, `rumours` what is told to whom, `suspicion` how long silence lasts, `swim` all
of it.
"""

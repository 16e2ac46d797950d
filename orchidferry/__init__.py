"""orchidferry: a load-balancing node on real sockets, round the decisions of nickelbridge."""

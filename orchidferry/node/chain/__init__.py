"""A node's tier in a chain of tiers (`ORCHIDFERRY_CHAIN`); decisions are made in `balancing.chain`."""

"""A node's part in a chain of tiers (`ORCHIDFERRY_CHAIN`); its decisions are
`orchidferry.balancing.chain`'s.
"""

"""Support for chains of tiers (`ORCHIDFERRY_CHAIN`): a service's calls to the next tier pass through nodes.

Budgets of attempts are passed along the chain in headers; the decisions are made in `balancing.chain`.
"""

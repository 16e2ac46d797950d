"""The load-balancing node: sockets, timers and configuration for the decisions of `orchidferry.balancing`.

Subpackages, each imported only if an operator enables the feature: `chain` (budgets along a chain of tiers),
`control` (configuration from a control service), `fleet` (membership among nodes) and `h3` (HTTP/3).
"""

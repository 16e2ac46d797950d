"""The node in service: sockets, timers and configuration round the decisions of `orchidferry.balancing`.

Subpackages, each imported only where an operator switches it on: `chain` (budgets down a chain of tiers),
`control` (configuration from a control service), `fleet` (membership among nodes) and `h3` (HTTP/3).
"""

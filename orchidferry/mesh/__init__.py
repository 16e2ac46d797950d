"""The mesh: its roles, its control state, its operators' shell, round the node of `orchidferry.node`."""

"""The service mesh on top of `orchidferry.node`: its roles, its control plane and its operators' shell."""

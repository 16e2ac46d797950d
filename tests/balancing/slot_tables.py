"""A table of members and disruption budgets, for tests of slots and of the register."""

from __future__ import annotations

from orchidferry.balancing.slots import (
    DisruptionBudget,
    Kind,
    Member,
    SlotTable,
)

NODES = tuple(Member(Kind.NODE, f"n{n}", "entrada", "abc"[n % 3]) for n in range(9))
SERVERS = tuple(
    Member(Kind.SERVER, f"s{n}", "catalogo", "abc"[n % 3], "new" if n < 4 else "") for n in range(12)
)
TABLE = SlotTable(
    (*NODES, *SERVERS),
    (
        DisruptionBudget(Kind.NODE, max_share=0.25),
        DisruptionBudget(Kind.SERVER, max_share=0.3),
        DisruptionBudget(Kind.SERVER, pool="new", max_out=1),
    ),
)

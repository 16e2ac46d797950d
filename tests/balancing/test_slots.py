"""Slots: disruption budgets, objections of voters, and fencing tokens."""

from __future__ import annotations

from typing import Any

from orchidferry.balancing import slots
from orchidferry.balancing.slots import (
    DisruptionBudget,
    FencingGate,
    Kind,
    Member,
    OutageIntent,
    ReturnIntent,
    SlotTable,
)
from tests.balancing.slot_tables import NODES, SERVERS, TABLE


def granted(table: SlotTable, member: Member, id: str = "", **more: Any) -> SlotTable:
    after = slots.grant(table, member, "driver", id or member.name, **more)
    assert isinstance(after, SlotTable), after
    return after


def refused(table: SlotTable, member: Member, **more: Any) -> str:
    after = slots.grant(table, member, "driver", "x", **more)
    assert isinstance(after, str)
    return after


def test_budgets_limit_members_out_by_number_and_share_and_to_one_zone() -> None:
    one = granted(TABLE, NODES[0], process="n0/1")
    assert (one.token, one.slots[0].process) == (1, "n0/1")
    two = granted(one, NODES[3])
    assert "2 of 2 nodes are out" in refused(two, NODES[6])  # a quarter of nine, rounded down
    assert "nodes of zone a are out already, and this is zone b" in refused(one, NODES[1])
    assert "1 of 1 servers of new" in refused(granted(TABLE, SERVERS[0]), SERVERS[3])
    assert granted(two, SERVERS[1]).token == 3  # members of another kind have their own budget and zone
    assert "2 of 2 nodes are out" in refused(one, NODES[6], out=[NODES[3]])  # n3 is out without a slot
    assert "is not a declared member" in refused(TABLE, Member(Kind.NODE, "stranger"))
    assert (
        DisruptionBudget(Kind.NODE, max_share=0.01).limit(NODES) == 1
        and DisruptionBudget(Kind.NODE, max_out=4, max_share=0.25).limit(NODES) == 2
    )


def test_repeated_requests_get_one_slot_and_a_token_is_released_once() -> None:
    one = granted(TABLE, NODES[0], "a")
    assert slots.grant(one, NODES[0], "driver", "a") is one
    assert "out already, by driver" in refused(one, NODES[0])
    back = slots.release(one, 1)
    assert isinstance(back, SlotTable) and not back.slots and slots.release(back, 1) is back
    assert slots.grant(back, NODES[0], "driver", "a") == "that slot has been released since"
    assert slots.release(back, 2) == "no token 2 was ever granted"
    assert granted(back, NODES[0], "b").token == 2
    forced = slots.force_release(one, 1, "ana", "f1")
    assert isinstance(forced, SlotTable) and forced.forced == ("ana released token 1",) and not forced.slots
    assert slots.force_release(forced, 1, "ana", "f1") is forced


def test_voters_object_by_their_own_observations() -> None:
    observed = {member: f"{member.name}/1" for member in TABLE.members}
    table = granted(TABLE, NODES[0], process="n0/1")

    def objection(intent: OutageIntent | ReturnIntent, **changes: str) -> str:
        now = observed | {m: changes[m.name] for m in TABLE.members if m.name in changes}
        return slots.objection(table, intent, now.__getitem__)

    assert objection(OutageIntent(NODES[3])) == ""
    assert "2 of 2 nodes are out" in objection(OutageIntent(NODES[3]), n6="")
    assert "2 of 2 nodes are out" in objection(OutageIntent(NODES[3]), n1="")
    assert "zone b are out" in slots.objection(
        TABLE, OutageIntent(NODES[3]), lambda member: "" if member is NODES[1] else "up"
    )
    back = ReturnIntent(1, NODES[0], "n0/1")
    assert "not observed serving" in objection(back, n0="")
    assert "still served by the process" in objection(back)
    assert objection(back, n0="n0/2") == ""


def test_a_fencing_gate_refuses_older_tokens() -> None:
    gate = FencingGate()
    assert gate.check(NODES[0], 4) == "" and gate.check(NODES[0], 4) == "" and gate.check(NODES[1], 2) == ""
    assert "older than 4" in gate.check(NODES[0], 3) and gate.check(NODES[0], 5) == ""

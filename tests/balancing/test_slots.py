"""Slots: budgets, objections of voters, and fencing tokens."""

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


def given(table: SlotTable, place: Member, id: str = "", **more: Any) -> SlotTable:
    after = slots.grant(table, place, "driver", id or place.name, **more)
    assert isinstance(after, SlotTable), after
    return after


def refused(table: SlotTable, place: Member, **more: Any) -> str:
    after = slots.grant(table, place, "driver", "x", **more)
    assert isinstance(after, str)
    return after


def test_bounds_are_counts_and_shares_by_place_and_never_two_zones() -> None:
    one = given(TABLE, NODES[0], process="n0/1")
    assert (one.token, one.slots[0].process) == (1, "n0/1")
    two = given(one, NODES[3])
    assert "2 of 2 nodes are out" in refused(two, NODES[6])  # a quarter of nine, rounded down
    assert "nodes of zone a are out already, and this is zone b" in refused(one, NODES[1])
    assert "1 of 1 servers of new" in refused(given(TABLE, SERVERS[0]), SERVERS[3])
    assert given(two, SERVERS[1]).token == 3  # another kind, another bound and zone
    assert "2 of 2 nodes are out" in refused(one, NODES[6], out=[NODES[3]])  # lost by itself
    assert "no declared place" in refused(TABLE, Member(Kind.NODE, "stranger"))
    assert (
        DisruptionBudget(Kind.NODE, max_share=0.01).limit(NODES) == 1
        and DisruptionBudget(Kind.NODE, max_out=4, max_share=0.25).limit(NODES) == 2
    )


def test_an_id_gets_one_slot_however_often_it_asks_and_a_token_comes_back_once() -> None:
    one = given(TABLE, NODES[0], "a")
    assert slots.grant(one, NODES[0], "driver", "a") is one
    assert "out already, by driver" in refused(one, NODES[0])
    back = slots.release(one, 1)
    assert isinstance(back, SlotTable) and not back.slots and slots.release(back, 1) is back
    assert slots.grant(back, NODES[0], "driver", "a") == "that slot was given back since"  # a late copy
    assert slots.release(back, 2) == "no token 2 was ever given"
    assert given(back, NODES[0], "b").token == 2
    forced = slots.force_release(one, 1, "ana", "f1")
    assert isinstance(forced, SlotTable) and forced.forced == ("ana gave back token 1",) and not forced.slots
    assert slots.force_release(forced, 1, "ana", "f1") is forced


def test_voters_object_by_what_they_see() -> None:
    seen = {place: f"{place.name}/1" for place in TABLE.members}
    table = given(TABLE, NODES[0], process="n0/1")

    def thinks(intent: OutageIntent | ReturnIntent, **changes: str) -> str:
        now = seen | {place: changes[place.name] for place in TABLE.members if place.name in changes}
        return slots.objection(table, intent, now.__getitem__)

    assert thinks(OutageIntent(NODES[3])) == ""
    assert "2 of 2 nodes are out" in thinks(OutageIntent(NODES[3]), n6="")
    assert "2 of 2 nodes are out" in thinks(OutageIntent(NODES[3]), n1="")
    assert "zone b are out" in slots.objection(
        TABLE, OutageIntent(NODES[3]), lambda place: "" if place is NODES[1] else "up"
    )
    back = ReturnIntent(1, NODES[0], "n0/1")
    assert "not seen serving" in thinks(back, n0="") and "still the process" in thinks(back)
    assert thinks(back, n0="n0/2") == ""


def test_an_old_token_is_refused_where_it_is_acted_on() -> None:
    gate = FencingGate()
    assert gate.check(NODES[0], 4) == "" and gate.check(NODES[0], 4) == "" and gate.check(NODES[1], 2) == ""
    assert "older than 4" in gate.check(NODES[0], 3) and gate.check(NODES[0], 5) == ""

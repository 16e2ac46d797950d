"""Slots: the table's bounds, what voters think, tokens; the register under any order, loss, restarts and
forgetting.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from orchidferry.balancing import proposer, register, slots
from orchidferry.balancing.proposer import Proposer
from orchidferry.balancing.register import (
    Acceptor,
    AcceptorState,
    ChangeDecided,
    SaveState,
    SendToVoter,
    Value,
    Voter,
    has_majority,
)
from orchidferry.balancing.slots import (
    DisruptionBudget,
    FencingGate,
    Kind,
    Member,
    OutageIntent,
    ReturnIntent,
    SlotTable,
)
from orchidferry.testkit.explore import slots as explore

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


class Net:
    """Voters and a proposer with whole links."""

    def __init__(self, *voters: Voter) -> None:
        self.acceptors = {voter.name: Acceptor(voter.name, AcceptorState(voter.disk_id)) for voter in voters}
        self.first = Value(0, voters, TABLE)
        self.down: set[str] = set()
        self.known = self.first  # the newest state that was decided

    def ask(self, change: proposer.Change, id: str = "x", knows: bool = True) -> ChangeDecided | None:
        proposer = Proposer("p", self.first, random.Random(1))
        if knows:
            proposer.learn(self.known)
        proposer._counter = max(a.state.promised[0] for a in self.acceptors.values())
        todo = proposer.ask(id, change, 0.0, 400.0)
        done = None
        while todo:
            action = todo.pop(0)
            if isinstance(action, ChangeDecided):
                done = action
                self.known = action.value
            elif isinstance(action, SendToVoter) and action.to not in self.down:
                assert isinstance(action.message, register.Prepare | register.Accept)
                answers = self.acceptors[action.to].handle(action.message, "p")
                assert not answers or isinstance(answers[-1], SendToVoter)
                for n, answer in enumerate(answers):
                    if isinstance(answer, SendToVoter):
                        assert n == 0 or isinstance(answers[n - 1], SaveState)  # saved first
                        assert isinstance(answer.message, register.Promise | register.Accepted)
                        todo += proposer.handle(answer.message, 1.0)
        return done


def grant_of(place: Member) -> proposer.Change:
    return lambda value: slots.with_table(value, slots.grant(value.body, place, "p", place.name))


def with_voters(*voters: Voter) -> proposer.Change:
    return lambda value: replace(value, version=value.version + 1, voters=voters)


def test_a_voter_that_forgot_counts_for_nothing_until_the_voters_name_its_new_memory() -> None:
    a, b, c = (Voter(name, n) for n, name in enumerate("abc", 1))
    net = Net(a, b, c)
    assert net.ask(grant_of(NODES[0])) is not None
    net.acceptors["c"] = Acceptor("c", AcceptorState(9))  # its disk is gone
    net.down = {"b"}
    assert net.ask(grant_of(NODES[3])) is None  # a alone is no majority
    net.down = set()
    done = net.ask(with_voters(a, b, Voter("c", 9)))
    assert done is not None and done.value.version == 2
    net.down = {"b"}
    done = net.ask(grant_of(NODES[3]))
    assert done is not None and [slot.token for slot in done.value.body.slots] == [1, 2]
    # A node that still knows the first voters alone finds the new ones, whichever of the old it meets.
    net.down = {"a"}
    done = net.ask(grant_of(NODES[6]), knows=False)
    assert done is not None and "2 of 2" in done.why and done.value.version == 3


def test_what_only_new_voters_accepted_is_not_taken_for_decided() -> None:
    """c was put out for d; a and d have that, b not yet: b and c may still decide something else."""
    a, b, c, d = (Voter(name, n) for n, name in enumerate("abcd", 1))
    net = Net(a, b, c)
    net.acceptors["d"] = Acceptor("d", AcceptorState(d.disk_id))
    change = with_voters(a, b, d)(net.first)
    assert isinstance(change, Value)
    for name in "ad":
        net.acceptors[name].handle(
            register.Accept((5, "q"), replace(change, former_voters=net.first.voters)), "q"
        )
    net.down = {"b", "c"}
    assert net.ask(grant_of(NODES[0])) is None
    net.down = {"a", "d"}
    assert net.ask(grant_of(NODES[0])) is not None


def test_a_fleet_of_one_and_of_two() -> None:
    assert has_majority([Voter("a", 1)], [Voter("a", 1)]) and not has_majority(
        [Voter("a", 1)], [Voter("a", 2)]
    )
    two = Net(Voter("a", 1), Voter("b", 2))
    two.down = {"b"}
    assert two.ask(grant_of(NODES[0])) is None
    two.down = set()
    assert two.ask(grant_of(NODES[0])) is not None


@pytest.mark.parametrize(("askers", "bound"), [(2, 1), (3, 1), (3, 2)])
def test_never_more_out_than_the_bound_whatever_is_lost_late_cut_off_or_forgotten(
    askers: int, bound: int
) -> None:
    ended = 0
    for seed in range(60):
        rng = random.Random(seed)
        world = explore.begin(askers, rng.randrange(9), bound)
        for _ in range(3_000):
            if world.over:
                break
            actions = world.actions()
            plain = [one for one in actions if one.startswith(("deliver", "wait"))]
            world.apply(rng.choice(actions if rng.random() < 0.2 else plain))
            assert not world.violations, world.story
        ended += world.succeeded()
    assert ended > 20  # and most get their turn


def test_every_interleaving_of_two_askers_without_a_fault_holds_and_all_get_their_turn() -> None:
    found = explore.search(2, 0, workers=1)
    assert found.exhausted and found.runs == found.succeeded > 0


@pytest.mark.parametrize(
    ("name", "faults", "kinds"),
    [
        ("no-majority", 1, ("lose",)),
        ("promise-forgotten", 1, ("lose",)),
        ("not-read", 1, ("cut",)),
        ("not-counted", 0, ()),
        ("on-a-word", 0, ()),
        ("same-token", 0, ()),
    ],
)
def test_deliberate_breaks_are_caught(name: str, faults: int, kinds: tuple[str, ...]) -> None:
    found = explore.search(2, faults, 1, name, 120.0, kinds, workers=2)
    assert found.violations and found.story

"""The register: acceptors and a proposer while voters are down, lose their disks and are replaced."""

from __future__ import annotations

import random
from dataclasses import replace

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
from orchidferry.balancing.slots import Member
from tests.balancing.slot_tables import NODES, TABLE


class Network:
    """Voters and a proposer, connected by links that lose no messages."""

    def __init__(self, *voters: Voter) -> None:
        self.acceptors = {voter.name: Acceptor(voter.name, AcceptorState(voter.disk_id)) for voter in voters}
        self.first = Value(0, voters, TABLE)
        self.down: set[str] = set()
        self.known = self.first  # the newest decided value

    def ask(self, change: proposer.Change, id: str = "x", knows: bool = True) -> ChangeDecided | None:
        """Make one change; returns its outcome, or None if there is none.

        :param knows: whether the proposer knows the newest decided value
        """
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
                        assert n == 0 or isinstance(
                            answers[n - 1], SaveState
                        )  # the state is saved before the answer is sent
                        assert isinstance(answer.message, register.Promise | register.Accepted)
                        todo += proposer.handle(answer.message, 1.0)
        return done


def grant_of(member: Member) -> proposer.Change:
    return lambda value: slots.with_table(value, slots.grant(value.body, member, "p", member.name))


def with_voters(*voters: Voter) -> proposer.Change:
    return lambda value: replace(value, version=value.version + 1, voters=voters)


def test_a_voter_that_lost_its_disk_does_not_count_until_the_voters_are_changed() -> None:
    a, b, c = (Voter(name, n) for n, name in enumerate("abc", 1))
    net = Network(a, b, c)
    assert net.ask(grant_of(NODES[0])) is not None
    net.acceptors["c"] = Acceptor("c", AcceptorState(9))  # with an empty disk
    net.down = {"b"}
    assert net.ask(grant_of(NODES[3])) is None  # a alone is not a majority
    net.down = set()
    done = net.ask(with_voters(a, b, Voter("c", 9)))
    assert done is not None and done.value.version == 2
    net.down = {"b"}
    done = net.ask(grant_of(NODES[3]))
    assert done is not None and [slot.token for slot in done.value.body.slots] == [1, 2]
    # A proposer that knows only the initial voters learns of the new ones from any of them.
    net.down = {"a"}
    done = net.ask(grant_of(NODES[6]), knows=False)
    assert done is not None and "2 of 2" in done.why and done.value.version == 3


def test_a_change_of_voters_accepted_by_few_old_voters_is_not_decided() -> None:
    """When d replaces c, and a and d have accepted that but not b, b and c may still decide otherwise."""
    a, b, c, d = (Voter(name, n) for n, name in enumerate("abcd", 1))
    net = Network(a, b, c)
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


def test_majorities_of_one_and_two_voters() -> None:
    assert has_majority([Voter("a", 1)], [Voter("a", 1)]) and not has_majority(
        [Voter("a", 1)], [Voter("a", 2)]
    )
    two = Network(Voter("a", 1), Voter("b", 2))
    two.down = {"b"}
    assert two.ask(grant_of(NODES[0])) is None
    two.down = set()
    assert two.ask(grant_of(NODES[0])) is not None


def test_a_proposer_that_lost_many_slow_rounds_waits_no_longer_than_its_limit() -> None:
    """After trouble each proposer waited for seconds for rounds that were long over, and no read ended."""
    voters = tuple(Voter(name, 1) for name in "abc")
    proposer = Proposer("p", Value(0, voters, TABLE), random.Random(1), max_back_off_ms=1_000.0)
    now = 0.0
    for number in range(1, 12):
        if number == 1:
            proposer.ask("x", lambda value: value, now, 1e9)
        round_ = proposer._round
        assert round_ is not None
        now += 3_000.0  # the answers were held up for this long
        promised = (round_.ballot[0] + 5, "q")
        proposer.handle(register.Promise(round_.ballot, voters[0], promised), now)
        assert now < proposer.due_ms <= now + 2_000.0  # the other proposer's phase, and the back-off
        now = proposer.due_ms
        proposer.tick(now)

"""Releases of operation keys while links fail: each frees its key at every controller, and no other key."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import astuple

from orchidferry.mesh.control import key_releases
from orchidferry.mesh.control.actions import SendReply
from orchidferry.mesh.control.key_releases import RETRY_INTERVAL_S, KeyReleases
from orchidferry.mesh.control.operation_key_client import OperationKeyClient, ShardGroup
from orchidferry.mesh.control.operation_keys import ClaimOutcome, max_retention_s
from orchidferry.mesh.control.shard_state import shard_of
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, KeyGrant, KeyRelease, KeyReleaseAck, Message
from orchidferry.testkit.explore.controller import SEEDS, WINDOW_S, Controller
from orchidferry.testkit.explore.mesh_actors import SequentialRandom

KEY = "k"


class Group:
    """Three controllers, and nodes with links to each that can be cut."""

    def __init__(self) -> None:
        self.now = 1.0
        self.cut: set[tuple[str, str]] = set()  # links that are cut: node, controller
        self.nodes: dict[str, OperationKeyClient] = {}
        number = shard_of(KEY)
        rng = SequentialRandom(1)
        self.controllers = {name: Controller(name, self, True, number, rng, SEEDS) for name in SEEDS}
        for name in ("m", "n"):
            self.nodes[name] = OperationKeyClient(SEEDS, self._sender(name), WINDOW_S)
            self.nodes[name].update_group(number, ShardGroup(0, SEEDS, "", 0), self.now)

    def _sender(self, node: str) -> Any:
        def send(to: str, message: Message) -> None:
            if (node, to) not in self.cut:
                controller = self.controllers[to]
                match message:
                    case KeyClaim():
                        controller.claim_key(node, *astuple(message))
                    case KeyRelease():
                        controller.release_key(node, *astuple(message))
                    case KeyAnswer():
                        controller.record_answer(*astuple(message))
                while controller.writes:
                    controller.complete_write()

        return send

    def answer(self, name: str, answer: SendReply) -> None:
        """Deliver a controller's reply to a node."""
        node = str(answer.to)
        if (node, name) in self.cut:
            return
        message = answer.message
        if isinstance(message, KeyReleaseAck):
            self.nodes[node].releases.acknowledge(name, message.number)
        elif isinstance(message, KeyGrant):
            self.nodes[node].handle_grant(name, message)

    def send(self, *message: Any) -> None:
        """Drop messages between controllers: none are needed here."""

    state_changed = request_ended = send

    def claim(self, node: str, holder: str) -> ClaimOutcome:
        """Claim the key, and return the outcome, which must be known at once."""
        outcomes: list[ClaimOutcome] = []
        self.nodes[node].claim(KEY, holder, 0.5, lambda outcome, _: outcomes.append(outcome), self.now)
        [outcome] = outcomes
        return outcome

    def pass_s(self, seconds: float) -> None:
        """Let time pass at the nodes."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            for node in self.nodes.values():
                node.tick(self.now)

    def holders(self) -> list[str]:
        """Return the holder of the key at each controller that has a record of it."""
        records = [controller.shard.operation_keys.records for controller in self.controllers.values()]
        return [held[KEY].holder for held in records if KEY in held]


@pytest.fixture
def group() -> Group:
    return Group()


def test_a_release_that_was_lost_with_its_links_goes_out_on_the_new_ones(group: Group) -> None:
    """Such a release was never sent again, so requests with the key got 409 until its retention ended."""
    assert group.claim("m", "t1") == ClaimOutcome.GRANTED
    group.cut = {("m", "a"), ("m", "b")}
    group.nodes["m"].release(KEY, "t1")
    assert group.claim("n", "t2") == ClaimOutcome.HELD_BY_OTHER and group.holders() == ["t1", "t1"]
    group.cut.clear()
    for name in ("a", "b"):
        group.nodes["m"].link_opened(name, group.now)
    assert group.claim("n", "t3") == ClaimOutcome.GRANTED
    assert group.holders() == ["t3"] * 3


def test_a_release_that_is_not_acknowledged_goes_out_again_on_the_same_link(group: Group) -> None:
    assert group.claim("m", "t1") == ClaimOutcome.GRANTED
    failing = group.controllers["a"]
    failing.complete_write, original = lambda: failing.writes.clear(), failing.complete_write  # type: ignore[method-assign]
    group.nodes["m"].release(KEY, "t1")
    assert len(group.nodes["m"].releases) == 1
    failing.complete_write = original  # type: ignore[method-assign]
    group.pass_s(RETRY_INTERVAL_S + 0.2)
    assert not group.nodes["m"].releases
    failing.start()  # a restart shows that the key is deleted on disk
    assert not group.holders()


def test_a_late_release_does_not_free_the_key_of_another_attempt(group: Group) -> None:
    assert group.claim("m", "t1") == ClaimOutcome.GRANTED
    group.cut = {("m", "a")}
    group.nodes["m"].release(KEY, "t1")
    assert group.claim("n", "t2") == ClaimOutcome.GRANTED  # by two controllers; t1 holds it at the third
    group.cut.clear()
    group.pass_s(RETRY_INTERVAL_S + 0.2)
    assert not group.nodes["m"].releases and group.holders() == ["t2", "t2"]
    group.nodes["m"].release(KEY, "t1")
    assert group.holders() == ["t2", "t2"] and group.claim("m", "t3") == ClaimOutcome.HELD_BY_OTHER


@pytest.mark.parametrize("answer", [None, "answer"])
def test_a_release_that_comes_again_keeps_the_record_of_another_attempt_on_disk(
    group: Group, answer: str | None
) -> None:
    """Each copy of the release deleted the record on disk, so the operation ran twice after a restart."""
    group.nodes["m"].release(KEY, "t1")
    assert group.claim("n", "t2") == ClaimOutcome.GRANTED
    if answer is not None:
        group.nodes["n"].record_answer(KEY, "t2", answer)
    for controller in group.controllers.values():
        controller.release_key("m", 1, KEY, "t1")
        while controller.writes:
            controller.complete_write()
        controller.start()
    assert group.holders() == ["t2"] * 3 and group.claim("m", "t3") == ClaimOutcome.HELD_BY_OTHER


def test_a_release_waits_until_the_record_that_it_frees_is_replaced_on_disk(group: Group) -> None:
    """The deletion and the next claim's write both fail, so a restart would load the released record."""
    assert group.claim("m", "t1") == ClaimOutcome.GRANTED
    full = group.controllers["a"]
    full.refuses_writes = True
    group.nodes["m"].release(KEY, "t1")
    assert group.claim("n", "t2") == ClaimOutcome.GRANTED  # by the two others
    group.pass_s(RETRY_INTERVAL_S + 0.2)
    assert len(group.nodes["m"].releases) == 1
    full.refuses_writes = False
    group.pass_s(RETRY_INTERVAL_S + 0.2)
    assert not group.nodes["m"].releases
    full.start()
    assert group.holders() == ["t2"] * 3


def test_a_claim_that_arrives_after_its_release_is_ignored(group: Group) -> None:
    """The claim was delayed in the buffers of an earlier link, or came with keys of another controller."""
    group.nodes["m"].release(KEY, "t1")
    for controller in group.controllers.values():
        controller.claim_key("m", 99, 0, KEY, "t1")
        controller.shard.load_key(KEY, ["t1", 0, None])
    assert not group.holders() and group.claim("n", "t2") == ClaimOutcome.GRANTED


def test_pending_releases_are_bounded_and_expire(group: Group, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(key_releases, "MAX_PENDING", 3)
    sent: list[tuple[str, Message]] = []
    releases = KeyReleases(max_retention_s(WINDOW_S), lambda name, message: sent.append((name, message)))
    for number in range(5):
        releases.add(f"k{number}", "t", ("a", "b"), 0.0)
    releases.tick({"a"}, 0.1)  # b is no longer a controller
    assert len(releases) == 3
    sent.clear()
    releases.link_opened("a", 0.5)
    assert sent == [("a", KeyRelease(n + 1, f"k{n}", "t")) for n in (2, 3, 4)]
    releases.tick({"a"}, max_retention_s(WINDOW_S) + 0.1)
    assert not releases

"""Contact with a majority: how it is determined, and the responses to operators without it."""

from __future__ import annotations

import json
from typing import Any

import pytest

from orchidferry.balancing.register import Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded, SendReply
from orchidferry.mesh.control.configuration_resource import ConfigurationResource
from orchidferry.mesh.control.contact import CONTACT_S, LOST_CONTACT, OUT_OF_CONTACT, Contact
from orchidferry.mesh.control.control_api import control_request
from orchidferry.mesh.control.quorum_read import READ_TIMEOUT_S
from orchidferry.mesh.wire.shard_messages import AcceptedState, AcceptedStateRequest
from orchidferry.node.reply import Reply
from orchidferry.testkit.explore import worst_days
from orchidferry.testkit.explore.controller import Controller, ControllerCall
from orchidferry.testkit.explore.mesh_actors import SequentialRandom

FIVE = tuple(Voter(name, 1) for name in "abcde")


@pytest.mark.parametrize(
    ("voters", "sent", "until"),
    [
        (FIVE[:1], {}, float("inf")),
        (FIVE[:3], {}, float("-inf")),
        (FIVE[:3], {"b": 10.0}, 10.0 + CONTACT_S),
        (FIVE[:3], {"b": 10.0, "c": 11.0}, 11.0 + CONTACT_S),
        (FIVE, {"b": 10.0}, float("-inf")),
        (FIVE, {"b": 10.0, "c": 11.0, "e": 12.0}, 11.0 + CONTACT_S),
        (FIVE, {"x": 10.0, "y": 10.0}, float("-inf")),  # x and y are not voters
        (FIVE[1:4], {"b": 10.0}, float("-inf")),  # a is not a voter itself: two others are needed
        (FIVE[1:4], {"b": 10.0, "c": 11.0}, 10.0 + CONTACT_S),
    ],
)
def test_contact_ends_after_the_time_since_a_heartbeat_that_a_majority_acknowledged_was_sent(
    voters: tuple[Voter, ...], sent: dict[str, float], until: float
) -> None:
    contact = Contact(dict(sent))
    assert contact.until_s(voters, FIVE[0]) == until
    assert contact.holds(voters, FIVE[0], min(until, 100.0) - 0.001) is (until > float("-inf"))
    assert not contact.holds(voters, FIVE[0], until)


def test_an_older_acknowledgement_changes_nothing() -> None:
    contact = Contact()
    contact.acknowledge("b", 10.0)
    contact.acknowledge("b", 9.0)
    assert contact.since_s(FIVE[:3], FIVE[0]) == 10.0


class IsolatedController:
    """One controller whose messages are all lost; records its reads and the ends of its requests."""

    def __init__(self) -> None:
        self.now = 1.0
        self.ended: list[RequestEnded] = []
        self.reads: list[int] = []
        self.controller = Controller("a", self, True, 0, SequentialRandom())

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        if kind == ControllerCall.RECEIVE and isinstance(message[1], AcceptedStateRequest):
            self.reads.append(message[1].reading)

    def answer(self, name: str, answer: SendReply) -> None:
        pass

    def state_changed(self, name: str, changed: Any) -> None:
        pass

    def request_ended(self, name: str, end: RequestEnded) -> None:
        self.ended.append(end)

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.controller.tick()


def test_a_process_that_was_frozen_does_not_serve_on_its_former_contact() -> None:
    world = IsolatedController()
    shard = world.controller.shard
    world.controller.send_heartbeats("bc")
    world.now += 5.0  # frozen; the acknowledgements of that heartbeat are in its buffers
    for name in "bc":
        world.controller.receive_heartbeat_ack(name, 1, 0)
    world.controller.execute(shard.request_read("r", world.now))
    world.controller.execute(
        shard.request_change("p", shard_state.PutConfiguration(b"x", 1, b"x", 0), 4.0, world.now)
    )
    assert world.ended == [RequestEnded("r", None, OUT_OF_CONTACT), RequestEnded("p", None, OUT_OF_CONTACT)]
    assert not world.reads and not shard.register.proposer.due_ms < float("inf")
    world.controller.send_heartbeats("bc")
    world.controller.receive_heartbeat_ack("b", 2, 0)
    world.controller.execute(shard.request_read("r2", world.now))
    assert len(world.ended) == 2 and world.reads


def test_pending_requests_end_as_soon_as_contact_is_lost() -> None:
    world = IsolatedController()
    shard = world.controller.shard
    world.controller.send_heartbeats("bc")
    world.controller.receive_heartbeat_ack("b", 1, 0)
    world.now += CONTACT_S - 0.3
    world.controller.execute(shard.request_read("r", world.now))
    world.controller.execute(
        shard.request_change("p", shard_state.PutConfiguration(b"x", 1, b"x", 0), 4.0, world.now)
    )
    assert shard.due_s <= 1.0 + CONTACT_S and not world.ended
    world.tick(0.29)
    assert not world.ended
    world.tick(0.02)
    assert {(end.id, end.value, end.why) for end in world.ended} == {
        ("r", None, LOST_CONTACT),
        ("p", None, LOST_CONTACT),
    }
    assert shard.register.proposer.due_ms == float("inf")  # the proposal is withdrawn, too


def test_a_read_over_a_slow_link_counts_late_reports() -> None:
    """Reports slower than the interval between two requests were discarded, so that no read ever ended."""
    world = IsolatedController()
    shard = world.controller.shard

    def exchange_heartbeat() -> None:
        world.controller.send_heartbeats("bc")
        world.controller.receive_heartbeat_ack("b", world.controller.count, 0)

    exchange_heartbeat()
    world.controller.execute(shard.request_read("r", world.now))
    for _ in range(4):
        world.tick(0.1)
        exchange_heartbeat()
    assert len(world.reads) > 2 and not world.ended
    report = AcceptedState(world.reads[0], ("b", shard_state.FOUNDER_DISK_ID), (0, ""), None)
    world.controller.receive("b", report)
    assert [(end.id, end.value) for end in world.ended] == [("r", shard.known)]


def test_a_read_that_finds_no_state_ends_in_time() -> None:
    world = IsolatedController()
    shard = world.controller.shard
    world.controller.execute([])
    for _ in range(9):
        world.controller.send_heartbeats("bc")
        world.controller.receive_heartbeat_ack("b", world.controller.count, 0)
        if not world.controller.count > 1:
            world.controller.execute(shard.request_read("r", world.now))
        assert not world.ended or world.now - 1.0 > READ_TIMEOUT_S - 1e-6
        world.tick(0.1)
    assert world.ended == [RequestEnded("r", None, "")]


BODY = json.dumps({"revision_number": 2, "access_points": [], "trunk_groups": []}).encode()


@pytest.mark.parametrize(
    ("method", "contact", "end", "status", "error"),
    [
        (b"GET", True, RequestEnded("", None, OUT_OF_CONTACT), 503, "out_of_contact"),
        (b"GET", True, RequestEnded("", None, LOST_CONTACT), 503, "out_of_contact"),
        (b"GET", True, RequestEnded("", None, ""), 503, "no_majority"),
        (b"PUT", False, None, 503, "out_of_contact"),
        (b"PUT", True, RequestEnded("", None, OUT_OF_CONTACT), 503, "out_of_contact"),
        (b"PUT", True, RequestEnded("", None, LOST_CONTACT), 504, "unclear"),
        (b"PUT", True, RequestEnded("", None, ""), 504, "unclear"),
        (
            b"PUT",
            True,
            RequestEnded("", shard_state.genesis(("a",)), shard_state.OTHER_VERSION),
            412,
            "other_version",
        ),
    ],
)
def test_responses_to_an_operator_out_of_contact(
    method: bytes, contact: bool, end: RequestEnded | None, status: int, error: str
) -> None:
    """503: the request was not begun. 504: the change may be in force. 4xx: the change never will be."""

    def end_request(*rest: Any) -> None:
        assert end is not None
        rest[-1](end)

    resource = ConfigurationResource(end_request, end_request, lambda: False, lambda: contact)
    replies: list[Reply] = []
    resource(control_request(method, b"/", {b"if-match": b"0"}, BODY), "", replies.append)
    [reply] = replies
    assert (reply.status, json.loads(reply.body)["error"]) == (status, error)
    assert reply.retry_after_s is not None or status == 412


@pytest.mark.parametrize("scene", list(worst_days.isolated.SCENES))
def test_an_isolated_controller_in_every_interleaving_without_a_fault(scene: str) -> None:
    found = worst_days.search(scene, 0, workers=1)
    assert found.exhausted and not found.violations, found.story
    assert found.runs == found.succeeded > 0


@pytest.mark.parametrize("name", worst_days.isolated.BREAKS)
def test_each_break_of_contact_is_caught(name: str) -> None:
    break_ = worst_days.BREAKS[name]
    found = worst_days.search(break_.scene, break_.faults, break_.kinds, name, 60.0, workers=2)
    assert found.violations, name


def test_an_isolated_controller_under_one_fault() -> None:
    found = worst_days.search("isolated-at-once", 1, ("cut", "oneway"), limit_s=60.0, workers=2)
    assert found.exhausted and not found.violations, found.story

"""Which nodes a relay accepts as followers."""

from __future__ import annotations

from orchidferry.mesh.control.fanout_tree import MAX_FOLLOWERS, tree_rank
from orchidferry.mesh.wire.messages import (
    RelayAccepted,
    RelayFull,
    RelaySubscription,
)
from tests.mesh.control.fakes import RecordingLink, make_subscriber


def test_two_nodes_never_follow_each_other() -> None:
    """Each of two nodes may choose the other as its parent, if its member list has an older process of it."""
    answers = []
    for one, other in (("a", "b"), ("b", "a")):
        subscriber, _ = make_subscriber(one, 1)
        link = RecordingLink()
        subscriber.relay.connected(link)
        subscriber.relay.received(link, RelaySubscription(other, 1, "z", []))
        answers.append(link.sent[0])
    assert RelayAccepted() in answers and RelayFull() in answers


def test_a_full_relay_rejects_further_followers() -> None:
    subscriber, _ = make_subscriber("a", 1)
    names = [f"n{n}" for n in range(200) if tree_rank(f"n{n}", 1) > tree_rank("a", 1)][: MAX_FOLLOWERS + 2]
    links = [RecordingLink() for _ in names]
    for name, link in zip(names, links, strict=True):
        subscriber.relay.connected(link)
        subscriber.relay.received(link, RelaySubscription(name, 1, "z", []))
    assert [link.sent[0] for link in links] == [RelayAccepted()] * MAX_FOLLOWERS + [RelayFull()] * 2
    subscriber._loop.world.run(5.0)
    subscriber.tick()
    assert [link.closed for link in links] == [False] * MAX_FOLLOWERS + [True] * 2
    subscriber.relay.disconnected(links[0])
    new_link = RecordingLink()
    subscriber.relay.connected(new_link)
    subscriber.relay.received(new_link, RelaySubscription(names[-1], 1, "z", []))
    assert new_link.sent[0] == RelayAccepted()

"""What a controller has granted is on its disk, whatever comes late or twice or while the disk is full."""

from __future__ import annotations

from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control.actions import SendReply
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.control.record_age import RELEASED, pack_age
from orchidferry.mesh.storage.environment import KEYS_DB
from orchidferry.mesh.storage.record_format import unpack
from orchidferry.mesh.wire.messages import KeyGrant, KeyReleaseAck
from orchidferry.mesh.wire.shard_messages import Handoff
from orchidferry.testkit.explore.controller import SEEDS, WINDOW_S, Controller
from orchidferry.testkit.explore.mesh_actors import SequentialRandom
from tests.mesh.control.shards import accept_known_state

KEYS = "xy"
HOLDERS = ("t1", "t2", "t3")
AGE = pack_age(2.0)
# An event with a key and a holder. Releases come more often than claims, as most of them come again.
EVENTS = st.tuples(
    st.sampled_from(
        (
            *("claim", "claim", "release", "release", "release", "answer"),
            *("claim row", "answer row", "release row"),
            *("write", "write", "write", "write", "refuse", "tick", "pass", "restart"),
        )
    ),
    st.sampled_from(KEYS),
    st.sampled_from(HOLDERS),
)


class Disk:
    """One controller of three, and a plain record of what it has granted.

    :ivar granted: holder and time of the grant that this controller has sent, by key, until its release
    :ivar executed: holders that have an answer: they release nothing
    """

    def __init__(self) -> None:
        self.now = 1_000.0
        self.number = 0
        self.granted: dict[str, tuple[str, float]] = {}
        self.executed: set[tuple[str, str]] = set()
        self.claims: dict[int, tuple[str, str, float]] = {}
        self.releases: dict[int, tuple[str, str]] = {}
        self.controller = Controller("a", self, True, 1, SequentialRandom(1), SEEDS)
        self._start()

    def _start(self) -> None:
        self.controller.start()
        accept_known_state(self.controller.shard)
        self.controller.tick()

    def send(self, *message: Any) -> None:
        """Drop messages to other controllers."""

    state_changed = request_ended = send

    def answer(self, name: str, answer: SendReply) -> None:
        """Record a grant, and check that an acknowledged release has left no record of its holder on disk."""
        message = answer.message
        if isinstance(message, KeyGrant) and message.outcome == ClaimOutcome.GRANTED:
            key, holder, claimed_s = self.claims[message.request]
            self.granted[key] = (holder, claimed_s)
        elif isinstance(message, KeyReleaseAck):
            key, holder = self.releases[message.number]
            assert (key, holder) in self.executed or self.stored_holder(key) != holder

    def stored_holder(self, key: str) -> str | None:
        """Return the holder of a key according to the disk."""
        raw = self.controller.disk.get((KEYS_DB, key.encode()))
        return unpack(raw)[0] if raw is not None else None

    def play(self, kind: str, key: str, holder: str) -> None:
        """Play one event."""
        controller = self.controller
        self.number += 1
        known_epoch = epoch(controller.shard.known)
        match kind:
            case "claim":
                self.claims[self.number] = (key, holder, self.now)
                controller.claim_key("node", self.number, known_epoch, key, holder)
            case "release" if (key, holder) not in self.executed:
                self.forget(key, holder)
                self.releases[self.number] = (key, holder)
                controller.release_key("node", self.number, key, holder)
            case "answer" if self.granted.get(key, ("", 0.0))[0] == holder:
                self.executed.add((key, holder))
                controller.record_answer(key, holder, f"answer to {holder}")
            case "claim row":
                self.hand_over(key, (holder, AGE, None), False)
            case "answer row" if self.granted.get(key, (holder, 0.0))[0] == holder:
                self.executed.add((key, holder))
                self.hand_over(key, (holder, AGE, f"answer to {holder}"), True)
            case "release row" if (key, holder) not in self.executed:
                self.forget(key, holder)
                self.hand_over(key, (holder, RELEASED, None), False)
            case "write" | "refuse" if controller.writes:
                controller.refuses_writes = kind == "refuse"
                controller.complete_write()
            case "tick":
                self.now += 0.5
                controller.tick()
            case "pass":
                self.now += WINDOW_S / 2.0
                controller.tick()
            case "restart":
                self._start()

    def forget(self, key: str, holder: str) -> None:
        """Forget a grant, as its holder releases the key."""
        if self.granted.get(key, ("", 0.0))[0] == holder:
            del self.granted[key]

    def hand_over(self, key: str, record: tuple[str, int, Any], answered: bool) -> None:
        """Have the controller receive a page of a handoff."""
        known_epoch = epoch(self.controller.shard.known)
        self.controller.receive("b", Handoff("b", known_epoch, self.number, [(key, record, answered)]))

    def check(self) -> None:
        """Check that the disk holds each grant whose window is not over."""
        for key, (holder, granted_s) in self.granted.items():
            if self.now - granted_s < WINDOW_S:
                assert self.stored_holder(key) == holder, f"{key} was granted to {holder}"


@settings(max_examples=400, deadline=None)
@given(st.lists(EVENTS, min_size=10, max_size=60))
@example(  # a release that comes again while another attempt holds the key
    [(kind, "x", holder) for kind, holder in (("release", "t1"), ("claim", "t2"), ("write", "t2"))]
    + [("write", "x", "t2"), ("release", "x", "t1"), ("write", "x", "t1")]
)
def test_what_was_granted_is_on_disk_until_its_holder_releases_it(events: list[tuple[str, str, str]]) -> None:
    """A restart loads what is on disk, so a record missing there lets an operation run twice."""
    disk = Disk()
    for event in events:
        disk.play(*event)
        disk.check()


def test_a_write_confirms_only_the_change_that_it_contains() -> None:
    """A claim's write confirmed the answer that came meanwhile, so its handoff was acknowledged unwritten."""
    disk = Disk()
    disk.play("claim", "x", "t1")
    disk.granted["x"] = ("t1", disk.now)  # the two other controllers have granted it
    disk.play("answer", "x", "t1")
    disk.play("write", "x", "t1")
    disk.play("answer row", "x", "t1")
    disk.play("refuse", "x", "t1")
    disk.play("write", "x", "t1")
    assert unpack(disk.controller.disk[KEYS_DB, b"x"])[2] == "answer to t1"

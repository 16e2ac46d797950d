"""One controller's half of one shard of the state: its replica in the group, the keys of the shard, and
their repair.

Pure: events in, actions out, in the order in which they are to be done; clock and chance are handed in, and
all that it holds can be copied. Whoever runs it does the actions and tells it what came of a `Write`. What a
message promises is on disk before the message leaves.
"""

from __future__ import annotations

import random
from typing import Any

from orchidferry.balancing.register import Kept, Value
from orchidferry.mesh.control.actions import Action, SendReply
from orchidferry.mesh.control.operation_keys import ClaimOutcome, ClaimStatus, KeyRecord
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.repair import Repair, remembered
from orchidferry.mesh.control.write_completions import (
    CaughtUpSaved,
    ClaimSaved,
    HandoffSaved,
    KeyAnswerSaved,
    KeyPageSaved,
    KeyReleaseSaved,
    WriteCompletion,
)
from orchidferry.mesh.storage.environment import KEYS
from orchidferry.mesh.wire.messages import KeyGrant, KeyReleaseAck
from orchidferry.mesh.wire.shard_messages import (
    Handoff,
    HandoffAck,
    KeyPage,
    KeyPageRefusal,
    KeyPageRequest,
    KeyRecords,
    KeyRecordsRequest,
    ShardBody,
)

__all__ = ["Shard", "remembered"]

AGAIN_S = 1.0  # after the disk refused an answer


class Shard(Repair):
    """One shard at one controller."""

    def __init__(
        self,
        number: int,
        name: str,
        first: Value,
        kept: Kept,
        caught_up: bool,
        peers: Peers,
        window_s: float,
        rng: random.Random,
        most: int,
        size: int,
    ) -> None:
        """`first`: the state that all founders begin with; `most`: keys that it may hold; `size`: voters that
        the group should have.
        """
        super().__init__(number, name, first, kept, caught_up, peers, window_s, rng, most, size)
        self.unwritten: dict[str, KeyRecord] = {}  # records that are not surely on disk
        self._again: list[tuple[float, str, KeyRecord]] = []  # answers that the disk refused

    # Events

    def load(self, key: str, packed: list[Any]) -> None:
        """A record from its own disk, before anything else."""
        self.operation_keys.merge(key, packed)

    def tick(self, now: float) -> list[Action]:
        """Let time pass."""
        over = self.operation_keys.expire(now)
        if over:
            self._write([(KEYS, key.encode("latin-1"), None) for key in over])
        for due, key, record in self._again:
            if due <= now and self.operation_keys.records.get(key) is record:
                self._write([self._stored(key, record)], KeyAnswerSaved(key, record))
        self._again = [one for one in self._again if one[0] > now]
        if self._pass_time(now):
            self._mind_silent()
            self._see_whether_caught_up()
        self._learn_keys(now)
        return self._flush()

    def heard(self, who: Any, message: ShardBody, now: float) -> list[Action]:
        """A message of another controller; `who` takes the answer. `ValueError` and its like for a bad
        one.
        """
        self.now = now
        match message:
            case KeyPageRequest():
                self._give_page(who, message)
            case KeyPage():
                self._take_page(message)
            case KeyPageRefusal():
                self.learner.declined(message.name, message.number, now)
            case KeyRecordsRequest():
                self._give_records(who, message)
            case KeyRecords():
                self._take_records(message)
            case Handoff():
                self._take_handoff(who, message)
            case HandoffAck():
                self.hints.taken(message.name, message.number)
                self._hand_over(message.name)
            case _:
                self._take(who, message)
        return self._flush()

    def written(self, completion: WriteCompletion, ok: bool, now: float) -> list[Action]:
        """Take the result of a write.

        :param completion: of the `WriteRecords` action.
        :param ok: whether the records are on disk.
        :param now: seconds on the clock of the event loop.
        """
        self.now = now
        match completion:
            case ClaimSaved(who, rid, under, key, holder, record) if ok:
                if self.unwritten.get(key) is record:
                    del self.unwritten[key]
                # While the disk was at work the key may have been given back, or the group have changed.
                mine = self.operation_keys.records.get(key) is record and holder == record.holder
                what = ClaimOutcome.GRANTED if mine and self.grants(under) else ClaimOutcome.RETRY
                self._out.append(SendReply(who, KeyGrant(rid, under, what, None)))
            case KeyAnswerSaved(key, record) if not ok:
                self._again.append((now + AGAIN_S, key, record))
            case KeyPageSaved(name, request):
                self._page_written(name, request, ok)
            case HandoffSaved(who, number) if ok:
                self._reply(who, HandoffAck(self.name, number))
            case KeyReleaseSaved(who, give_back) if ok:
                self._out.append(SendReply(who, KeyReleaseAck(give_back)))
            case CaughtUpSaved(under):
                self._caught_up(under, ok)
            case _:
                self._kept(completion, ok)
        return self._flush()

    # Operation keys

    def claim(
        self, who: Any, rid: int, under: int, key: str, holder: str, room: bool, now: float
    ) -> list[Action]:
        """A try wants a key; `room`: whether the disk has room for another."""
        self.now = now

        def say(what: ClaimOutcome, answer: Any = None) -> list[Action]:
            self._out.append(SendReply(who, KeyGrant(rid, under, what, answer)))
            return self._flush()

        if not self.grants(under) or (not room and key not in self.operation_keys.records):
            return say(ClaimOutcome.RETRY)
        result = self.operation_keys.claim(key, holder)
        record = result.record
        if record is None:
            return say(ClaimOutcome.RETRY)
        if result.status is ClaimStatus.HELD_BY_OTHER:
            return say(ClaimOutcome.HELD_BY_OTHER, record.answer)
        if not result.is_new and self.unwritten.get(key) is not record:
            return say(ClaimOutcome.GRANTED)
        self.unwritten[key] = record
        self.hints.wrote(key, now)
        self._write([self._stored(key, record)], ClaimSaved(who, rid, under, key, holder, record))
        return self._flush()

    def done(self, key: str, holder: str, answer: Any, now: float) -> list[Action]:
        """A key's first run was answered."""
        self.now = now
        record = self.operation_keys.record_answer(key, holder, answer)
        if record is not None:
            self.hints.wrote(key, now)
            self._write([self._stored(key, record)], KeyAnswerSaved(key, record))
        return self._flush()

    def drop(self, who: Any, give_back: int, key: str, holder: str, now: float) -> list[Action]:
        """A try gives its key back: it has not run and never will. `who` hears once that is on disk; when it
        comes again, the write of the first time may have failed.
        """
        self.now = now
        if self.operation_keys.release(key, holder):
            self.unwritten.pop(key, None)
        if self.operation_keys.released.get(key) == holder:
            self._write([(KEYS, key.encode("latin-1"), None)], KeyReleaseSaved(who, give_back))
        else:
            self._out.append(SendReply(who, KeyReleaseAck(give_back)))
        return self._flush()

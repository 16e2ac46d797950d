"""One controller's half of one shard of the state: its replica in the group, the keys of the shard, and
their repair.

Pure: events in, actions out, in the order in which they are to be done; clock and chance are handed in, and
all that it holds can be copied. Whoever runs it does the actions and tells it what came of a `Write`. What a
message promises is on disk before the message leaves.
"""

from __future__ import annotations

import random
from typing import Any

from mesh.control import shard_state
from mesh.control.hinted_handoff import Hints
from mesh.control.membership import epoch
from mesh.control.operation_keys import Granted, Held, KeyRecord, OperationKeys
from mesh.control.replica import Action, Answer, Note, Peers, Replica
from mesh.storage.store import Put, pack
from nickelbridge.register import Kept, Value

BATCH = 200  # keys in one message of repair
AGAIN_S = 1.0  # after the disk refused an answer
PAGE_S = 2.0  # for a page of another controller's keys


class Shard(Replica):
    """One shard at one controller."""

    def __init__(
        self, number: int, name: str, first: Value, kept: Kept, caught_up: bool, peers: Peers,
        window_s: float, rng: random.Random, most: int, size: int,
    ) -> None:  # fmt: skip
        """`first`: the state that all founders begin with; `most`: keys that it may hold; `size`: voters that
        the group should have.
        """
        super().__init__(number, name, first, kept, caught_up, peers, rng, size)
        self.operation_keys = OperationKeys(window_s, most)
        self.unwritten: dict[str, KeyRecord] = {}  # records that are not surely on disk
        self.missed = Hints()
        self._pages: dict[str, tuple[int, float]] = {}  # while catching up: the page asked for, until when
        self._catching = False  # that it has caught up is on its way to the disk
        self._giving: dict[str, list[str]] = {}  # the keys that a controller that catches up is given
        self._again: list[tuple[float, str, KeyRecord]] = []  # answers that the disk refused

    # Events

    def load(self, key: str, packed: list[Any]) -> None:
        """A record from its own disk, before anything else."""
        self.operation_keys.load(key, packed)

    def tick(self, now: float) -> list[Action]:
        """Let time pass."""
        over = self.operation_keys.turn(now)
        if over:
            self._write([("slips", key.encode("latin-1"), None) for key in over])
        for due, key, record in self._again:
            if due <= now and self.operation_keys.records.get(key) is record:
                self._write([self._stored(key, record)], ("answer", key, record))
        self._again = [one for one in self._again if one[0] > now]
        if self._pass_time(now):
            self._mind_missed()
            self._see_whether_caught_up()
        for name, (_, until) in list(self._pages.items()):
            if until <= now:
                del self._pages[name]
                self.standing.forget_source(name)
        for name in self.standing.to_ask(self.voter, self.known, self.acceptor.kept.value):
            if self.peers.alive(name, now):
                self.standing.sources[name] = False
                self._ask_page(name, 0)
        return self._flush()

    def heard(self, who: Any, message: list[Any], now: float) -> list[Action]:
        """A message of another controller; `who` takes the answer. `ValueError` and its like for a bad
        one.
        """
        self.now = now
        match message:
            case ["slips?", name, under, at]:
                self._give_records(who, name, under, at)
            case ["slips", name, under, at, rows, last]:
                self._take_records(name, under, at, rows, last)
            case ["missed", name, under, number, rows]:
                self._take_missed(who, name, under, number, rows)
            case ["missed!", name, number]:
                self.missed.taken(name, number)
            case _:
                self._take(who, message)
        return self._flush()

    def written(self, then: tuple[Any, ...], ok: bool, now: float) -> list[Action]:
        """What came of a write."""
        self.now = now
        match then:
            case ("claim", who, rid, under, key, holder, record) if ok:
                if self.unwritten.get(key) is record:
                    del self.unwritten[key]
                # While the disk was at work the key may have been given back, or the group have changed.
                mine = self.operation_keys.records.get(key) is record and holder == record.holder  # type: ignore[union-attr]
                what = "yours" if mine and self.grants(under) else "wait"
                self._out.append(Answer(who, ["slip", rid, under, what, None]))
            case ("answer", key, record) if not ok:
                self._again.append((now + AGAIN_S, key, record))
            case ("page", name, at, last):
                self._page_written(name, at, last, ok)
            case ("missed", who, number) if ok:
                self._reply(who, "missed!", self.name, number)
            case ("caught",) if ok:
                self.standing.caught_up, self._catching = True, False
                self._out.append(Note(f"caught up with {len(self.operation_keys.records)} keys"))
            case ("caught",):  # looked at again with time
                self._catching = False
            case _:
                self._kept(then, ok)
        return self._flush()

    def _regrouped(self, value: Value) -> None:
        self.missed.keep_only({voter.name for voter in value.voters})

    @staticmethod
    def _stored(key: str, record: KeyRecord) -> Put:
        return "slips", key.encode("latin-1"), pack(record.packed())

    # Operation keys

    def claim(
        self, who: Any, rid: int, under: int, key: str, holder: str, room: bool, now: float
    ) -> list[Action]:
        """A try wants a key; `room`: whether the disk has room for another."""
        self.now = now

        def say(what: str, answer: Any = None) -> list[Action]:
            self._out.append(Answer(who, ["slip", rid, under, what, answer]))
            return self._flush()

        if not self.grants(under) or (not room and key not in self.operation_keys.records):
            return say("wait")
        outcome, new = self.operation_keys.claim(key, holder)
        if isinstance(outcome, Held):
            return say("held", outcome.answer)
        if not isinstance(outcome, Granted):
            return say("wait")
        record = self.operation_keys.records[key]
        if new is None and self.unwritten.get(key) is not record:
            return say("yours")
        self.unwritten[key] = record
        self.missed.wrote(key, now)
        self._write([self._stored(key, record)], ("claim", who, rid, under, key, holder, record))
        return self._flush()

    def done(self, key: str, holder: str, answer: Any, now: float) -> list[Action]:
        """A key's first run was answered."""
        self.now = now
        record = self.operation_keys.done(key, holder, answer)
        if record is not None:
            self.missed.wrote(key, now)
            self._write([self._stored(key, record)], ("answer", key, record))
        return self._flush()

    def drop(self, key: str, holder: str, now: float) -> list[Action]:
        """A try gives its key back: it has not run and never will."""
        self.now = now
        if self.operation_keys.drop(key, holder):
            self.unwritten.pop(key, None)
            self._write([("slips", key.encode("latin-1"), None)])
        return self._flush()

    # Repair

    def _mind_missed(self) -> None:
        """Keep for a silent controller what it misses; hand it over, page by page, once it is back."""
        for name in self._others():
            if not any(v.name == name for v in self.known.voters):
                continue
            if not self.peers.alive(name, self.now):
                self.missed.silent(name, self.now)
                continue
            page = self.missed.page(name, self.now, BATCH)
            if page is not None:
                rows = [
                    [k, self.operation_keys.records[k].packed()]
                    for k in page[1]
                    if k in self.operation_keys.records
                ]
                self._say(name, "missed", self.name, epoch(self.known), page[0], rows)

    def _take_missed(self, who: Any, name: str, under: int, number: int, rows: list[Any]) -> None:
        if under != epoch(self.known) or not self.standing.caught_up:
            return  # it is told again, or learns all
        # What it granted itself stands; the others' word adds to it.
        puts = self._loaded(
            [row for row in rows if row[1][2] is not None or row[0] not in self.operation_keys.records]
        )
        if puts:
            self._write(puts, ("missed", who, number))
        else:
            self._reply(who, "missed!", self.name, number)

    def _loaded(self, rows: list[Any]) -> list[Put]:
        puts: list[Put] = []
        for key, packed in rows:
            had = self.operation_keys.records.get(key)
            before = (had.holder, had.answer) if had is not None else None
            self.operation_keys.load(key, packed)
            record = self.operation_keys.records[key]
            if (record.holder, record.answer) != before:
                puts.append(self._stored(key, record))
        return puts

    def _ask_page(self, name: str, at: int) -> None:
        """Ask for the next keys; what comes is on disk before more is asked for."""
        if self.standing.sources.get(name) is not False:
            return
        self._pages[name] = (at, self.now + PAGE_S)
        self._say(name, "slips?", self.name, epoch(self.known), at)

    def _give_records(self, who: Any, name: str, under: int, at: int) -> None:
        if not self.grants(under):
            # All that it may have forgotten is out of its window by now, as no grant of it counted since.
            quiet = not self.standing.caught_up and under == epoch(self.known)
            if quiet and self.now - self.abstains_s > self.operation_keys.kept_s and not at:
                self._reply(who, "slips", self.name, under, at, [], True)
            return
        if not at:  # what is claimed from now on is claimed without the one that asks
            self._giving[name] = list(self.operation_keys.records)
        keys = self._giving.get(name, [])
        last = at + BATCH >= len(keys)
        if last:
            self._giving.pop(name, None)
        rows = [
            [k, self.operation_keys.records[k].packed()]
            for k in keys[at : at + BATCH]
            if k in self.operation_keys.records
        ]
        self._reply(who, "slips", self.name, under, at, rows, last)

    def _take_records(self, name: str, under: int, at: int, rows: list[Any], last: bool) -> None:
        if self.standing.caught_up or under != epoch(self.known) or self._pages.get(name, (-1,))[0] != at:
            return
        del self._pages[name]
        puts = self._loaded(rows)
        self._write(puts or [self._about("catching", b"1")], ("page", name, at, last))

    def _page_written(self, name: str, at: int, last: bool, ok: bool) -> None:
        if not ok:
            return self.standing.forget_source(name)
        if not last:
            return self._ask_page(name, at + BATCH)
        if name in self.standing.sources:
            self.standing.sources[name] = True
        self._see_whether_caught_up()

    def _see_whether_caught_up(self) -> None:
        if not self._catching and self.standing.enough(self.known):
            self._catching = True
            self._write([self._about("caught", b"1")], ("caught",))


def remembered(number: int, kept: Kept, caught_up: bool) -> list[Put]:
    """What a shard's new memory puts on disk."""
    puts: list[Put] = [("about", f"kept/{number}".encode(), pack(shard_state.pack_kept(kept)))]
    if caught_up:
        puts.append(("about", f"caught/{number}".encode(), b"1"))
    return puts

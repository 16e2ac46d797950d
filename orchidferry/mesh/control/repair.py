"""Repair of one controller's half of a shard: learning all keys of the others, giving them to who learns,
and handing over what a silent controller missed. Pure.

A controller that forgot, or that has no place in the group yet, learns from `sources_needed` others. Without
a place it copies ahead: that counts for nothing but its word that it is ready. What counts is told under the
epoch of a group that it is a voter of, by voters that have closed all epochs before; by then that is the
difference since it copied.
"""

from __future__ import annotations

import math
import random
from typing import Any

from orchidferry.balancing.register import Kept, Value
from orchidferry.mesh.control import key_transfer, shard_state
from orchidferry.mesh.control.actions import Log
from orchidferry.mesh.control.hinted_handoff import Hints
from orchidferry.mesh.control.key_transfer import GIVEN_BACK, KeyLearner, KeySource, Page, Request
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.operation_keys import KeyRecord, OperationKeys
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.replica import Replica
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.control.write_completions import CaughtUpSaved, HandoffSaved, KeyPageSaved
from orchidferry.mesh.storage.environment import KEYS
from orchidferry.mesh.storage.store import Put, pack
from orchidferry.mesh.wire.shard_messages import (
    Handoff,
    HandoffAck,
    KeyPage,
    KeyPageRejection,
    KeyPageRequest,
    KeyRecords,
    KeyRecordsRequest,
    KeyRow,
)

MAX_HINTS = 4_000  # keys in one page of hints, whatever its bytes


class Repair(Replica):
    """One shard's repair at one controller."""

    def __init__(
        self,
        parameters: ShardParameters,
        kept: Kept,
        caught_up: bool,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        """As `Shard.__init__`."""
        super().__init__(parameters, kept, caught_up, peers, rng)
        self.operation_keys = OperationKeys(parameters.key_window_s, parameters.max_keys)
        self.hints = Hints()
        self.source = KeySource()
        self.learner = KeyLearner()
        self._catching = False  # that it has caught up is on its way to the disk

    @staticmethod
    def _stored(key: str, record: KeyRecord) -> Put:
        return KEYS, key.encode("latin-1"), pack(record.packed())

    def _regrouped(self, value: Value) -> None:
        super()._regrouped(value)
        self.hints.keep_only({voter.name for voter in value.voters})
        self.standing.regrouped()
        self.learner.regrouped()
        self.source.copies.clear()

    # What is known of it

    @property
    def ready(self) -> bool:
        """Whether it holds what it can be told before it has a place: all of enough voters, or of all that
        can tell.
        """
        if self.standing.enough(self.known):
            return True
        able = [v.name for v in self.known.voters if self.peers.alive(v.name, self.now)]
        return bool(able) and all(
            self.standing.sources.get(name) or name in self.learner.refused for name in able
        )

    def learned(self, now: float) -> bool:
        """Whether it holds all that voters and those that leave can tell."""
        return self.standing.caught_up and not self._farewells(now)

    def _farewells(self, now: float) -> list[str]:
        """Controllers that have just lost their place and live on until this one has what they heard last."""
        sources = self.standing.sources
        names = {v.name for v in self.known.voters}
        return [
            name
            for name in self.learner.cursors
            if name not in names
            and name in self.peers.leaving
            and not sources.get(name)
            and self.peers.alive(name, now)
        ]

    def must_stay(self, now: float) -> bool:
        """Whether this controller, told to end, is still needed here: as a voter in whose place another could
        come, or until the others have all that it holds for them.
        """
        names = {voter.name for voter in self.known.voters}
        others = [name for name in self.peers.heard_s if name != self.name and self.peers.alive(name, now)]
        if self.voter in self.known.voters:
            return any(name not in names and name not in self.peers.leaving for name in others)
        owed = [name for name in others if name in names]
        return any(
            name in self.hints.kept or self.number in self.peers.learning.get(name, ()) for name in owed
        )

    # Learning

    def _learn_keys(self, now: float) -> None:
        """Ask who has yet to tell what this controller lacks."""
        self.learner.give_up(now)
        counted = self.standing.counts(self.voter, self.known, self.acceptor.kept.value)
        for name in self._farewells(now):
            self._ask_page(name, False)
        if self.standing.caught_up:
            return
        if not counted and not self._group().wanted():
            return self.standing.regrouped()  # what it was told grows old
        if self.standing.enough(self.known):
            return
        names = self.standing.to_ask(self.voter, self.known)
        # Who leaves comes first, then who is being copied from.
        cursors = self.learner.cursors
        leaving = self.peers.leaving
        for name in sorted(names, key=lambda name: (name not in leaving, name not in cursors)):
            if self.peers.alive(name, now):
                self._ask_page(name, counted)

    def _ask_page(self, name: str, counted: bool) -> None:
        if not self.learner.may_ask(name, self.now):
            return
        request = self.learner.ask(name, counted, self.now)
        life, sequence = self.learner.cursors.get(name, ("", 0))
        brief = self.learner.brief(name, len(self.operation_keys.records))
        self._say(
            name,
            KeyPageRequest(self.name, request.number, counted, epoch(self.known), life, sequence, brief),
        )

    def _give_page(self, who: Any, request: KeyPageRequest) -> None:
        if self._granted_nothing_that_counts(request):
            return self._reply(who, self._page_of(request, Page([], 0, True)))
        if not self._may_tell(request):
            return self._reply(who, KeyPageRejection(self.name, request.number))
        sequence = request.sequence if request.incarnation == self.life else 0
        page = self.source.page(self.operation_keys, request.name, sequence, request.omit_answers)
        self._reply(who, self._page_of(request, page))

    def _granted_nothing_that_counts(self, request: KeyPageRequest) -> bool:
        """Whether all that this controller may have forgotten is out of its window, as it grants nothing."""
        if not request.as_voter or self.grants(request.epoch):
            return False
        quiet = not self.standing.caught_up and request.epoch == epoch(self.known)
        return quiet and self.now - self.abstains_s > self.operation_keys.max_retention_s

    def _may_tell(self, request: KeyPageRequest) -> bool:
        if request.as_voter:
            return self.grants(request.epoch)
        return self.standing.caught_up or self.peers.stopping

    def _page_of(self, request: KeyPageRequest, page: Page) -> KeyPage:
        return KeyPage(
            self.name, request.number, page.sequence, page.rows, page.last, self.life, request.as_voter
        )

    def _take_page(self, message: KeyPage) -> None:
        request = self.learner.waits(message.name, message.number)
        if request is None or request.page is not None:
            return
        request.page = Page(message.rows, message.sequence, message.last)
        request.life = message.incarnation
        request.lacking = key_transfer.lacking(self.operation_keys, message.rows)
        self._go_on(message.name, request)

    def _go_on(self, name: str, request: Request) -> None:
        """Ask for the records that a page left out; once all are here, have the page on disk."""
        assert request.page is not None
        request.until_s = self.now + key_transfer.WAIT_S
        if request.lacking:
            first = request.lacking[: key_transfer.MAX_ASKED]
            return self._say(name, KeyRecordsRequest(self.name, request.number, first))
        puts = self._loaded(request.page.rows)
        self._write(puts or [self._about("catching", b"1")], KeyPageSaved(name, request))

    def _give_records(self, who: Any, request: KeyRecordsRequest) -> None:
        rows, covered = key_transfer.bounded(self.operation_keys, request.keys)
        self._reply(who, KeyRecords(self.name, request.number, rows, covered))

    def _take_records(self, message: KeyRecords) -> None:
        request = self.learner.waits(message.name, message.number)
        if request is None or request.page is None or not request.lacking:
            return
        request.page.rows.extend(message.rows)
        request.lacking = request.lacking[max(1, message.keys_covered) :]
        self._go_on(message.name, request)

    def _page_written(self, name: str, request: Request, ok: bool) -> None:
        if self.learner.requests.get(name) is not request:
            return
        if not ok:
            self.learner.declined(name, request.number, self.now)
            return
        self.learner.on_disk(name, request)
        assert request.page is not None
        if not request.page.last:
            return self._ask_page(name, request.counted)
        self.standing.sources[name] = True
        self._see_whether_caught_up()
        self._learn_keys(self.now)
        if not self.standing.caught_up and self.voter not in self.known.voters and self.ready:
            self._join()

    def _see_whether_caught_up(self) -> None:
        counted = self.standing.counts(self.voter, self.known, self.acceptor.kept.value)
        waits = not self.standing.caught_up and not self._catching
        if waits and counted and self.standing.enough(self.known):
            self._catching = True
            self._write([self._about("caught", b"1")], CaughtUpSaved(epoch(self.known)))

    def _caught_up(self, under: int, ok: bool) -> None:
        """What came of writing that it has caught up; void if the group has changed meanwhile."""
        self._catching = False
        if not ok:
            return  # looked at again with time
        if under != epoch(self.known) or self.voter not in self.known.voters:
            return self._write([self._about("caught", None)])
        self.standing.caught_up = True
        self._out.append(Log(f"caught up with {len(self.operation_keys.records)} keys"))

    def _loaded(self, rows: list[KeyRow]) -> list[Put]:
        """Take records of another controller; what is to be written of them."""
        puts: list[Put] = []
        keys = self.operation_keys
        for key, (holder, shelf, answer), _ in rows:
            had = keys.records.get(key)
            if shelf == GIVEN_BACK:
                if keys.release(key, holder):
                    puts.append((KEYS, key.encode("latin-1"), None))
                continue
            before = (had.holder, had.answer) if had is not None else None
            keys.merge(key, [holder, shelf, answer])
            record = keys.records.get(key)  # none, where its holder has given it back here
            if record is not None and (record.holder, record.answer) != before:
                puts.append(self._stored(key, record))
        return puts

    # What a silent controller missed

    def _mind_silent(self) -> None:
        """Keep for a silent controller what it misses; hand it over, page by page, once it is back."""
        for name in self._others():
            if not any(v.name == name for v in self.known.voters):
                continue
            if not self.peers.alive(name, self.now):
                self.hints.silent(name, self.now)
            else:
                self._hand_over(name)

    def _hand_over(self, name: str) -> None:
        keys = self.operation_keys
        page = self.hints.page(name, self.now, MAX_HINTS, lambda names: key_transfer.bounded(keys, names)[1])
        if page is not None:
            rows, _ = key_transfer.bounded(keys, page[1], most=math.inf)
            self._say(name, Handoff(self.name, epoch(self.known), page[0], rows))

    def _take_handoff(self, who: Any, handoff: Handoff) -> None:
        if handoff.epoch != epoch(self.known) or not self.standing.caught_up:
            return  # it is told again, or learns all
        puts = self._loaded([row for row in handoff.rows if self._adds(row)])
        if puts:
            self._write(puts, HandoffSaved(who, handoff.number))
        else:
            self._reply(who, HandoffAck(self.name, handoff.number))

    def _adds(self, row: KeyRow) -> bool:
        """Whether another controller's word adds to what this one holds; what it granted itself stands."""
        key, (_, shelf, _), answered = row
        return answered or shelf == GIVEN_BACK or key not in self.operation_keys.records


def remembered(number: int, kept: Kept, caught_up: bool) -> list[Put]:
    """What a shard's new memory puts on disk."""
    puts: list[Put] = [("about", f"kept/{number}".encode(), pack(shard_state.pack_kept(kept)))]
    if caught_up:
        puts.append(("about", f"caught/{number}".encode(), b"1"))
    return puts

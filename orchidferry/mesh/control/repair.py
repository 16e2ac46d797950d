"""Repair of the operation keys of one shard at one controller. Performs no I/O.

Repair means learning all keys of the other controllers (the sources), sending keys to a controller that
learns them (a learner), and handing over the writes that a silent controller missed.

A controller that lost its records, or that is not a voter of the group yet, learns from
`shard_state.sources_needed` others. Before it is a voter it copies keys in advance; this only lets it report
that it is ready to join. It has caught up once it has learned, in the epoch of a group that it is a voter of,
from voters that have closed all earlier epochs; by then only the difference since its copy is transferred.
"""

from __future__ import annotations

import math
import random
from typing import Any

from orchidferry.balancing.register import AcceptorState, Value
from orchidferry.mesh.control import key_transfer, shard_state_codec
from orchidferry.mesh.control.hinted_handoff import Hints
from orchidferry.mesh.control.key_names import is_storable
from orchidferry.mesh.control.key_transfer import (
    NO_CURSOR,
    KeyLearner,
    KeySource,
    PageRequest,
    TransferPage,
)
from orchidferry.mesh.control.key_writes import KeyWrite, KeyWrites
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.operation_keys import OperationKeys
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.record_age import RELEASED
from orchidferry.mesh.control.replica import Replica
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.control.write_completions import (
    CaughtUpSaved,
    HandoffSaved,
    KeyPageSaved,
    VoidRecordDeleted,
)
from orchidferry.mesh.storage.record_format import RecordWrite, pack
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

MAX_HINTS_PER_PAGE = 4_000  # maximum number of keys in a page, regardless of their size in bytes


class RepairingReplica(Replica):
    """A replica that holds operation keys and repairs them with the other controllers of its shard.

    :ivar key_writes: the writes of operation keys.
    :ivar hints: the writes that silent controllers missed.
    :ivar source: the sending side of key transfers.
    :ivar learner: the learning side of key transfers.
    """

    def __init__(
        self,
        parameters: ShardParameters,
        acceptor_state: AcceptorState,
        caught_up: bool,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        """Create a `RepairingReplica`.

        :param parameters: fixed parameters of the shard.
        :param acceptor_state: the register acceptor's state as loaded from disk.
        :param caught_up: whether this controller has all operation keys that were granted, according to its
            disk.
        :param peers: state of the other controllers as observed here, shared by all shards.
        :param rng: the source of all random choices.
        """
        super().__init__(parameters, acceptor_state, caught_up, peers, rng)
        self.operation_keys = OperationKeys(parameters.key_window_s, parameters.max_keys)
        self.key_writes = KeyWrites(self.operation_keys)
        self.hints = Hints()
        self.source = KeySource()
        self.learner = KeyLearner()
        self._saving_caught_up = False  # whether the record of having caught up is being written
        # Whether the record of having caught up is on disk, but the group had changed before it was.
        self._has_void_record = False

    @property
    def ready(self) -> bool:
        """Whether this controller has learned all that it can learn before it is a voter.

        That is all keys of enough voters, or of all voters that are alive and able to send their keys.
        """
        if self.standing.has_enough_sources(self.known):
            return True
        alive = [v.name for v in self.known.voters if self.peers.alive(v.name, self.context.now)]
        return bool(alive) and all(
            self.standing.sources.get(name) or name in self.learner.refused for name in alive
        )

    def has_learned(self, now: float) -> bool:
        """Return whether this controller has all keys of the voters and of the leaving controllers."""
        return self.standing.caught_up and not self._leaving_sources(now)

    def must_stay(self, now: float) -> bool:
        """Return whether this controller, which is stopping, is still needed in this shard.

        A voter is needed as long as another controller could replace it. A controller that is not a voter is
        needed until the voters have all keys and hints that it holds for them.
        """
        names = {voter.name for voter in self.known.voters}
        others = [name for name in self.peers.heard_s if name != self.name and self.peers.alive(name, now)]
        if self.voter in self.known.voters:
            return any(name not in names and name not in self.peers.leaving for name in others)
        return any(
            name in self.hints.kept or self.number in self.peers.learning.get(name, ())
            for name in others
            if name in names
        )

    def _group_changed(self, value: Value) -> None:
        super()._group_changed(value)
        self.hints.retain({voter.name for voter in value.voters})
        self.standing.forget_sources()
        self.learner.reset_requests()
        self.source.transfers.clear()

    def _leaving_sources(self, now: float) -> list[str]:
        """Return the sources that are no longer voters and keep running until their last keys are copied."""
        names = {v.name for v in self.known.voters}
        return [
            name
            for name in self.learner.cursors
            if name not in names
            and name in self.peers.leaving
            and not self.standing.sources.get(name)
            and self.peers.alive(name, now)
        ]

    # Learning from sources

    def _request_pages(self, now: float) -> None:
        """Request pages from the sources that have not sent all their keys yet."""
        self.learner.expire_requests(now)
        as_voter = self.standing.learns_as_voter(self.voter, self.known, self.accepted_value)
        for name in self._leaving_sources(now):
            self._request_page(name, False)
        if self.standing.caught_up:
            return None
        if not as_voter and not self._group().should_prepare_to_join():
            return self.standing.forget_sources()  # the copied keys become outdated
        if self.standing.has_enough_sources(self.known):
            return None
        leaving = self.peers.leaving
        cursors = self.learner.cursors
        # Leaving controllers come first, then those from which copying has begun.
        names = sorted(
            self.standing.missing_sources(self.voter, self.known),
            key=lambda name: (name not in leaving, name not in cursors),
        )
        for name in names:
            if self.peers.alive(name, now):
                self._request_page(name, as_voter)
        return None

    def _request_page(self, source: str, as_voter: bool) -> None:
        """Request a source's next page, if a request to that source is allowed now."""
        if not self.learner.may_ask(source, self.context.now):
            return
        request = self.learner.begin_request(source, as_voter, self.context.now)
        cursor = self.learner.cursors.get(source, NO_CURSOR)
        omit_answers = self.learner.omits_answers(source, len(self.operation_keys.records))
        message = KeyPageRequest(
            self.name,
            request.number,
            as_voter,
            epoch(self.known),
            cursor.incarnation,
            cursor.sequence,
            omit_answers,
        )
        self.context.send(source, message)

    def _handle_page(self, message: KeyPage) -> None:
        """Handle a page of a source."""
        request = self.learner.pending_request(message.name, message.number)
        if request is None or request.page is not None:
            return
        request.page = TransferPage(message.rows, message.sequence, message.last)
        request.incarnation = message.incarnation
        request.lacking = key_transfer.missing_answers(self.operation_keys, message.rows)
        self._complete_page(message.name, request)

    def _handle_records(self, message: KeyRecords) -> None:
        """Handle records that a page omitted."""
        request = self.learner.pending_request(message.name, message.number)
        if request is None or request.page is None or not request.lacking:
            return
        request.page.rows.extend(message.rows)
        request.lacking = request.lacking[max(1, message.keys_covered) :]
        self._complete_page(message.name, request)

    def _complete_page(self, source: str, request: PageRequest) -> None:
        """Request the records that a page omitted; once all have arrived, write the page to disk."""
        assert request.page is not None
        request.deadline_s = self.context.now + key_transfer.PAGE_TIMEOUT_S
        if request.lacking:
            first = request.lacking[: key_transfer.MAX_RECORDS_REQUESTED]
            return self.context.send(source, KeyRecordsRequest(self.name, request.number, first))
        write = self._merge_rows(request.page.rows)
        puts = write.puts or [self.context.metadata("catching", b"1")]
        self.context.write(puts, KeyPageSaved(source, request, write.changes))
        return None

    def _page_saved(self, source: str, request: PageRequest, ok: bool) -> None:
        """Continue after the write of a page.

        :param source: name of the controller that sent the page.
        :param request: the request that the page answers.
        :param ok: whether the page is on disk.
        """
        if self.learner.requests.get(source) is not request:
            return None
        if not ok:
            self.learner.handle_refusal(source, request.number, self.context.now)
            return None
        self.learner.page_stored(source, request)
        assert request.page is not None
        if not request.page.last:
            return self._request_page(source, request.as_voter)
        self.standing.sources[source] = True
        self._check_caught_up()
        self._request_pages(self.context.now)
        if not self.standing.caught_up and self.voter not in self.known.voters and self.ready:
            self._ask_to_join()
        return None

    def _check_caught_up(self) -> None:
        """If this controller has caught up, write a record of that to disk."""
        if self.standing.caught_up or self._saving_caught_up:
            return
        as_voter = self.standing.learns_as_voter(self.voter, self.known, self.accepted_value)
        if as_voter and self.standing.has_enough_sources(self.known):
            self._saving_caught_up = True
            self.context.write([self.context.metadata("caught", b"1")], CaughtUpSaved(epoch(self.known)))

    def _caught_up_saved(self, caught_up_epoch: int, ok: bool) -> None:
        """Continue after the write of the record that this controller has caught up.

        If the group has changed since, the record is void. A restart would load it, so this controller does
        not ask to join a group before the record is deleted.

        :param caught_up_epoch: the epoch in which this controller has caught up.
        :param ok: whether the record is on disk.
        """
        self._saving_caught_up = False
        if not ok:
            return None  # `_check_caught_up` is called again periodically
        if caught_up_epoch != epoch(self.known) or self.voter not in self.known.voters:
            self._has_void_record = True
            return self._delete_void_record()
        self._has_void_record = False
        self.standing.caught_up = True
        self.context.log(f"caught up with {len(self.operation_keys.records)} keys")
        return None

    def _delete_void_record(self) -> None:
        """Delete a void record of having caught up, unless a new one is being written in its place."""
        if self._has_void_record and not self._saving_caught_up:
            self.context.write([self.context.metadata("caught", None)], VoidRecordDeleted())

    def _ask_to_join(self) -> None:
        if not self._has_void_record:
            super()._ask_to_join()

    def _merge_rows(self, rows: list[KeyRow], only_additions: bool = False) -> KeyWrite:
        """Merge key records of another controller.

        Where a row changes nothing, but this controller's record is not on disk yet, the record is written
        again: the write of an earlier copy of the row may have failed. Rows of keys that no controller can
        have granted are skipped.

        :param only_additions: whether records that this controller has granted itself stay as they are while
            their window lasts.
        :returns: the write that is needed before the rows count as stored.
        """
        keys = self.operation_keys
        unsaved: dict[str, None] = {}  # in the order of the rows
        for key, (holder, packed_age, answer), answered in rows:
            if not is_storable(key):
                continue
            existing = keys.records.get(key)
            is_addition = existing is None or keys.is_outdated(key, holder, packed_age)
            if packed_age == RELEASED:
                keys.release(key, holder)
            elif is_addition or answered or not only_additions:
                keys.merge(key, [holder, packed_age, answer])
            is_unchanged = keys.records.get(key) is existing
            deletes_nothing = existing is None and packed_age != RELEASED
            if not is_unchanged or not (deletes_nothing or self.key_writes.is_saved(key)):
                unsaved[key] = None
        return self.key_writes.request(unsaved)

    # Sending to learners

    def _handle_page_request(self, reply_to: Any, request: KeyPageRequest) -> None:
        """Send a learner its next page, or reject the request."""
        if self._granted_nothing(request):
            return self.context.reply(reply_to, self._key_page(request, TransferPage([], 0, True)))
        if not self._may_send_keys(request):
            return self.context.reply(reply_to, KeyPageRejection(self.name, request.number))
        sequence = request.sequence if request.incarnation == self.register.incarnation else 0
        page = self.source.page(self.operation_keys, request.name, sequence, request.omit_answers)
        self.context.reply(reply_to, self._key_page(request, page))
        return None

    def _granted_nothing(self, request: KeyPageRequest) -> bool:
        """Return whether this controller grants no keys, and all keys that it may have lost have expired."""
        if not request.as_voter or self.grants(request.epoch):
            return False
        abstains = not self.standing.caught_up and request.epoch == epoch(self.known)
        return abstains and self.context.now - self.abstains_since_s > self.operation_keys.max_retention_s

    def _may_send_keys(self, request: KeyPageRequest) -> bool:
        if request.as_voter:
            return self.grants(request.epoch)
        return self.standing.caught_up or self.peers.stopping

    def _key_page(self, request: KeyPageRequest, page: TransferPage) -> KeyPage:
        return KeyPage(
            self.name,
            request.number,
            page.sequence,
            page.rows,
            page.last,
            self.register.incarnation,
            request.as_voter,
        )

    def _handle_records_request(self, reply_to: Any, request: KeyRecordsRequest) -> None:
        """Send a learner the complete records of some keys."""
        batch = key_transfer.collect_rows(self.operation_keys, request.keys)
        self.context.reply(reply_to, KeyRecords(self.name, request.number, batch.rows, batch.covered))

    # Hinted handoff

    def _update_hints(self) -> None:
        """Collect hints for silent voters; send hints, page by page, to voters that are heard again."""
        for name in self.register.other_controllers():
            if not any(v.name == name for v in self.known.voters):
                continue
            if not self.peers.alive(name, self.context.now):
                self.hints.mark_silent(name, self.context.now)
            else:
                self._send_hints(name)

    def _send_hints(self, controller: str) -> None:
        """Send a controller that is heard again its next page of hints, if one is due."""
        keys = self.operation_keys
        page = self.hints.next_page(
            controller,
            self.context.now,
            MAX_HINTS_PER_PAGE,
            lambda names: key_transfer.collect_rows(keys, names).covered,
        )
        if page is not None:
            batch = key_transfer.collect_rows(keys, page.keys, max_bytes=math.inf)
            self.context.send(controller, Handoff(self.name, epoch(self.known), page.number, batch.rows))

    def _handle_handoff(self, reply_to: Any, handoff: Handoff) -> None:
        """Handle a page of writes that this controller missed while it was silent."""
        if handoff.epoch != epoch(self.known) or not self.standing.caught_up:
            return  # the page is sent again, or this controller learns all keys anyway
        write = self._merge_rows(handoff.rows, only_additions=True)
        if write.puts:
            self.context.write(write.puts, HandoffSaved(reply_to, handoff.number, write.changes))
        else:
            self.context.reply(reply_to, HandoffAck(self.name, handoff.number))


def initial_records(number: int, acceptor_state: AcceptorState, caught_up: bool) -> list[RecordWrite]:
    """Return the first writes of a controller that has no records of a shard.

    :param number: number of the shard.
    :param acceptor_state: initial state of the register's acceptor.
    :param caught_up: whether there are no operation keys that the controller would have to learn.
    """
    puts: list[RecordWrite] = [
        ("about", f"kept/{number}".encode(), pack(shard_state_codec.pack_acceptor_state(acceptor_state)))
    ]
    if caught_up:
        puts.append(("about", f"caught/{number}".encode(), b"1"))
    return puts

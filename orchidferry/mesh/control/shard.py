"""One controller's replica of one shard of the control state, with the shard's operation keys.

A shard performs no I/O: it handles events and returns actions, in the order in which they must be carried
out; the clock and the random generator are passed in. The runner of a shard carries out its actions and
reports the result of each `WriteRecords`. Whatever a message promises is on disk before the message is sent.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from orchidferry.balancing.register import AcceptorState
from orchidferry.mesh.control.actions import Action, SendReply
from orchidferry.mesh.control.key_names import is_storable
from orchidferry.mesh.control.operation_keys import ClaimOutcome, ClaimStatus, KeyRecord
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.repair import RepairingReplica, initial_records
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.control.write_completions import (
    CaughtUpSaved,
    ClaimSaved,
    HandoffSaved,
    KeyAnswerSaved,
    KeyPageSaved,
    KeyReleaseSaved,
    VoidRecordDeleted,
    WriteCompletion,
)
from orchidferry.mesh.storage.record_format import pack
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, KeyGrant, KeyRelease, KeyReleaseAck
from orchidferry.mesh.wire.shard_messages import (
    Handoff,
    HandoffAck,
    KeyPage,
    KeyPageRejection,
    KeyPageRequest,
    KeyRecords,
    KeyRecordsRequest,
    ShardBody,
)

__all__ = ["Shard", "initial_records"]

AGE_BUCKET_RECORD = "age"  # name of the metadata record with the bucket of the age clock
ANSWER_RETRY_S = 1.0  # pause after a failed write of an answer


@dataclass(frozen=True, slots=True)
class AnswerRetry:
    """A retry of the write of an operation key's answer, after that write has failed.

    :param due_s: time of the retry, in seconds on the event loop's clock.
    :param key: the operation key.
    :param record: the key's record, with the answer.
    """

    due_s: float
    key: str
    record: KeyRecord


class Shard(RepairingReplica):
    """One controller's replica of one shard, with the shard's operation keys."""

    def __init__(
        self,
        parameters: ShardParameters,
        acceptor_state: AcceptorState,
        caught_up: bool,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        """Create the shard from the state on the controller's disk, without its operation keys and orders.

        :param parameters: fixed parameters of the shard.
        :param acceptor_state: the register acceptor's state as loaded from disk.
        :param caught_up: whether this replica has all operation keys that were granted.
        :param peers: state of the other controllers as observed here, shared by all shards.
        :param rng: the source of all random choices.
        """
        super().__init__(parameters, acceptor_state, caught_up, peers, rng)
        self._answer_retries: list[AnswerRetry] = []

    # Events

    def load_key(self, key: str, packed: list[Any]) -> None:
        """Load the record of an operation key from disk, before any other event."""
        self.operation_keys.load(key, packed)

    def load_age_bucket(self, stored_bucket: int) -> None:
        """Load the bucket of the age clock from disk, before any other event."""
        self.operation_keys.resume_clock(stored_bucket)

    def tick(self, now: float) -> list[Action]:
        """Perform the work that is due.

        :param now: current time, in seconds on the event loop's clock.
        """
        expired = self.operation_keys.expire(now)
        if expired:
            self.context.write(self.key_writes.request(expired).puts)
        bucket = self.operation_keys.bucket_to_save()
        if bucket is not None:
            self.context.write([self.context.metadata(AGE_BUCKET_RECORD, pack(bucket))])
        for retry in self._answer_retries:
            if retry.due_s <= now and self.operation_keys.records.get(retry.key) is retry.record:
                self._write_answer(retry.key, retry.record)
        self._answer_retries = [retry for retry in self._answer_retries if retry.due_s > now]
        if self._pass_time(now):
            self._update_hints()
            self._delete_void_record()
            self._check_caught_up()
        self._request_pages(now)
        return self._take_actions()

    def receive(self, sender: Any, message: ShardBody, now: float) -> list[Action]:
        """Handle a message of another controller.

        :param sender: the link over which a reply is sent.
        :param now: current time, in seconds on the event loop's clock.
        :raises ValueError: for a malformed message; also TypeError, KeyError or IndexError.
        """
        self._advance(now)
        match message:
            case KeyPageRequest():
                self._handle_page_request(sender, message)
            case KeyPage():
                self._handle_page(message)
            case KeyPageRejection():
                self.learner.handle_refusal(message.name, message.number, now)
            case KeyRecordsRequest():
                self._handle_records_request(sender, message)
            case KeyRecords():
                self._handle_records(message)
            case Handoff():
                self._handle_handoff(sender, message)
            case HandoffAck():
                self.hints.acknowledge(message.name, message.number)
                self._send_hints(message.name)
            case _:
                self._receive_from_replica(sender, message)
        return self._take_actions()

    def write_finished(self, completion: WriteCompletion, ok: bool, now: float) -> list[Action]:
        """Handle the result of a write.

        :param completion: the completion that the `WriteRecords` action carried.
        :param ok: whether the records are on disk.
        :param now: current time, in seconds on the event loop's clock.
        """
        self.context.now = now
        match completion:
            case ClaimSaved() if ok:
                self._claim_saved(completion)
            case KeyAnswerSaved():
                self._answer_saved(completion, ok)
            case KeyPageSaved(name, request, changes):
                if ok:
                    self.key_writes.confirm(changes)
                self._page_saved(name, request, ok)
            case HandoffSaved(reply_to, number, changes) if ok:
                self.key_writes.confirm(changes)
                self.context.reply(reply_to, HandoffAck(self.name, number))
            case KeyReleaseSaved(reply_to, number, changes) if ok:
                self.key_writes.confirm(changes)
                self.context.actions.append(SendReply(reply_to, KeyReleaseAck(number)))
            case CaughtUpSaved(epoch):
                self._caught_up_saved(epoch, ok)
            case VoidRecordDeleted():
                self._has_void_record = self._has_void_record and not ok
            case _:
                self._replica_written(completion, ok)
        return self._take_actions()

    def _advance(self, now: float) -> None:
        """Update the clock: after a pause of the process messages may arrive before the next tick."""
        self.context.now = now
        self.operation_keys.advance(now)

    # Operation keys

    def claim_key(self, sender: Any, claim: KeyClaim, has_capacity: bool, now: float) -> list[Action]:
        """Grant or refuse an operation key to an attempt.

        :param sender: the link over which the reply is sent; a grant is sent once it is on disk.
        :param claim: the claim of the attempt.
        :param has_capacity: whether the disk has room for another record.
        :param now: current time, in seconds on the event loop's clock.
        """
        self._advance(now)
        key = claim.key
        has_space = has_capacity or key in self.operation_keys.records
        if not (is_storable(key) and has_space and self.grants(claim.epoch)):
            return self._answer_claim(sender, claim, ClaimOutcome.RETRY)
        result = self.operation_keys.claim(key, claim.attempt_id)
        record = result.record
        if record is None:
            return self._answer_claim(sender, claim, ClaimOutcome.RETRY)
        if result.status is ClaimStatus.HELD_BY_OTHER:
            return self._answer_claim(sender, claim, ClaimOutcome.HELD_BY_OTHER, record.answer)
        if not result.is_new and self.key_writes.is_saved(key):
            return self._answer_claim(sender, claim, ClaimOutcome.GRANTED)
        self.hints.record_write(key, now)
        write = self.key_writes.request([key])
        completion = ClaimSaved(
            sender, claim.request, claim.epoch, key, claim.attempt_id, record, write.changes
        )
        self.context.write(write.puts, completion)
        return self._take_actions()

    def _answer_claim(
        self, sender: Any, claim: KeyClaim, outcome: ClaimOutcome, answer: Any = None
    ) -> list[Action]:
        self.context.actions.append(SendReply(sender, KeyGrant(claim.request, claim.epoch, outcome, answer)))
        return self._take_actions()

    def _claim_saved(self, claim: ClaimSaved) -> None:
        """Answer a claim after its record was written to disk.

        The key may have been released or the group may have changed since the write was begun.
        """
        self.key_writes.confirm(claim.changes)
        is_current = self.operation_keys.records.get(claim.key) is claim.record
        granted = is_current and claim.holder == claim.record.holder and self.grants(claim.epoch)
        outcome = ClaimOutcome.GRANTED if granted else ClaimOutcome.RETRY
        self.context.actions.append(
            SendReply(claim.reply_to, KeyGrant(claim.request, claim.epoch, outcome, None))
        )

    def record_answer(self, message: KeyAnswer, now: float) -> list[Action]:
        """Record the answer of the first execution under an operation key.

        :param now: current time, in seconds on the event loop's clock.
        """
        self._advance(now)
        if not is_storable(message.key):
            return self._take_actions()
        record = self.operation_keys.record_answer(message.key, message.attempt_id, message.answer)
        if record is not None:
            self.hints.record_write(message.key, now)
            self._write_answer(message.key, record)
        return self._take_actions()

    def _write_answer(self, key: str, record: KeyRecord) -> None:
        write = self.key_writes.request([key])
        self.context.write(write.puts, KeyAnswerSaved(key, record, write.changes))

    def _answer_saved(self, saved: KeyAnswerSaved, ok: bool) -> None:
        """Continue after the write of an answer; a failed write is retried while the record is kept."""
        if ok:
            self.key_writes.confirm(saved.changes)
        elif self.operation_keys.records.get(saved.key) is saved.record:
            due_s = self.context.now + ANSWER_RETRY_S
            self._answer_retries.append(AnswerRetry(due_s, saved.key, saved.record))

    def release_key(self, sender: Any, release: KeyRelease, now: float) -> list[Action]:
        """Release an operation key whose attempt was not executed and never will be.

        The release is acknowledged once no record of the attempt is on disk. A late or repeated release may
        find the record of another attempt, which stays. The key is written again, because an earlier write
        may have failed, unless a record is known to be on disk: it has replaced that of the attempt.

        :param sender: the link over which the release is acknowledged.
        :param now: current time, in seconds on the event loop's clock.
        """
        self.context.now = now
        key = release.key
        if is_storable(key):
            self.operation_keys.release(key, release.attempt_id)
        if is_storable(key) and not self.key_writes.is_saved(key):
            write = self.key_writes.request([key])
            self.context.write(write.puts, KeyReleaseSaved(sender, release.number, write.changes))
        else:
            self.context.actions.append(SendReply(sender, KeyReleaseAck(release.number)))
        return self._take_actions()

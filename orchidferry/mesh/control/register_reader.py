"""Linearizable reads at one replica of a shard's register.

A read asks the voters for the state that each has accepted; if their reports do not show the decided state,
the replica runs a ballot round that changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.contact import LOST_CONTACT
from orchidferry.mesh.control.quorum_read import (
    INTERNAL_READER,
    READ_RETRY_S,
    READ_TIMEOUT_S,
    AcceptedReport,
    QuorumRead,
    ReadQueue,
)
from orchidferry.mesh.control.register_messages import pack_voter
from orchidferry.mesh.control.register_replica import Purpose, RegisterReplica
from orchidferry.mesh.control.shard_context import ShardContext
from orchidferry.mesh.wire.shard_messages import AcceptedState, AcceptedStateRequest

UNDECIDED_CHECK_S = 0.15  # after this a read checks whether an accepted state has been decided


class RegisterReader:
    """Reads the newest state of one shard, for requests and for the replica itself.

    :ivar reads: the current read and the readers that are queued.
    """

    def __init__(self, context: ShardContext, register: RegisterReplica) -> None:
        self.context = context
        self.register = register
        self.reads = ReadQueue()
        # Time since which an accepted state has not been known to be decided; 0.0 if there is no such state.
        self._undecided_since_s = 0.0

    @property
    def due_s(self) -> float:
        """Latest time for the next call of `tick`, in seconds on the event loop's clock; else infinity."""
        return self.reads.due_s

    def begin_request(self, request: str) -> None:
        """Begin a read for a request; requests that arrive during a read share the next one."""
        self.reads.until_s[request] = self.context.now + READ_TIMEOUT_S
        self.read(request)

    def read(self, reader: str) -> None:
        """Begin a read, or queue the reader for the next one if a read is in progress.

        :param reader: the id of a request, or `INTERNAL_READER`.
        """
        self.reads.queued.append(reader)
        if not self.reads.busy:
            self._begin_next()

    def end(self, readers: list[str], value: Value | None, why: str) -> None:
        """End a read: answer its readers, and begin the next read.

        :param readers: the readers of the read.
        :param value: the newest decided state; None if it was not found in time.
        :param why: the reason why the read was given up; "" for none.
        """
        if value is None and not why:
            self.context.log(f"read {self.reads.count} has found no decided state: {self._progress()}")
        requests = self.reads.pop_waiting(readers)
        self.context.actions += [self.register.outcome(request, value, why) for request in requests]
        self._begin_next()

    def _progress(self) -> str:
        """Describe for the log how far the current read has come."""
        read = self.reads.current
        reports = "all that a ballot round needs" if read is None else _names(read.reports)
        known = self.register.known
        own = "" if self.register.vote_on_disk else ", own vote not on disk"
        return f"reports={reports} voters={_names(known.voters)} former={_names(known.former_voters)}{own}"

    def round_withdrawn(self) -> None:
        """Note that the ballot round run for a read was withdrawn."""
        self.reads.busy = False

    def end_requests(self) -> None:
        """End all requests because contact is lost; the replica's own reads continue."""
        requests = self.reads.pop_all_requests()
        self.context.actions += [RequestEnded(request, None, LOST_CONTACT) for request in requests]
        if self.reads.queued and not self.reads.busy:
            self._begin_next()

    def tick(self) -> None:
        """End requests and reads that have timed out; ask the voters again or run a ballot round if due."""
        now = self.context.now
        read = self.reads.current
        self.context.actions += [RequestEnded(request, None, "") for request in self.reads.pop_expired(now)]
        if read is None:
            return
        if read.until_s <= now:
            self.end(read.readers, None, "")
        elif read.retry_s <= now and read.needs_round(self.register.known.voters):
            self.reads.current = None
            self.register.propose(
                f"read {read.number}", shard_state.no_change, read.until_s - now, Purpose.READ, read.readers
            )
        elif read.retry_s <= now:
            read.retry_s = now + READ_RETRY_S
            self._ask_voters(read)

    def check_undecided(self) -> None:
        """Begin a read if a state accepted here has not become known as decided for some time."""
        now = self.context.now
        value = self.register.acceptor.state.value
        if value is None or value.version <= self.register.known.version:
            self._undecided_since_s = 0.0
        elif not self._undecided_since_s:
            self._undecided_since_s = now
        elif now - self._undecided_since_s > UNDECIDED_CHECK_S * (1.0 + self.context.rng.random()):
            self._undecided_since_s = now
            self.read(INTERNAL_READER)

    def report_accepted(self, sender_link: Any, request: AcceptedStateRequest) -> None:
        """Report this replica's accepted state to another replica, if that state is on disk."""
        if not self.register.vote_on_disk:
            return
        state = self.register.acceptor.state
        packed = None if request.known_ballot == state.accepted else shard_state_codec.pack_value(state.value)
        voter = pack_voter(self.register.voter)
        self.context.reply(sender_link, AcceptedState(request.reading, voter, state.accepted, packed))

    def handle_report(self, message: AcceptedState) -> None:
        """Handle another replica's report of its accepted state."""
        value = shard_state_codec.unpack_value(message.state)
        report = AcceptedReport(Voter(*message.voter), message.accepted, value)
        read = self.reads.current
        if read is not None and read.number == message.reading:
            self._add_report(read, report)

    def _begin_next(self) -> None:
        read = self.reads.begin(self.register.acceptor.state, self.context.now)
        if read is not None:
            self._ask_voters(read)

    def _ask_voters(self, read: QuorumRead) -> None:
        """Ask the other controllers for their accepted states, and add this replica's own report."""
        for name in self.register.other_controllers():
            self.context.send(name, AcceptedStateRequest(read.number, read.own_state.accepted))
        if self.register.vote_on_disk:
            state = self.register.acceptor.state
            value = None if state.accepted == read.own_state.accepted else state.value
            self._add_report(read, AcceptedReport(self.register.voter, state.accepted, value))

    def _add_report(self, read: QuorumRead, report: AcceptedReport) -> None:
        read.add(report)
        register = self.register
        knows_initial = register.is_founder and not register.known.version
        value = read.decided_value(register.known if knows_initial else None)
        if value is not None:
            register.learn(value)
            self.end(read.readers, register.known, "")


def _names(voters: Iterable[Voter]) -> str:
    return ",".join(sorted(voter.name for voter in voters)) or "none"

"""Linearizable reads of a shard's newest state from its voters' reports. Performs no I/O.

A reader repeatedly asks each voter for the ballot and state that it accepted last, until the reports of a
majority show which state was decided. Reports of different moments can be combined: each was made after the
read began, and the ballot that a voter has accepted only rises. So in any majority at least one voter reports
a ballot that is not lower than that of any state decided before the read began.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.balancing.register import NO_BALLOT, AcceptorState, Ballot, Value, Voter, has_majority

READ_RETRY_S = 0.1  # time for voters to answer, before they are asked again or a ballot round is run
READ_TIMEOUT_S = 0.8  # timeout of a read; callers proceed without an answer after 1 s
INTERNAL_READER = ""  # stands for the replica itself among the readers of a read


@dataclass(frozen=True, slots=True)
class AcceptedReport:
    """A voter's report of the newest state that it has accepted and has on disk.

    :param voter: the reporting voter.
    :param accepted: the ballot of that state.
    :param value: the state; None if the reader already has the state of that ballot.
    """

    voter: Voter
    accepted: Ballot
    value: Value | None


def decided_value(
    reports: list[AcceptedReport], own: Value | None, own_ballot: Ballot, initial: Value | None
) -> Value | None:
    """Find the decided state, if the reports of a majority show it.

    If a majority has accepted the same ballot, its state is decided; any state decided later would have been
    accepted by a voter of that majority. This writes nothing and interferes with no proposer's ballot round.

    :param reports: the voters' reports.
    :param own: the state that the reader itself had accepted, under `own_ballot`.
    :param own_ballot: the ballot that the reader itself had accepted.
    :param initial: the register's initial state, decided if no state has been accepted; None if unknown.
    :returns: the decided state; None if a ballot round has to be run to find it.
    """
    for ballot in {report.accepted for report in reports}:
        matching = [report for report in reports if report.accepted == ballot]
        if ballot == NO_BALLOT:
            value = initial
        elif ballot == own_ballot:
            value = own
        else:
            value = next((report.value for report in matching if report.value is not None), None)
        if value is None:
            continue
        voters = [report.voter for report in matching]
        if has_majority(value.voters, voters) and (
            not value.former_voters or has_majority(value.former_voters, voters)
        ):
            return value
    return None


@dataclass(slots=True)
class QuorumRead:
    """A read in progress, with the voters' reports so far.

    :param number: number of the read, unique among the reads of one replica.
    :param own_state: the acceptor state of the reading replica when the read began.
    :param readers: the readers that wait for the outcome: ids of requests, or `INTERNAL_READER`.
    :param until_s: time at which the read is given up, in seconds on the event loop's clock.
    :param retry_s: time at which the voters are asked again or a ballot round is run.
    :param reports: the newest report of each voter.
    """

    number: int
    own_state: AcceptorState
    readers: list[str]
    until_s: float
    retry_s: float
    reports: dict[Voter, AcceptedReport] = field(default_factory=dict)

    def add(self, report: AcceptedReport) -> None:
        """Add a voter's report; of several reports of one voter that with the highest ballot counts."""
        previous = self.reports.get(report.voter)
        if previous is None or previous.accepted <= report.accepted:
            self.reports[report.voter] = report

    def decided_value(self, initial: Value | None) -> Value | None:
        """Find the decided state, if the reports show it.

        :param initial: the register's initial state, decided if no state has been accepted; None if unknown.
        """
        return decided_value(
            list(self.reports.values()), self.own_state.value, self.own_state.accepted, initial
        )

    def needs_round(self, voters: tuple[Voter, ...]) -> bool:
        """Whether a majority has reported, so that only a ballot round can still find the decided state."""
        return 2 * len(self.reports) > len(voters)


@dataclass
class ReadQueue:
    """The reads of one replica: one at a time; readers that arrive during a read share the next one.

    :param count: number of reads begun so far.
    :param queued: the readers that share the next read.
    :param until_s: for each waiting request by id, the time at which it is given up.
    :param current: the read for which voters are being asked; None if there is none.
    :param busy: whether a read, or a ballot round run for one, is in progress.
    """

    count: int = 0
    queued: list[str] = field(default_factory=list)
    until_s: dict[str, float] = field(default_factory=dict)
    current: QuorumRead | None = None
    busy: bool = False

    @property
    def due_s(self) -> float:
        """Time of the next retry or timeout, in seconds on the event loop's clock; else infinity."""
        times = [*self.until_s.values()]
        if self.current is not None:
            times += [self.current.retry_s, self.current.until_s]
        return min(times, default=float("inf"))

    def begin(self, own_state: AcceptorState, now: float) -> QuorumRead | None:
        """Begin the next read.

        :param own_state: this replica's acceptor state.
        :param now: current time, in seconds on the event loop's clock.
        :returns: the read; None if no reader is queued.
        """
        readers = self.queued
        self.queued = []
        self.current = None
        self.busy = bool(readers)
        if readers:
            self.count += 1
            self.current = QuorumRead(
                self.count, own_state, readers, now + READ_TIMEOUT_S, now + READ_RETRY_S
            )
        return self.current

    def pop_waiting(self, readers: list[str]) -> list[str]:
        """Remove and return those of a read's readers that are requests still waiting for it."""
        return [reader for reader in readers if self.until_s.pop(reader, None) is not None]

    def pop_expired(self, now: float) -> list[str]:
        """Remove and return the requests that have timed out."""
        expired = [request for request, until_s in self.until_s.items() if until_s <= now]
        return self.pop_waiting(expired)

    def pop_all_requests(self) -> list[str]:
        """Remove and return all requests; the replica's own reads continue."""
        requests = self.pop_waiting(list(self.until_s))
        if self.current is not None and INTERNAL_READER not in self.current.readers:
            self.current = None
            self.busy = False
        self.queued = [reader for reader in self.queued if reader == INTERNAL_READER]
        return requests

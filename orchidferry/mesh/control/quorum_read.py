"""Linearizable reads of a shard's newest state: what its voters report to have accepted.

A reader asks each voter, again and again until the reports of a majority show what was decided. Reports of
different moments may be put together: each was given after the read began, and what a voter has accepted only
rises, so whatever was decided before the read began is at or below what one voter of any majority has
reported. Nothing here does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.balancing.register import NO_BALLOT, AcceptorState, Ballot, Value, Voter, has_majority

READ_RETRY_S = 0.1  # for voters to answer, before they are asked again or a round is run
READ_TIMEOUT_S = 0.8  # for all of it: a caller goes on after a second without an answer
INTERNAL_READER = ""  # the reader of a read that the replica runs for itself


@dataclass(frozen=True, slots=True)
class AcceptedReport:
    """What one voter has accepted last, on its disk.

    :param value: None where whoever asked has the state of that ballot itself.
    """

    voter: Voter
    accepted: Ballot
    value: Value | None


def decided_value(
    reports: list[AcceptedReport], own: Value | None, own_ballot: Ballot, initial: Value | None
) -> Value | None:
    """Find the state that was decided, if what a majority has accepted shows it.

    A majority that accepted one ballot has decided its state; anything decided later would have been accepted
    by one of that majority. Nothing is written for this, and nobody's round is disturbed.

    :param own: the state that the reader itself had accepted, under `own_ballot`.
    :param initial: the state that is decided if nobody has accepted any, where that is known.
    :returns: the state; None if a round has to be run.
    """
    for ballot in {report.accepted for report in reports}:
        alike = [report for report in reports if report.accepted == ballot]
        if ballot == NO_BALLOT:
            value = initial
        elif ballot == own_ballot:
            value = own
        else:
            value = next((report.value for report in alike if report.value is not None), None)
        if value is None:
            continue
        voters = [report.voter for report in alike]
        if has_majority(value.voters, voters) and (
            not value.former_voters or has_majority(value.former_voters, voters)
        ):
            return value
    return None


@dataclass(slots=True)
class QuorumRead:
    """One read: what voters have reported so far.

    :param number: tells the reads of one replica apart.
    :param own_state: what the reading replica itself had accepted as the read began.
    :param readers: who waits for the outcome: ids of requests, or `INTERNAL_READER`.
    :param until_s: when the read is given up.
    :param retry_s: when the voters are asked again, or a round is run.
    """

    number: int
    own_state: AcceptorState
    readers: list[str]
    until_s: float
    retry_s: float
    reports: dict[Voter, AcceptedReport] = field(default_factory=dict)

    def add(self, report: AcceptedReport) -> None:
        """Take a voter's report; of two of one voter the later one counts."""
        previous = self.reports.get(report.voter)
        if previous is None or previous.accepted <= report.accepted:
            self.reports[report.voter] = report

    def decided_value(self, initial: Value | None) -> Value | None:
        """Find the state that was decided, if the reports show it.

        :param initial: as for the function of this name.
        """
        return decided_value(
            list(self.reports.values()), self.own_state.value, self.own_state.accepted, initial
        )

    def needs_round(self, voters: tuple[Voter, ...]) -> bool:
        """Whether so many have reported that only a round of the register can find the state."""
        return 2 * len(self.reports) > len(voters)


@dataclass
class ReadQueue:
    """The reads of one replica: one at a time, and those who ask meanwhile share the next one.

    :param count: reads that were begun.
    :param queued: the readers that share the next read.
    :param until_s: by request: when it is given up.
    :param current: the read that voters are asked for.
    :param busy: whether a read, or the round that it has led to, is under way.
    """

    count: int = 0
    queued: list[str] = field(default_factory=list)
    until_s: dict[str, float] = field(default_factory=dict)
    current: QuorumRead | None = None
    busy: bool = False

    @property
    def due_s(self) -> float:
        """When something is to be done; infinite for never."""
        dues = [*self.until_s.values()]
        if self.current is not None:
            dues += [self.current.retry_s, self.current.until_s]
        return min(dues, default=float("inf"))

    def begin(self, own_state: AcceptorState, now: float) -> QuorumRead | None:
        """Begin the next read.

        :param own_state: what this replica has accepted.
        :returns: None if nobody waits for a read.
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

    def take_waiting(self, readers: list[str]) -> list[str]:
        """A read has ended: take those of its readers that are requests which still wait for it."""
        return [reader for reader in readers if self.until_s.pop(reader, None) is not None]

    def take_expired(self, now: float) -> list[str]:
        """Take the requests that have waited too long."""
        expired = [request for request, until_s in self.until_s.items() if until_s <= now]
        return self.take_waiting(expired)

    def take_all_requests(self) -> list[str]:
        """Take all requests; the reads that the replica runs for itself go on."""
        requests = self.take_waiting(list(self.until_s))
        if self.current is not None and INTERNAL_READER not in self.current.readers:
            self.current = None
            self.busy = False
        self.queued = [reader for reader in self.queued if reader == INTERNAL_READER]
        return requests

"""An independent check of the six operating rules on the events and actions of one node.

It is written from the specification of the rules and shares no code or state with the balancer.
Rule 4 (the load of a warming server) is not checked here but in test_property.py.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Group, Health, ListKind, Repeat, Result


class RuleViolationError(AssertionError):
    """A node has violated an operating rule."""


@dataclass
class Attempt:
    sent_ms: float
    server: int
    group: str | int | None
    result: Result | None = None


@dataclass
class AcceptedRequest:
    cls: api.RequestClass
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    ended: bool = False


class Checker:
    """Must get every event before the node handles it, and every action after that.

    Raises `RuleViolationError`.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.accepted: dict[str, AcceptedRequest] = {}
        self.accepted_at_ms: list[float] = []
        self.retries_at_ms: list[float] = []
        self.servers: dict[int, api.ServerEntry] = {}
        self.out_of_service: dict[int, float] = {}  # time at which the node learned of it

    def event(self, event: api.Event, now: float) -> None:
        if isinstance(event, api.Request):
            self.accepted[event.id] = AcceptedRequest(self.classes[event.cls], now + event.ttl_ms)
            self.accepted_at_ms.append(now)
        elif isinstance(event, api.AttemptEnded) and event.id in self.accepted:
            request = self.accepted[event.id]
            request.attempts[event.attempt].result = event.result
            request.ended = request.ended or event.settled
        elif isinstance(event, api.ClientGone) and event.id in self.accepted:
            self.accepted[event.id].ended = True
        elif isinstance(event, api.ServerList) and event.kind is not ListKind.FAILED:
            listed = {entry.server: entry for entry in event.entries}
            for number in self.servers:
                if event.kind is not ListKind.CHANGES and number not in listed:
                    self.out_of_service.setdefault(number, now)
            for number, entry in listed.items():
                self.servers[number] = entry
                if entry.health is Health.IN_SERVICE:
                    self.out_of_service.pop(number, None)
                else:
                    self.out_of_service.setdefault(number, now)

    def action(self, action: api.Action, now: float) -> None:
        if isinstance(action, api.Send):
            self._send(action, now)
        elif isinstance(action, api.Fail | api.Refuse):
            request = self.accepted[action.id]
            self._require(not request.ended, "rule 1: second final answer")
            late = now > request.deadline + self.settings.answer_slack_ms
            self._require(not late, "rule 1: answer after the deadline")
            request.ended = True
            if isinstance(action, api.Refuse):
                cls = request.cls
                dropped_by_all = cls.repeat is Repeat.KEYED and cls.group is Group.ALL
                harmless = cls.repeat is Repeat.SAFE or dropped_by_all or not self._may_have_run(request)
                self._require(harmless, "rule 2: refusal of a request that may have run")

    def end(self) -> None:
        """Check that every accepted request has been answered."""
        self._require(all(request.ended for request in self.accepted.values()), "rule 1: no final answer")

    def _send(self, send: api.Send, now: float) -> None:
        request = self.accepted[send.id]
        server = self.servers[send.server]
        cls = request.cls
        self._require(not request.ended, "rule 1: send for a request that has ended")
        self._require(len(request.attempts) < self.settings.max_attempts, "more attempts than allowed")
        in_flight = [attempt for attempt in request.attempts if attempt.result is None]
        self._require(not in_flight or self.settings.parallel_attempts, "attempts in parallel")
        group = {Group.ALL: None, Group.ZONE: server.zone, Group.CELL: server.cell}[cls.group]
        may_have_run = self._may_have_run(request)
        if may_have_run:
            self._require(cls.repeat is not Repeat.UNSAFE, "rule 2: repeat of an unsafe request")
        if may_have_run and cls.repeat is Repeat.KEYED:
            self._require(
                all(attempt.group == group for attempt in may_have_run), "rule 2: repeat in another group"
            )
            self._require(now - may_have_run[0].sent_ms <= cls.window_ms, "rule 2: repeat after the window")
        since = self.out_of_service.get(send.server, now)
        self._require(now - since <= self.settings.drain_grace_ms, "rule 3: send to a draining server")
        if request.attempts and self.settings.repeat_ratio is not None:
            span = self.settings.resend_span_ms
            self.retries_at_ms.append(now)
            retries = sum(sent_ms >= now - span for sent_ms in self.retries_at_ms)
            accepted = sum(accepted_ms > now - span for accepted_ms in self.accepted_at_ms)
            allowed = self.settings.extra_floor + self.settings.repeat_ratio * accepted
            self._require(retries <= allowed, "rule 5: retry beyond the budget")
        request.attempts.append(Attempt(now, send.server, group))

    def _may_have_run(self, request: AcceptedRequest) -> list[Attempt]:
        never_ran = {Result.UNREACHABLE, Result.MOOT}
        if not self.settings.full_may_have_run:
            never_ran.add(Result.REFUSED)  # rule 6
        return [attempt for attempt in request.attempts if attempt.result not in never_ran]

    @staticmethod
    def _require(kept: bool, rule: str) -> None:
        if not kept:
            raise RuleViolationError(rule)

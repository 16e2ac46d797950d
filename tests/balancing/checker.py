"""The six operating rules, checked from outside on what was told to a node and what it did.

Written from the wire page's wording of the rules, and of nothing in the decision module: it keeps its
own books. Rule 4 is checked for one node alone: what it sends to a cold server in any window.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Group, Health, ListKind, Repeat, Result


class RuleBrokenError(AssertionError):
    """A rule is broken."""


@dataclass
class Attempt:
    at: float
    server: int
    group: str | int | None
    result: Result | None = None


@dataclass
class Taken:
    cls: api.RequestClass
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False


class Checker:
    """Told every event before the node, and every action after; raises `RuleBrokenError`."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.taken: dict[str, Taken] = {}
        self.taken_at: list[float] = []
        self.further_at: list[float] = []
        self.known: dict[int, api.ServerEntry] = {}
        self.out_of_service: dict[int, float] = {}  # since when the node knows

    def event(self, event: api.Event, now: float) -> None:
        if isinstance(event, api.Request):
            self.taken[event.id] = Taken(self.classes[event.cls], now + event.ttl_ms)
            self.taken_at.append(now)
        elif isinstance(event, api.AttemptEnded) and event.id in self.taken:
            request = self.taken[event.id]
            request.attempts[event.attempt].result = event.result
            request.over = request.over or event.settled
        elif isinstance(event, api.ClientGone) and event.id in self.taken:
            self.taken[event.id].over = True
        elif isinstance(event, api.ServerList) and event.kind is not ListKind.FAILED:
            listed = {entry.server: entry for entry in event.entries}
            for number in self.known:
                if event.kind is not ListKind.CHANGES and number not in listed:
                    self.out_of_service.setdefault(number, now)
            for number, entry in listed.items():
                self.known[number] = entry
                if entry.health is Health.IN_SERVICE:
                    self.out_of_service.pop(number, None)
                else:
                    self.out_of_service.setdefault(number, now)

    def action(self, action: api.Action, now: float) -> None:
        if isinstance(action, api.Send):
            self._send(action, now)
        elif isinstance(action, api.Fail | api.Refuse):
            request = self.taken[action.id]
            self._need(not request.over, "rule 1: a second final answer")
            late = now > request.deadline + self.settings.answer_slack_ms
            self._need(not late, "rule 1: an answer after the deadline")
            request.over = True
            if isinstance(action, api.Refuse):
                cls = request.cls
                everywhere = cls.repeat is Repeat.KEYED and cls.group is Group.ALL
                harmless = cls.repeat is Repeat.SAFE or everywhere or not self._may_have_run(request)
                self._need(harmless, "rule 2: a refusal of what may have run")

    def end(self) -> None:
        """All that was taken has been answered."""
        self._need(all(request.over for request in self.taken.values()), "rule 1: a request was lost")

    def _send(self, send: api.Send, now: float) -> None:
        request = self.taken[send.id]
        server = self.known[send.server]
        cls = request.cls
        self._need(not request.over, "rule 1: a send for what is over")
        self._need(len(request.attempts) < self.settings.max_attempts, "more attempts than allowed")
        out = [attempt for attempt in request.attempts if attempt.result is None]
        self._need(not out or self.settings.parallel_attempts, "two attempts at once")
        group = {Group.ALL: None, Group.ZONE: server.zone, Group.CELL: server.cell}[cls.group]
        ran = self._may_have_run(request)
        if ran:
            self._need(cls.repeat is not Repeat.UNSAFE, "rule 2: an unsafe request sent again")
        if ran and cls.repeat is Repeat.KEYED:
            self._need(all(attempt.group == group for attempt in ran), "rule 2: another group")
            self._need(now - ran[0].at <= cls.window_ms, "rule 2: after the window")
        since = self.out_of_service.get(send.server, now)
        self._need(now - since <= self.settings.drain_grace_ms, "rule 3: sent to a server that drains")
        if request.attempts and self.settings.repeat_ratio is not None:
            span = self.settings.resend_span_ms
            self.further_at.append(now)
            further = sum(at >= now - span for at in self.further_at)
            taken = sum(at > now - span for at in self.taken_at)
            allowed = self.settings.extra_floor + self.settings.repeat_ratio * taken
            self._need(further <= allowed, "rule 5: beyond the budget of attempts")
        request.attempts.append(Attempt(now, send.server, group))

    def _may_have_run(self, request: Taken) -> list[Attempt]:
        proofs = {Result.UNREACHABLE, Result.MOOT}
        if not self.settings.full_may_have_run:
            proofs.add(Result.REFUSED)  # rule 6
        return [attempt for attempt in request.attempts if attempt.result not in proofs]

    @staticmethod
    def _need(kept: bool, rule: str) -> None:
        if not kept:
            raise RuleBrokenError(rule)

"""State machine of the configuration versions that a control service offers to a node. No I/O.

A configuration has parts (`Part`), each offered separately with its own version, as in xDS. An offer is
checked together with the other parts that are in force. It is then either applied completely or refused with
a reason; until then nothing changes. The states of an offer are: offered, (deferred,) checked, applying,
applied or refused. The node reports whether applying succeeded; an offer that could not be applied is
refused, and the previous configuration is applied again.

Servers that an offer drains or leaves out are drained at once, even if the offer itself is deferred.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import (
    Configuration,
    Part,
    Pools,
    Source,
    VersionError,
    VersionMismatchError,
)
from orchidferry.balancing.configuration_checks import (
    STRICTNESS,
    check_members,
    check_parts_match,
    check_settings,
    drained,
)
from orchidferry.balancing.token_bucket import TokenBucket
from orchidferry.balancing.version_events import (
    Action,
    Answer,
    Applied,
    Apply,
    Drain,
    Event,
    Log,
    Offered,
    SaveLastGood,
    SetTimer,
    Started,
    StreamChanged,
    TimerFired,
)

# Rate limit of applying: each application is a pause in serving, and a flood of versions is a fault of the
# service
APPLY_PER_S = 5.0
APPLY_BURST = 10.0
FIRST_VERSION_TIMEOUT_MS = 5_000.0  # wait for a first offer before a saved or file configuration is used
MAX_REFUSALS = 32  # newest refusals that are kept for operators
MAX_REASON_LENGTH = 300  # characters


@dataclass(slots=True)
class Refusal:
    """An offer that was refused, for operators."""

    part: Part
    version: str
    reason: str
    at_ms: float
    times: int = 1

    def repeats(self, other: Refusal) -> bool:
        """Whether the same offer was refused for the same reason."""
        return (self.part, self.version, self.reason) == (other.part, other.version, other.reason)


@dataclass(frozen=True, slots=True)
class _Pending:
    """A configuration that the node is applying."""

    offers: tuple[Offered, ...]  # the offers that it contains; empty if it does not come from an offer
    configuration: Configuration
    restoring: bool = False  # whether it is restored after an offer that could not be applied


class Versions:
    """The state machine of offers: takes events and returns the actions to be carried out."""

    def __init__(self, first_timeout_ms: float = FIRST_VERSION_TIMEOUT_MS) -> None:
        self._first_timeout_ms = first_timeout_ms
        self.applied: Configuration | None = None  # the configuration in force
        self.source = Source.NONE
        self.since_ms = 0.0  # time at which it was applied
        self.refusals: list[Refusal] = []
        self.counts = dict.fromkeys(("offered", "applied", "refused", "superseded"), 0)
        self._file: Configuration | None = None
        self._saved: Configuration | None = None
        self._strictest: dict[str, api.RequestClass] = {}  # strictest form of each class so far, by name
        self._deferred: dict[Part, Offered] = {}  # newest offer of each part that is not considered yet
        self._mismatched: dict[Part, Offered] = {}  # newest offer refused for a mismatch with the other part
        self._applying: _Pending | None = None
        self._nonces: dict[Part, str] = {}  # newest nonce of each part on the current stream
        self._budget = TokenBucket(APPLY_BURST, 0.0)
        self._timer_set = False
        self._actions: list[Action] = []

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process an event; returns the resulting actions, in order."""
        self._actions = []
        match event:
            case Started():
                self._on_started(event, now_ms)
            case Offered():
                self._on_offered(event, now_ms)
            case Applied():
                self._on_applied(event, now_ms)
            case StreamChanged():
                self._on_stream_changed(event)
            case TimerFired():
                self._on_timer(now_ms)
        return self._actions

    def status(self) -> dict[str, Any]:
        """The applied versions and the recent refusals with their reasons, for operators."""
        applied = self.applied.versions if self.applied is not None else {}
        return {
            "source": self.source.value,
            "versions": {part.value: applied.get(part, "") for part in Part},
            "since_ms": self.since_ms,
            "deferred": {part.value: offer.version for part, offer in self._deferred.items()},
            "counts": dict(self.counts),
            "refused": [
                {
                    "part": r.part.value,
                    "version": r.version,
                    "reason": r.reason,
                    "at_ms": r.at_ms,
                    "times": r.times,
                }
                for r in self.refusals
            ],
        }

    # Start

    def _on_started(self, event: Started, now: float) -> None:
        self._file = event.file
        self._saved = event.saved
        self._update_strictest(event.file)
        if event.saved is not None:
            try:
                self._check(event.saved)
            except VersionError as problem:
                self._saved = None
                self._actions.append(Log(f"the last good configuration is not used: {problem}"))
        self._budget = TokenBucket(APPLY_BURST, now)
        self._timer_set = True
        self._actions.append(SetTimer(self._first_timeout_ms))

    def _start_without_service(self, now: float) -> None:
        """Without an offer in time, apply the last good configuration if it is valid, else the file's."""
        assert self._file is not None
        if self._saved is not None:
            return self._apply((), self._saved, Source.SAVED)
        self._apply((), self._file, Source.FILE)
        return None

    # Offers

    def _on_stream_changed(self, event: StreamChanged) -> None:
        self._nonces.clear()
        self._mismatched.clear()
        if not event.up:  # no answers are due any more, and the service offers again whatever is still valid
            self.counts["superseded"] += len(self._deferred)
            self._deferred.clear()

    def _on_offered(self, event: Offered, now: float) -> None:
        if self._nonces.get(event.part) == event.nonce:
            return None  # a duplicate: it is answered already, or will be
        self._nonces[event.part] = event.nonce
        self.counts["offered"] += 1
        self._mismatched.pop(event.part, None)
        if self._deferred.pop(event.part, None) is not None:
            self.counts["superseded"] += 1  # a superseded nonce needs no answer
        if event.content is None:
            return self._refuse(event, event.problem or "it is empty", now)
        if self._applying is not None or not self._may_apply(now):
            self._deferred[event.part] = event
            self._drain_early(event)
            return self._set_timer(now)
        self._consider(event, now)
        return None

    def _may_apply(self, now: float) -> bool:
        return self._budget.refill(APPLY_PER_S / 1000.0, APPLY_BURST, now) >= 1.0

    def _set_timer(self, now: float) -> None:
        if self._timer_set or self._applying is not None or self.applied is None:
            return  # deferred offers will be considered without another timer
        self._timer_set = True
        self._actions.append(SetTimer(max(1.0, (1.0 - self._budget.tokens) * 1000.0 / APPLY_PER_S)))

    def _on_timer(self, now: float) -> None:
        self._timer_set = False
        if self.applied is None and self._applying is None:
            return self._start_without_service(now)
        self._consider_deferred(now)
        return None

    def _consider_deferred(self, now: float) -> None:
        """Consider deferred offers as far as the rate limit allows."""
        while self._deferred and self._applying is None:
            if not self._may_apply(now):
                return self._set_timer(now)
            # Pools go first, because the settings refer to them.
            part = Part.MEMBERS if Part.MEMBERS in self._deferred else Part.SETTINGS
            self._consider(self._deferred.pop(part), now)
        return None

    def _candidate(self, *events: Offered) -> Configuration:
        configuration = self.applied or self._saved or self._file
        assert configuration is not None
        for event in events:
            versions = dict(configuration.versions) | {event.part: event.version}
            if isinstance(event.content, Pools):
                configuration = Configuration(event.content, configuration.node, versions)
            elif event.content is not None:
                configuration = Configuration(configuration.pools, event.content, versions)
        return configuration

    def _check(self, configuration: Configuration) -> None:
        """Check a configuration.

        :raises VersionError: it must not be applied, or the check itself raised an exception
        """
        assert self._file is not None
        try:
            check_members(configuration.pools)
            check_settings(configuration.node, self._strictest, self._file.node.settings)
            check_parts_match(configuration)
        except VersionError:
            raise
        except Exception as problem:  # no content of a configuration may stop the node
            raise VersionError(f"the check broke: {type(problem).__name__}: {problem}") from None

    def _drain_early(self, event: Offered) -> None:
        """Drain the servers that a deferred offer drains: a drain takes effect when it is offered."""
        if event.part is not Part.MEMBERS or self.applied is None:
            return
        configuration = self._candidate(event)
        try:
            self._check(configuration)
        except VersionError:
            return  # the offer will be refused, and must not drain any server
        if leaving := drained(self.applied, configuration):
            self._actions.append(Drain(leaving))

    def _consider(self, event: Offered, now: float) -> None:
        """Apply an offer, or refuse it."""
        try:
            pending = self._checked(event)
        except VersionError as problem:
            if isinstance(problem, VersionMismatchError):
                self._mismatched[event.part] = event
            return self._refuse(event, str(problem), now)
        self._mismatched.clear()
        self._budget.tokens -= 1.0
        self._apply(pending.offers, pending.configuration, Source.CONTROL)
        return None

    def _checked(self, event: Offered) -> _Pending:
        """Check an offer alone or, if it does not match, with the mismatched offer of the other part.

        :returns: the configuration to apply
        :raises VersionError: neither may be applied
        """
        configuration = self._candidate(event)
        try:
            self._check(configuration)
            return _Pending((event,), configuration)
        except VersionMismatchError:
            mismatched = tuple(offer for part, offer in self._mismatched.items() if part is not event.part)
            if not mismatched:
                raise
        configuration = self._candidate(*mismatched, event)
        self._check(configuration)
        return _Pending((*mismatched, event), configuration)

    def _apply(self, offers: tuple[Offered, ...], configuration: Configuration, source: Source) -> None:
        before = self.applied
        offered_parts = {offer.part for offer in offers}
        changed = frozenset(
            part for part in Part if before is None or not offered_parts or part in offered_parts
        )
        self._applying = _Pending(offers, configuration)
        if source is not Source.CONTROL or before is None:
            self.source = source
        self._actions.append(Apply(configuration, changed, source))

    def _on_applied(self, event: Applied, now: float) -> None:
        if self._applying is None:
            return None
        pending = self._applying
        self._applying = None
        if event.problem and pending.offers:
            for offer in pending.offers:
                self._refuse(offer, f"it could not be applied: {event.problem}", now)
            if self.applied is not None:  # the offer may have been applied in part
                self._applying = _Pending((), self.applied, restoring=True)
                self._actions.append(Apply(self.applied, frozenset(Part), self.source))
            return self._consider_deferred(now)
        if event.problem:
            self._actions.append(Log(f"the local or previous configuration was not applied: {event.problem}"))
        if self.applied is None:
            self._timer_set = False  # the wait for a first version is over, though its timer has yet to fire
        self.applied = pending.configuration
        if not pending.restoring:
            self.since_ms = now
        self._update_strictest(pending.configuration)
        if pending.offers:
            self.source = Source.CONTROL
            self.counts["applied"] += len(pending.offers)
            self._actions += [Answer(offer.part, offer.version, offer.nonce) for offer in pending.offers]
            self._actions.append(SaveLastGood(pending.configuration))
        self._consider_deferred(now)
        return None

    def _update_strictest(self, configuration: Configuration) -> None:
        """Keep the strictest form of each class, as a class that is added again must not be looser."""
        for cls in configuration.node.settings.classes:
            strictest = self._strictest.get(cls.name)
            if strictest is None or STRICTNESS[cls.repeat] > STRICTNESS[strictest.repeat]:
                self._strictest[cls.name] = cls

    def _refuse(self, offer: Offered, reason: str, now: float) -> None:
        reason = reason[:MAX_REASON_LENGTH]
        self.counts["refused"] += 1
        applied = self.applied.versions.get(offer.part, "") if self.applied is not None else ""
        self._actions.append(Answer(offer.part, applied, offer.nonce, reason))
        refusal = Refusal(offer.part, offer.version, reason, now)
        if self.refusals and self.refusals[-1].repeats(refusal):
            self.refusals[-1].at_ms = now
            self.refusals[-1].times += 1
            return
        self.refusals.append(refusal)
        del self.refusals[:-MAX_REFUSALS]
        self._actions.append(Log(f"{offer.part.value} {offer.version!r} refused: {reason}"))

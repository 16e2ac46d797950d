"""What becomes of versions of the configuration that a control service offers. No I/O, no clock.

A configuration has parts (`Part`), each offered by itself with a version, as xDS does it. Whatever is offered
is checked together with what is held of the other parts, and applied whole or refused with a reason; what is
held stays until then. States of an offer: offered, (deferred,) checked, applying, applied or refused. The
node says how applying went; an offer that could not be applied is refused, and what was held before is
applied again.

What must not wait does not: servers that an offer drains or leaves out are told of at once, deferred or not.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.token_bucket import TokenBucket
from orchidferry.errors import OrchidferryError

# versions: each is a pause in serving, and a flood of them is a fault there
APPLY_PER_S = 5.0
APPLY_BURST = 10.0
FIRST_MS = 5_000.0  # how long a start waits for the service before it takes what it has
MAX_NAMES = 1_024  # of classes over the life of a node, as it keeps the strictest rules of each
MAX_CLASSES = 256
MAX_TENANTS = 10_000
MAX_MEMBERS = 40_000
MAX_POOLS = 64
SHARES_SLACK = 1e-6  # of a sum of shares: they are written in decimals
REFUSALS_KEPT = 32  # for operators, the newest
MAX_REASON = 300  # characters


class Part(Enum):
    """What is versioned by itself."""

    MEMBERS = "members"  # pools of servers (EDS)
    SETTINGS = "settings"  # the node's own, and the pool that it sends to


class Source(Enum):
    """Where the configuration that is applied came from."""

    NONE = "nothing yet"
    FILE = "the node's own file"
    SAVED = "the last good one on disk"
    CONTROL = "the control service"


@dataclass(frozen=True, slots=True)
class Member:
    """A server of a pool, and where it is."""

    entry: api.ServerEntry
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Pools:
    """All pools by name."""

    members: Mapping[str, tuple[Member, ...]]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The node's own settings, and the pool that it sends to."""

    pool: str
    settings: api.Settings


Content = Pools | NodeSettings


@dataclass(frozen=True, slots=True)
class Configuration:
    """Whole: all parts, with the version of each ('' where it came from the node's file)."""

    pools: Pools
    node: NodeSettings
    versions: Mapping[Part, str] = field(default_factory=lambda: dict.fromkeys(Part, ""))

    def members(self) -> tuple[Member, ...]:
        """The servers that the node sends to."""
        return self.pools.members.get(self.node.pool, ())


class VersionError(OrchidferryError):
    """A configuration that is not to be applied; the text names the field."""


class VersionMismatchError(VersionError):
    """Parts that don't go together: each may be fine with another version of the other."""


# Events


@dataclass(frozen=True, slots=True)
class Began:
    """The node starts: with the configuration of its file, and the last good one if there is one."""

    file: Configuration
    saved: Configuration | None = None


@dataclass(frozen=True, slots=True)
class Offered:
    """The service sent a part. `content` is None if it could not be read or was empty: `problem` says why."""

    part: Part
    version: str
    nonce: str
    content: Content | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """The node has applied what it was told to, or (with a problem) has not."""

    problem: str = ""


@dataclass(frozen=True, slots=True)
class Stream:
    """The stream to the service came up, or was lost: nonces are a stream's own."""

    up: bool


@dataclass(frozen=True, slots=True)
class Woken:
    """The time asked for has come."""


Event = Began | Offered | Applied | Stream | Woken


# Actions


@dataclass(frozen=True, slots=True)
class Apply:
    """Make this the configuration, whole; `Applied` says how it went."""

    configuration: Configuration
    changed: frozenset[Part]
    source: Source


@dataclass(frozen=True, slots=True)
class Answer:
    """Tell the service: an ACK, or with a reason a NACK. `version` is the one that is held now."""

    part: Part
    version: str
    nonce: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Drain:
    """Send nothing new to these from now on; what is applied later tells more of them."""

    servers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Save:
    """Keep this as the last good one."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Wake:
    """Say `Woken` after so long."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Apply | Answer | Drain | Save | Wake | Log

# What can't change while a node runs: its place among the copies, and what its books are counted by.
FIXED = (
    "nodes",
    "number",
    "tier",
    "tiers",
    "zone",
    "follow_list",
    "tick_ms",
    "resend_span_ms",
    "full_may_have_run",
    "passes_deadline",
)
# Rules that the service may make stricter than the node's file, and not looser: whether more is stricter.
RULES = {
    "drain_grace_ms": False,
    "start_capacity": False,
    "ramp_time_ms": True,
    "overload_factor": False,
    "overload_for_ms": False,
    "max_attempts": False,
    "answer_slack_ms": False,
    "extra_floor": False,
}
STRICTNESS = {api.Repeat.SAFE: 0, api.Repeat.KEYED: 1, api.Repeat.UNSAFE: 2}
NARROW = {api.Group.ALL: 0, api.Group.ZONE: 1, api.Group.CELL: 2}  # where repeats are dropped: fewer servers


def check_members(pools: Pools) -> None:
    """Refuse pools that can't be meant."""
    if len(pools.members) > MAX_POOLS:
        raise VersionError(f"{len(pools.members)} pools, {MAX_POOLS} at most")
    if sum(map(len, pools.members.values())) > MAX_MEMBERS:
        raise VersionError(f"{sum(map(len, pools.members.values()))} members, {MAX_MEMBERS} at most")
    for name, members in pools.members.items():
        seen: set[int] = set()
        for at, member in enumerate(members):
            if member.entry.server in seen:
                raise VersionError(f"pool {name!r}: member {at} is there twice")
            seen.add(member.entry.server)
            if not 0.0 <= member.entry.share < math.inf:
                raise VersionError(f"pool {name!r}: member {at}: share {member.entry.share} is out of range")


def check_rules(node: NodeSettings, strictest: Mapping[str, api.RequestClass], file: api.Settings) -> None:
    """Refuse what can't change under way, what is out of range, and rules looser than the node's file's."""
    new = node.settings
    if len(new.classes) > MAX_CLASSES:
        raise VersionError(f"classes: {len(new.classes)}, {MAX_CLASSES} at most")
    if len(new.tenants) > MAX_TENANTS:
        raise VersionError(f"tenants: {len(new.tenants)}, {MAX_TENANTS} at most")
    total = sum(tenant.share for tenant in new.tenants)
    if total > 1.0 + SHARES_SLACK:
        raise VersionError(f"tenants: shares add up to {total:g}, over 1")
    for name in FIXED:
        if getattr(new, name) != getattr(file, name):
            raise VersionError(f"{name}: {getattr(file, name)!r} to {getattr(new, name)!r} needs a restart")
    for name, more_is_stricter in RULES.items():
        mine = getattr(file, name)
        theirs = getattr(new, name)
        if theirs < mine if more_is_stricter else theirs > mine:
            raise VersionError(f"{name}: {theirs:g} is looser than the {mine:g} of the node's file")
    if file.repeat_ratio is not None and (new.repeat_ratio is None or new.repeat_ratio > file.repeat_ratio):
        raise VersionError(
            f"repeat_ratio: {new.repeat_ratio} is looser than the {file.repeat_ratio:g} of the node's file"
        )
    if len(strictest.keys() | {cls.name for cls in new.classes}) > MAX_NAMES:
        raise VersionError(f"classes: more than {MAX_NAMES} names since the start need a restart")
    for cls in new.classes:
        least = strictest.get(cls.name)
        if least is None:
            continue
        if STRICTNESS[cls.repeat] < STRICTNESS[least.repeat]:
            raise VersionError(
                f"classes[{cls.name}].repeat: {cls.repeat.value} is looser than {least.repeat.value}"
            )
        if cls.repeat is least.repeat is api.Repeat.KEYED:
            if NARROW[cls.group] < NARROW[least.group]:
                raise VersionError(
                    f"classes[{cls.name}].group: {cls.group.value} is wider than {least.group.value}"
                )
            if cls.window_ms > least.window_ms:
                raise VersionError(
                    f"classes[{cls.name}].window_ms: {cls.window_ms:g} is longer than {least.window_ms:g}"
                )


def check_whole(whole: Configuration) -> None:
    """Refuse parts that don't go together."""
    pool = whole.node.pool
    if pool not in whole.pools.members:
        raise VersionMismatchError(
            f"pool: {pool!r} is none of {', '.join(sorted(whole.pools.members)) or 'no pools'}"
        )
    if not any(m.entry.health is api.Health.IN_SERVICE for m in whole.members()):
        raise VersionMismatchError(f"pool {pool!r}: names no live server")


def drained(before: Configuration, after: Configuration) -> tuple[int, ...]:
    """The servers in service before that drain, are gone or are not there any more."""
    live = {m.entry.server for m in after.members() if m.entry.health is api.Health.IN_SERVICE}
    return tuple(
        m.entry.server
        for m in before.members()
        if m.entry.health is api.Health.IN_SERVICE and m.entry.server not in live
    )


def merged(control: Sequence[Member], discovery: Mapping[int, api.Health]) -> list[api.ServerEntry]:
    """The list for the node where discovery speaks too: the service says who is a member and with what share.

    Of a server's process discovery knows first: one that it calls draining or gone gets nothing new, though
    the service has it in service. The other way round the service's word stands alone. One that only
    discovery lists is no member.
    """
    found = []
    for member in control:
        heard = discovery.get(member.entry.server, api.Health.IN_SERVICE)
        if heard is not api.Health.IN_SERVICE and member.entry.health is api.Health.IN_SERVICE:
            found.append(replace(member.entry, health=heard))
        else:
            found.append(member.entry)
    return found


@dataclass(slots=True)
class Refusal:
    """An offer that was refused, for operators."""

    part: Part
    version: str
    reason: str
    at_ms: float
    times: int = 1


class Versions:
    """The states of what is offered; feed it events, do what it says."""

    def __init__(self, first_ms: float = FIRST_MS) -> None:
        self._first_ms = first_ms
        self.held: Configuration | None = None  # what is applied
        self.source = Source.NONE
        self.since_ms = 0.0  # since when
        self.refusals: list[Refusal] = []
        self.counts = dict.fromkeys(("offered", "applied", "refused", "superseded"), 0)
        self._file: Configuration | None = None
        self._saved: Configuration | None = None
        self._strictest: dict[str, api.RequestClass] = {}  # of each class that was ever held, by name
        self._deferred: dict[Part, Offered] = {}  # the newest of each part that waits for its turn
        self._unpaired: dict[Part, Offered] = {}  # refused for the other part as it is held: the newest
        self._applying: tuple[tuple[Offered, ...], Configuration] | None = None
        self._nonces: dict[Part, str] = {}  # the newest that was looked at, of this stream
        self._budget = TokenBucket(APPLY_BURST, 0.0)
        self._waking = False
        self._undoing = False
        self._actions: list[Action] = []

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take one event; what to do about it."""
        self._actions = []
        match event:
            case Began():
                self._on_began(event, now_ms)
            case Offered():
                self._on_offered(event, now_ms)
            case Applied():
                self._on_applied(event, now_ms)
            case Stream():
                self._on_stream(event)
            case Woken():
                self._on_woken(now_ms)
        return self._actions

    def status(self) -> dict[str, Any]:
        """What is held, since when, and what was refused and why; times as they were given."""
        held = self.held.versions if self.held is not None else {}
        return {
            "source": self.source.value,
            "versions": {part.value: held.get(part, "") for part in Part},
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

    # A start

    def _on_began(self, event: Began, now: float) -> None:
        self._file = event.file
        self._saved = event.saved
        self._hold_rules(event.file)
        if event.saved is not None:
            try:
                self._check(event.saved)
            except VersionError as problem:
                self._saved = None
                self._actions.append(Log(f"the last good configuration is not taken: {problem}"))
        self._budget = TokenBucket(APPLY_BURST, now)
        self._waking = True
        self._actions.append(Wake(self._first_ms))

    def _start_without(self, now: float) -> None:
        """The service said nothing in time: the last good one if it still fits, else the node's own file."""
        assert self._file is not None
        if self._saved is not None:
            return self._apply((), self._saved, Source.SAVED)
        self._apply((), self._file, Source.FILE)

    # Offers

    def _on_stream(self, event: Stream) -> None:
        self._nonces.clear()
        self._unpaired.clear()
        if not event.up:  # nobody waits for an answer; the service offers anew what it still means
            self.counts["superseded"] += len(self._deferred)
            self._deferred.clear()

    def _on_offered(self, event: Offered, now: float) -> None:
        if self._nonces.get(event.part) == event.nonce:
            return  # the same message twice: it has its answer, or will
        self._nonces[event.part] = event.nonce
        self.counts["offered"] += 1
        self._unpaired.pop(event.part, None)
        if self._deferred.pop(event.part, None) is not None:
            self.counts["superseded"] += 1  # its answer is this one's: a nonce that is old need none
        if event.content is None:
            return self._refuse(event, event.problem or "it is empty", now)
        if self._applying is not None or not self._may_apply(now):
            self._deferred[event.part] = event
            self._drain_ahead(event)
            return self._wake(now)
        self._take(event, now)

    def _may_apply(self, now: float) -> bool:
        return self._budget.refill(APPLY_PER_S / 1000.0, APPLY_BURST, now) >= 1.0

    def _wake(self, now: float) -> None:
        if self._waking or self._applying is not None or self.held is None:
            return  # it comes up then by itself
        self._waking = True
        self._actions.append(Wake(max(1.0, (1.0 - self._budget.tokens) * 1000.0 / APPLY_PER_S)))

    def _on_woken(self, now: float) -> None:
        self._waking = False
        if self.held is None and self._applying is None:
            return self._start_without(now)
        self._next(now)

    def _next(self, now: float) -> None:
        """Take what waits, as far as it may be."""
        while self._deferred and self._applying is None:
            if not self._may_apply(now):
                return self._wake(now)
            part = (
                Part.MEMBERS if Part.MEMBERS in self._deferred else Part.SETTINGS
            )  # pools before who uses them
            self._take(self._deferred.pop(part), now)

    def _candidate(self, *events: Offered) -> Configuration:
        whole = self.held or self._saved or self._file
        assert whole is not None
        for event in events:
            versions = dict(whole.versions) | {event.part: event.version}
            if isinstance(event.content, Pools):
                whole = Configuration(event.content, whole.node, versions)
            elif event.content is not None:
                whole = Configuration(whole.pools, event.content, versions)
        return whole

    def _check(self, whole: Configuration) -> None:
        """`VersionError` if it is not to be applied; also where the check itself breaks."""
        assert self._file is not None
        try:
            check_members(whole.pools)
            check_rules(whole.node, self._strictest, self._file.node.settings)
            check_whole(whole)
        except VersionError:
            raise
        except Exception as problem:  # whatever is in it, the node serves on
            raise VersionError(f"the check broke: {type(problem).__name__}: {problem}") from None

    def _drain_ahead(self, event: Offered) -> None:
        """What waits its turn still tells of drains, and these count from when they were told."""
        if event.part is not Part.MEMBERS or self.held is None:
            return
        whole = self._candidate(event)
        try:
            self._check(whole)
        except VersionError:
            return  # it will be refused, and drains nobody
        if gone := drained(self.held, whole):
            self._actions.append(Drain(gone))

    def _take(self, event: Offered, now: float) -> None:
        offers: tuple[Offered, ...] = (event,)
        whole = self._candidate(event)
        try:
            try:
                self._check(whole)
            except VersionMismatchError:
                others = tuple(offer for part, offer in self._unpaired.items() if part is not event.part)
                if not others:
                    raise
                offers = (*others, event)
                whole = self._candidate(*others, event)
                self._check(whole)
        except VersionError as problem:
            if isinstance(problem, VersionMismatchError):
                self._unpaired[event.part] = event
            return self._refuse(event, str(problem), now)
        self._unpaired.clear()
        self._budget.tokens -= 1.0
        self._apply(offers, whole, Source.CONTROL)

    def _apply(self, offers: tuple[Offered, ...], whole: Configuration, source: Source) -> None:
        before = self.held
        told = {offer.part for offer in offers}
        changed = frozenset(part for part in Part if before is None or not told or part in told)
        self._applying = offers, whole
        if source is not Source.CONTROL or before is None:
            self.source = source
        self._actions.append(Apply(whole, changed, source))

    def _on_applied(self, event: Applied, now: float) -> None:
        if self._applying is None:
            return
        (offers, whole), self._applying = self._applying, None
        if event.problem and offers:
            for offer in offers:
                self._refuse(offer, f"it could not be applied: {event.problem}", now)
            if self.held is not None:  # half of it may be in place
                self._applying = ((), self.held)
                self._undoing = True
                self._actions.append(Apply(self.held, frozenset(Part), self.source))
            return self._next(now)
        if event.problem:
            self._actions.append(Log(f"what was held could not be applied: {event.problem}"))
        if self.held is None:
            self._waking = False  # the wait for a first one is over, though its time is still to come
        undone = self._undoing
        self._undoing = False
        self.held = whole
        if not undone:
            self.since_ms = now
        self._hold_rules(whole)
        if offers:
            self.source = Source.CONTROL
            self.counts["applied"] += len(offers)
            self._actions += [Answer(offer.part, offer.version, offer.nonce) for offer in offers]
            self._actions.append(Save(whole))
        self._next(now)

    def _hold_rules(self, whole: Configuration) -> None:
        """Note the strictest form of each class: one that goes and comes again comes no looser."""
        for cls in whole.node.settings.classes:
            least = self._strictest.get(cls.name)
            if least is None or STRICTNESS[cls.repeat] > STRICTNESS[least.repeat]:
                self._strictest[cls.name] = cls

    def _refuse(self, offer: Offered, reason: str, now: float) -> None:
        reason = reason[:MAX_REASON]
        self.counts["refused"] += 1
        held = self.held.versions.get(offer.part, "") if self.held is not None else ""
        self._actions.append(Answer(offer.part, held, offer.nonce, reason))
        last = self.refusals[-1] if self.refusals else None
        if last is not None and (last.part, last.version, last.reason) == (offer.part, offer.version, reason):
            last.at_ms = now
            last.times = last.times + 1
            return
        self.refusals.append(Refusal(offer.part, offer.version, reason, now))
        del self.refusals[:-REFUSALS_KEPT]
        self._actions.append(Log(f"{offer.part.value} {offer.version!r} refused: {reason}"))

"""How a version of the configuration is taken to a fleet: some nodes first, then more, or back. No I/O.

    offering -> watching -> (offering the next wave ...) -> done
        any of these -> undoing -> undone

A wave is offered the version and must acknowledge it; then its nodes are watched beside those that have not
got it. A refusal, a node that stays away or is not ready, or answers that fail more often than elsewhere
take the version back from every node that was offered it. Evidence is counted, not assumed: with too few
answers a wave waits, and goes back when its patience is up.

The bound of Wilson (1927, "Probable inference, the law of succession, and statistical inference") is looked
at again and again, so its level is set at 3.3 standard deviations: within some hundred looks at equal nodes
one in twenty is wrong at the most, and one look in a thousand.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

LEVEL = 3.3  # standard deviations of the bounds
MARGIN = 0.01  # a share of failures that is worse by less than this is let pass
ACK_MS = 15_000.0  # for a node to acknowledge: applying takes milliseconds, a stream's way back up to 30 s
AWAY_MS = 15_000.0  # that a node may be without a stream, or its door silent, before that counts against it
PATIENCE = 3.0  # times the watch: how long too few answers are waited for
LOOK_MS = 500.0


class State(Enum):
    """Where a rollout is."""

    OFFERING = "offering"
    WATCHING = "watching"
    DONE = "done"
    UNDOING = "undoing"
    UNDONE = "undone"


@dataclass(frozen=True, slots=True)
class Plan:
    """What the operator asks for. `ValueError` names the field that can't be."""

    version: str
    first: int  # nodes of the first wave
    widen: float = 4.0  # each wave has so many times the nodes of all before it
    watch_ms: float = 10_000.0  # each wave is watched for so long at least
    least: int = 20  # answers of a wave, at least, before it says anything; 0: none are needed
    doors: bool = True  # whether nodes' figures can be had; without them only acknowledgements count

    def __post_init__(self) -> None:
        if self.first < 1:
            raise ValueError(f"canary {self.first}: one node at least")
        if not 1.0 <= self.widen <= 1e6:
            raise ValueError(f"widen {self.widen:g}: not within 1 and 1000000")
        if not 0.0 <= self.watch_ms <= 86_400_000.0:
            raise ValueError(f"watch {self.watch_ms / 1000.0:g} s: not within 0 and 86400")
        if self.least < 0:
            raise ValueError(f"least {self.least}: is negative")


@dataclass(frozen=True, slots=True)
class Reading:
    """A node's figures: whether it is ready, and all answers since its start, as its door tells them."""

    ready: bool
    good: int
    failed: int


# Events


@dataclass(frozen=True, slots=True)
class Begin:
    """Go; with the nodes that have a stream."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Said:
    """A node's word of a version: '' for an acknowledgement, else why it refused."""

    node: str
    version: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Streams:
    """The nodes that have a stream now."""

    nodes: frozenset[str]


@dataclass(frozen=True, slots=True)
class Seen:
    """What a node's door said; None: nothing."""

    node: str
    reading: Reading | None


@dataclass(frozen=True, slots=True)
class Look:
    """Some time has passed."""


@dataclass(frozen=True, slots=True)
class GoBack:
    """Whoever pushed wants it back, or has gone."""

    reason: str


Event = Begin | Said | Streams | Seen | Look | GoBack


# Actions


@dataclass(frozen=True, slots=True)
class Offer:
    """Give these nodes the version."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Accept:
    """It is every node's from now on, those included that come later."""


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Give these nodes back what they had."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """A line for whoever pushed."""

    state: State
    text: str


Action = Offer | Accept | Withdraw | Report


def bounds(failed: int, total: int, level: float = LEVEL) -> tuple[float, float]:
    """Wilson's interval of a share, in [0, 1]; (0, 1) without any evidence."""
    if total <= 0:
        return 0.0, 1.0
    p = failed / total
    z2 = level * level
    middle = p + z2 / (2.0 * total)
    half = level * math.sqrt(p * (1.0 - p) / total + z2 / (4.0 * total**2))
    low = (middle - half) / (1.0 + z2 / total)
    high = (middle + half) / (1.0 + z2 / total)
    return max(0.0, min(low, p)), min(1.0, max(high, p))  # rounding aside


def worse(here: tuple[int, int], there: tuple[int, int]) -> bool:
    """Whether (failed, total) here is surely a larger share than there, by more than `MARGIN`."""
    return bounds(*here)[0] > bounds(*there)[1] + MARGIN


def order(nodes: Iterable[str], version: str) -> list[str]:
    """The nodes in the order in which they get a version: each version has one of its own."""
    return sorted(
        nodes, key=lambda node: hashlib.blake2b(f"{version}\0{node}".encode(), digest_size=8).digest()
    )


def waves(count: int, plan: Plan) -> list[int]:
    """How many nodes each wave adds, of so many in all."""
    sizes = []
    done = 0
    while done < count:
        size = plan.first if not done else math.ceil(done * plan.widen)
        size = min(size, count - done)
        sizes.append(size)
        done += size
    return sizes


@dataclass(slots=True)
class _Node:
    offered: bool = False
    acknowledged: bool = False
    back: bool = False  # has acknowledged what it had before, after a withdrawal
    lost_ms: float | None = None  # since when it has no stream
    silent_ms: float | None = None  # since when its door says nothing, or that it is not ready
    newest: Reading | None = None
    base: Reading | None = None  # when its wave was begun to be watched, or at its restart since
    counted: list[int] = field(default_factory=lambda: [0, 0])  # failed, all: of before a restart


class Rollout:
    """One version's way; feed it events, do what it says."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.state = State.OFFERING
        self.reason = ""  # why it was taken back
        self._nodes: dict[str, _Node] = {}
        self._left: list[str] = []  # in their order, those that no wave has reached
        self._sizes: list[int] = []
        self._wave: tuple[str, ...] = ()
        self._number = 0
        self._since_ms = 0.0  # this state's begin
        self._history = (0, 0)  # failed, all: the whole fleet's before the first wave
        self._actions: list[Action] = []

    @property
    def over(self) -> bool:
        """Whether nothing more is to be done."""
        return self.state in (State.DONE, State.UNDONE)

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take one event; what to do about it."""
        self._actions = []
        if self.over:
            return []
        match event:
            case Begin():
                self._on_begin(event, now_ms)
            case Said():
                self._on_said(event, now_ms)
            case Streams():
                self._on_streams(event, now_ms)
            case Seen():
                self._on_seen(event, now_ms)
            case Look():
                self._look(now_ms)
            case GoBack():
                self._go_back(event.reason, now_ms)
        return self._actions

    def status(self) -> dict[str, object]:
        """For operators."""
        offered = [name for name, node in self._nodes.items() if node.offered]
        return {
            "version": self.plan.version,
            "state": self.state.value,
            "reason": self.reason,
            "wave": self._number,
            "waves": len(self._sizes),
            "offered": sorted(offered),
            "acknowledged": sorted(name for name in offered if self._nodes[name].acknowledged),
            "waiting": len(self._left),
        }

    def _report(self, text: str) -> None:
        self._actions.append(Report(self.state, text))

    def _on_begin(self, event: Begin, now: float) -> None:
        self._left = order(event.nodes, self.plan.version)
        for name in self._left:
            self._nodes.setdefault(name, _Node())
        self._sizes = waves(len(self._left), self.plan)
        if not self._left:
            return self._go_back("no node has a stream", now)
        readings = [node.newest for node in self._nodes.values() if node.newest is not None]
        self._history = sum(r.failed for r in readings), sum(r.good + r.failed for r in readings)
        if not self.plan.doors:
            self._report("no doors are given: only acknowledgements and streams are looked at")
        self._next_wave(now)

    def _next_wave(self, now: float) -> None:
        if not self._left:
            self.state = State.DONE
            self._actions.append(Accept())
            return self._report(f"{self.plan.version} is on all {len(self._nodes)} nodes")
        size = self._sizes[self._number]
        self._wave = tuple(self._left[:size])
        self._left = self._left[size:]
        self._number += 1
        self.state = State.OFFERING
        self._since_ms = now
        for name in self._wave:
            self._nodes[name].offered = True
        self._actions.append(Offer(self._wave))
        self._report(
            f"wave {self._number} of {len(self._sizes)}: offered to {len(self._wave)} nodes "
            f"({', '.join(self._wave[:5])}{', ...' if len(self._wave) > 5 else ''})"
        )

    def _on_said(self, event: Said, now: float) -> None:
        node = self._nodes.get(event.node)
        if node is None or not node.offered:
            return
        if self.state is State.UNDOING:
            if event.version != self.plan.version:
                node.back = True
                self._look_undone(now)
            return
        if event.version != self.plan.version:
            return
        if event.reason:
            return self._go_back(f"{event.node} refused it: {event.reason}", now)
        node.acknowledged = True
        self._look(now)

    def _on_streams(self, event: Streams, now: float) -> None:
        for name, node in self._nodes.items():
            if name in event.nodes:
                node.lost_ms = None
            elif node.lost_ms is None:
                node.lost_ms = now

    def _on_seen(self, event: Seen, now: float) -> None:
        node = self._nodes.setdefault(event.node, _Node())
        reading = event.reading
        if reading is None or not reading.ready:
            node.silent_ms = now if node.silent_ms is None else node.silent_ms
        else:
            node.silent_ms = None
        if reading is None:
            return
        last = node.newest
        if last is not None and reading.good + reading.failed < last.good + last.failed and node.base:
            node.counted[0] += last.failed - node.base.failed  # it was started again, and counts from 0
            node.counted[1] += last.good + last.failed - node.base.good - node.base.failed
            node.base = Reading(True, 0, 0)
        node.newest = reading

    def _since(self, names: Iterable[str]) -> tuple[int, int]:
        """Failed and all answers of these nodes since the wave is watched."""
        failed = total = 0
        for name in names:
            node = self._nodes[name]
            failed = failed + node.counted[0]
            total = total + node.counted[1]
            if node.newest is not None and node.base is not None:
                failed += node.newest.failed - node.base.failed
                total += node.newest.good + node.newest.failed - node.base.good - node.base.failed
        return failed, total

    def _look(self, now: float) -> None:
        if self.state is State.UNDOING:
            return self._look_undone(now)
        offered = [name for name, node in self._nodes.items() if node.offered]
        for name in offered:
            node = self._nodes[name]
            if node.lost_ms is not None and now - node.lost_ms >= AWAY_MS:
                return self._go_back(f"{name} has had no stream for {AWAY_MS / 1000.0:g} s", now)
            late = node.silent_ms is not None and now - node.silent_ms >= AWAY_MS
            if self.plan.doors and node.acknowledged and late:
                return self._go_back(f"{name} is not ready, or its door silent", now)
        if self.state is State.OFFERING:
            missing = [name for name in self._wave if not self._nodes[name].acknowledged]
            if not missing:
                return self._begin_watch(now)
            if now - self._since_ms >= ACK_MS:
                self._go_back(f"{missing[0]} said nothing of it within {ACK_MS / 1000.0:g} s", now)
            return
        self._watch(offered, now)

    def _begin_watch(self, now: float) -> None:
        self.state = State.WATCHING
        self._since_ms = now
        for node in self._nodes.values():
            node.base = node.newest
            node.counted = [0, 0]
        self._report(f"wave {self._number}: acknowledged, watched for {self.plan.watch_ms / 1000.0:g} s")
        self._watch([name for name, node in self._nodes.items() if node.offered], now)

    def _watch(self, offered: Sequence[str], now: float) -> None:
        passed = now - self._since_ms
        if self.plan.doors:
            for name in offered:  # a door that could first be heard after the watch had begun
                node = self._nodes[name]
                if node.base is None:
                    node.base = node.newest
            here = self._since(offered)
            others = [name for name, node in self._nodes.items() if not node.offered]
            there = self._since(others) if others else self._history
            # Elsewhere nothing is known: what is usual there is then what the fleet had before.
            if there[1] < max(1, self.plan.least):
                there = self._history
            if there[1] and worse(here, there):
                return self._go_back(
                    f"{here[0]} of {here[1]} answers failed, and {there[0]} of {there[1]} without it", now
                )
            if here[1] < self.plan.least:
                if passed >= max(self.plan.watch_ms, LOOK_MS) * PATIENCE:
                    self._go_back(f"too few answers to tell: {here[1]} of {self.plan.least}", now)
                return
        if passed >= self.plan.watch_ms:
            self._next_wave(now)

    def _go_back(self, reason: str, now: float) -> None:
        if self.state is State.UNDOING:
            return
        self.reason = reason
        self.state = State.UNDOING
        self._since_ms = now
        offered = tuple(name for name, node in self._nodes.items() if node.offered)
        self._report(f"taken back: {reason}")
        if offered:
            self._actions.append(Withdraw(offered))
        self._look_undone(now)

    def _look_undone(self, now: float) -> None:
        out = [name for name, node in self._nodes.items() if node.offered and not node.back]
        if out and now - self._since_ms < ACK_MS:
            return
        self.state = State.UNDONE
        away = f"; {len(out)} did not say so yet, such as {out[0]}" if out else ""
        self._report(f"all nodes were given back what they had{away}")

"""Rollout of a version of the configuration in waves of nodes, with rollback. No I/O.

    offering -> watching -> (offering the next wave ...) -> done
        any of these -> rolling back -> rolled back

A wave of nodes is offered the version and must acknowledge it; then the answers of all nodes that have the
version are compared with those of the nodes that don't. If a node refuses the version or becomes unavailable,
or if answers fail more often than on the other nodes, the version is rolled back on every node that was
offered it. A wave with too few answers is watched for longer, and is rolled back after `MAX_WATCH_FACTOR`
times the time to watch.

The comparison (`proportions`) is repeated many times. Its interval is therefore set at 3.3 standard
deviations: one test in a thousand is wrong, and over some hundred tests of equal nodes at most one rollout in
twenty.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from orchidferry.balancing.proportions import is_worse
from orchidferry.balancing.rollout_events import (
    Abort,
    Accept,
    Action,
    Event,
    NodeAnswered,
    NodeMetrics,
    NodeObserved,
    Offer,
    Report,
    Start,
    State,
    StreamsChanged,
    Tick,
    Withdraw,
)

ACKNOWLEDGE_TIMEOUT_MS = 15_000.0  # applying takes milliseconds, reopening a stream up to 30 s
UNAVAILABLE_TIMEOUT_MS = 15_000.0  # how long a node may be without a stream or not ready
MAX_WATCH_FACTOR = 3.0  # longest wait of a wave for enough answers, as a multiple of the time to watch
TICK_MS = 500.0


@dataclass(frozen=True, slots=True)
class Plan:
    """The operator's parameters of a rollout.

    :raises ValueError: a value is out of range; the text names it
    """

    version: str
    first: int  # number of nodes in the first wave
    widen: float = 4.0  # size of each further wave as a multiple of all waves before it
    watch_ms: float = 10_000.0  # shortest time for which each wave is watched
    min_answers: int = 20  # answers needed before failures are judged; 0: none are needed
    has_metrics: bool = True  # whether the nodes' metrics are available; if not, only acknowledgements count

    def __post_init__(self) -> None:
        if self.first < 1:
            raise ValueError(f"canary {self.first}: must be at least 1 node")
        if not 1.0 <= self.widen <= 1e6:
            raise ValueError(f"widen {self.widen:g}: not within 1 and 1000000")
        if not 0.0 <= self.watch_ms <= 86_400_000.0:
            raise ValueError(f"watch {self.watch_ms / 1000.0:g} s: not within 0 and 86400")
        if self.min_answers < 0:
            raise ValueError(f"least {self.min_answers}: must not be negative")


def node_order(nodes: Iterable[str], version: str) -> list[str]:
    """The nodes in the order in which they are offered a version; the order differs between versions."""
    return sorted(
        nodes, key=lambda node: hashlib.blake2b(f"{version}\0{node}".encode(), digest_size=8).digest()
    )


def wave_sizes(count: int, plan: Plan) -> list[int]:
    """The number of nodes in each wave, for `count` nodes in all."""
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
    restored: bool = False  # whether it has acknowledged the previous version after the rollback began
    disconnected_ms: float | None = None  # time since which it has no stream
    not_ready_ms: float | None = None  # time since which it is not ready, or its metrics are not available
    latest: NodeMetrics | None = None
    baseline: NodeMetrics | None = None  # metrics at the start of the watch, or zero after a restart since
    before_restart: list[int] = field(default_factory=lambda: [0, 0])  # failed and all, before restarts


class Rollout:
    """The state machine of one rollout: takes events and returns the actions to be carried out."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.state = State.OFFERING
        self.reason = ""  # the reason for the rollback
        self._nodes: dict[str, _Node] = {}
        self._remaining: list[str] = []  # nodes that are in no wave yet, in order
        self._wave_sizes: list[int] = []
        self._wave: tuple[str, ...] = ()
        self._wave_number = 0
        self._state_since_ms = 0.0  # time at which the current state began
        self._history = (0, 0)  # failed and all answers of the whole fleet before the first wave
        self._actions: list[Action] = []

    @property
    def ended(self) -> bool:
        """Whether the rollout is done or rolled back."""
        return self.state in (State.DONE, State.ROLLED_BACK)

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process an event; returns the resulting actions, in order."""
        self._actions = []
        if self.ended:
            return []
        match event:
            case Start():
                self._on_start(event, now_ms)
            case NodeAnswered():
                self._on_answer(event, now_ms)
            case StreamsChanged():
                self._on_streams_changed(event, now_ms)
            case NodeObserved():
                self._on_observed(event, now_ms)
            case Tick():
                self._check(now_ms)
            case Abort():
                self._roll_back(event.reason, now_ms)
        return self._actions

    def status(self) -> dict[str, object]:
        """The state of the rollout for operators."""
        offered = [name for name, node in self._nodes.items() if node.offered]
        return {
            "version": self.plan.version,
            "state": self.state.value,
            "reason": self.reason,
            "wave": self._wave_number,
            "waves": len(self._wave_sizes),
            "offered": sorted(offered),
            "acknowledged": sorted(name for name in offered if self._nodes[name].acknowledged),
            "waiting": len(self._remaining),
        }

    def _report(self, text: str) -> None:
        self._actions.append(Report(self.state, text))

    def _on_start(self, event: Start, now: float) -> None:
        self._remaining = node_order(event.nodes, self.plan.version)
        for name in self._remaining:
            self._nodes.setdefault(name, _Node())
        self._wave_sizes = wave_sizes(len(self._remaining), self.plan)
        if not self._remaining:
            return self._roll_back("no node has a stream", now)
        all_metrics = [node.latest for node in self._nodes.values() if node.latest is not None]
        self._history = sum(m.failed for m in all_metrics), sum(m.good + m.failed for m in all_metrics)
        if not self.plan.has_metrics:
            self._report("no metrics endpoints (doors) given: only acknowledgements and streams are checked")
        self._next_wave(now)
        return None

    def _next_wave(self, now: float) -> None:
        if not self._remaining:
            self.state = State.DONE
            self._actions.append(Accept())
            return self._report(f"{self.plan.version} is on all {len(self._nodes)} nodes")
        size = self._wave_sizes[self._wave_number]
        self._wave = tuple(self._remaining[:size])
        self._remaining = self._remaining[size:]
        self._wave_number += 1
        self.state = State.OFFERING
        self._state_since_ms = now
        for name in self._wave:
            self._nodes[name].offered = True
        self._actions.append(Offer(self._wave))
        self._report(
            f"wave {self._wave_number} of {len(self._wave_sizes)}: offered to {len(self._wave)} nodes "
            f"({', '.join(self._wave[:5])}{', ...' if len(self._wave) > 5 else ''})"
        )
        return None

    def _on_answer(self, event: NodeAnswered, now: float) -> None:
        node = self._nodes.get(event.node)
        if node is None or not node.offered:
            return None
        if self.state is State.ROLLING_BACK:
            if event.version != self.plan.version:
                node.restored = True
                self._check_rolled_back(now)
            return None
        if event.version != self.plan.version:
            return None
        if event.reason:
            return self._roll_back(f"{event.node} refused it: {event.reason}", now)
        node.acknowledged = True
        self._check(now)
        return None

    def _on_streams_changed(self, event: StreamsChanged, now: float) -> None:
        for name, node in self._nodes.items():
            if name in event.nodes:
                node.disconnected_ms = None
            elif node.disconnected_ms is None:
                node.disconnected_ms = now

    def _on_observed(self, event: NodeObserved, now: float) -> None:
        node = self._nodes.setdefault(event.node, _Node())
        metrics = event.metrics
        if metrics is None or not metrics.ready:
            node.not_ready_ms = now if node.not_ready_ms is None else node.not_ready_ms
        else:
            node.not_ready_ms = None
        if metrics is None:
            return
        previous = node.latest
        if (
            previous is not None
            and metrics.good + metrics.failed < previous.good + previous.failed
            and node.baseline
        ):
            # The node was restarted, so its counts start from 0 again.
            node.before_restart[0] += previous.failed - node.baseline.failed
            node.before_restart[1] += (
                previous.good + previous.failed - node.baseline.good - node.baseline.failed
            )
            node.baseline = NodeMetrics(True, 0, 0)
        node.latest = metrics

    def _answers_since(self, names: Iterable[str]) -> tuple[int, int]:
        """Failed and all answers of these nodes since the start of the watch."""
        failed = total = 0
        for name in names:
            node = self._nodes[name]
            failed = failed + node.before_restart[0]
            total = total + node.before_restart[1]
            if node.latest is not None and node.baseline is not None:
                failed += node.latest.failed - node.baseline.failed
                total += node.latest.good + node.latest.failed - node.baseline.good - node.baseline.failed
        return failed, total

    def _check(self, now: float) -> None:
        if self.state is State.ROLLING_BACK:
            return self._check_rolled_back(now)
        offered = [name for name, node in self._nodes.items() if node.offered]
        if reason := self._unavailable(offered, now):
            return self._roll_back(reason, now)
        if self.state is State.WATCHING:
            return self._watch(offered, now)
        unacknowledged = [name for name in self._wave if not self._nodes[name].acknowledged]
        if not unacknowledged:
            return self._start_watching(now)
        if now - self._state_since_ms >= ACKNOWLEDGE_TIMEOUT_MS:
            limit_s = ACKNOWLEDGE_TIMEOUT_MS / 1000.0
            self._roll_back(f"{unacknowledged[0]} did not acknowledge it within {limit_s:g} s", now)
        return None

    def _unavailable(self, offered: Sequence[str], now: float) -> str:
        """A text that names a node without a stream, or not ready, for too long; "" if there is none."""
        for name in offered:
            node = self._nodes[name]
            if node.disconnected_ms is not None and now - node.disconnected_ms >= UNAVAILABLE_TIMEOUT_MS:
                return f"{name} has had no stream for {UNAVAILABLE_TIMEOUT_MS / 1000.0:g} s"
            late = node.not_ready_ms is not None and now - node.not_ready_ms >= UNAVAILABLE_TIMEOUT_MS
            if self.plan.has_metrics and node.acknowledged and late:
                return f"{name} is not ready, or its metrics endpoint (door) does not answer"
        return ""

    def _start_watching(self, now: float) -> None:
        self.state = State.WATCHING
        self._state_since_ms = now
        for node in self._nodes.values():
            node.baseline = node.latest
            node.before_restart = [0, 0]
        self._report(f"wave {self._wave_number}: acknowledged, watched for {self.plan.watch_ms / 1000.0:g} s")
        self._watch([name for name, node in self._nodes.items() if node.offered], now)

    def _watch(self, offered: Sequence[str], now: float) -> None:
        elapsed_ms = now - self._state_since_ms
        if self.plan.has_metrics:
            for name in offered:
                node = self._nodes[name]
                if node.baseline is None:  # its first metrics arrived after the watch began
                    node.baseline = node.latest
            offered_answers = self._answers_since(offered)
            others = [name for name, node in self._nodes.items() if not node.offered]
            other_answers = self._answers_since(others) if others else self._history
            # With too few answers of the other nodes, compare with the fleet before the first wave.
            if other_answers[1] < max(1, self.plan.min_answers):
                other_answers = self._history
            if other_answers[1] and is_worse(offered_answers, other_answers):
                reason = f"{offered_answers[0]} of {offered_answers[1]} answers failed"
                reason += f", and {other_answers[0]} of {other_answers[1]} without it"
                return self._roll_back(reason, now)
            if offered_answers[1] < self.plan.min_answers:
                if elapsed_ms >= max(self.plan.watch_ms, TICK_MS) * MAX_WATCH_FACTOR:
                    self._roll_back(
                        f"too few answers to judge it: {offered_answers[1]} of {self.plan.min_answers}", now
                    )
                return None
        if elapsed_ms >= self.plan.watch_ms:
            self._next_wave(now)
        return None

    def _roll_back(self, reason: str, now: float) -> None:
        if self.state is State.ROLLING_BACK:
            return
        self.reason = reason
        self.state = State.ROLLING_BACK
        self._state_since_ms = now
        offered = tuple(name for name, node in self._nodes.items() if node.offered)
        self._report(f"rolling back: {reason}")
        if offered:
            self._actions.append(Withdraw(offered))
        self._check_rolled_back(now)

    def _check_rolled_back(self, now: float) -> None:
        missing = [name for name, node in self._nodes.items() if node.offered and not node.restored]
        if missing and now - self._state_since_ms < ACKNOWLEDGE_TIMEOUT_MS:
            return
        self.state = State.ROLLED_BACK
        suffix = f"; {len(missing)} have not confirmed it yet, such as {missing[0]}" if missing else ""
        self._report(f"all nodes were given back their previous version{suffix}")

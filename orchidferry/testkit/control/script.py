"""A rehearsal's versions: what is pushed when, drawn by seed; and what the nodes made of it.

`draw_pushes` and `outcome` have no I/O. Bad versions are bad in ten different ways, each named; the last
push is good and brings every part, so that a node that was away can come to it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from google.protobuf.any_pb2 import Any as AnyMessage

from orchidferry.balancing.configuration import Part
from orchidferry.node.control.messages import EDS, TYPES, node_message, pool_message
from orchidferry.testkit import seeded_random
from orchidferry.testkit.control.service import NodeAnswer, Service
from orchidferry.testkit.scenario import Scenario

# of a run's length: between them versions come, and after it nodes come to rest
FROM = 0.04
TO = 0.88
JITTER = 0.3  # of the time between two versions
DRAIN_EVERY = 12  # versions: a good one that drains a server, which the next one of members brings back
BAD = (
    "no live server",
    "no such pool",
    "looser drain",
    "looser class",
    "needs a restart",
    "shares over 1",
    "no address",
    "another type",
    "cut off",
    "no classes",
)


@dataclass(frozen=True, slots=True)
class Push:
    """One version: when, under which label, and how it is bad ('' for a good one)."""

    t: float
    label: str
    bad: str
    part: Part
    drain: bool = False
    last: bool = False


def draw_pushes(scenario: Scenario) -> list[Push]:
    """All versions of a run, in order of time; every way of being bad as often as any other."""
    side = scenario.control
    seed = scenario.seed
    if not side.versions:
        return []
    span = scenario.length_s * (TO - FROM)
    gap = span / side.versions
    bad = set(seeded_random.sample(range(side.versions - 1), side.bad, seed, "bad versions"))
    pushes = []
    ways = 0
    good = 0
    for n in range(side.versions):
        shift = seeded_random.uniform(seed, "version", n, low=-JITTER, high=JITTER) * gap
        t = scenario.length_s * FROM + (n + 0.5) * gap + shift
        label = f"v{n + 1:03}"
        last = n == side.versions - 1
        if n in bad:
            way = BAD[ways % len(BAD)]
            ways += 1
            part = (
                Part.MEMBERS
                if way in ("no live server", "no address", "another type", "cut off")
                else Part.SETTINGS
            )
            pushes.append(Push(t, label, way, part))
        else:
            good += 1
            part = Part.MEMBERS if good % 2 else Part.SETTINGS
            drain = part is Part.MEMBERS and good % DRAIN_EVERY == 1 and not last
            pushes.append(Push(t, label, "", part, drain, last))
    return pushes


def draw_cuts(scenario: Scenario) -> list[float]:
    """When all streams are cut."""
    side = scenario.control
    seed = scenario.seed
    low = scenario.length_s * FROM
    high = scenario.length_s * TO
    return sorted(seeded_random.uniform(seed, "cut", n, low=low, high=high) for n in range(side.cuts))


@dataclass
class Outcome:
    """What became of all versions."""

    sent: int
    bad: int
    refused: dict[str, dict[str, str]]  # by version and node, the reason
    final: dict[str, dict[str, str]]  # by node, the version of each part that it holds
    problems: list[str] = field(default_factory=list)


def outcome(
    pushes: Sequence[Push],
    nodes: Sequence[str],
    answers: Iterable[NodeAnswer],
    up: Callable[[str, str], bool],
) -> Outcome:
    """Judge it. `up(node, label)`: whether the node had a stream when that version came."""
    bad = {push.label for push in pushes if push.bad}
    found = Outcome(len(pushes), len(bad), {}, {node: {} for node in nodes})
    parts = {url: part.value for part, url in TYPES.items()}
    for answer in answers:
        if answer.reason:
            found.refused.setdefault(answer.label, {})[answer.node] = answer.reason
            if answer.label not in bad:
                found.problems.append(f"{answer.node} refused {answer.label}, which is good: {answer.reason}")
        elif answer.label in bad:
            found.problems.append(f"{answer.node} took {answer.label}, which is bad")
        elif answer.node in found.final:
            found.final[answer.node][parts[answer.type_url]] = answer.label
    for label in sorted(bad):
        for node in nodes:
            if up(node, label) and node not in found.refused.get(label, {}):
                found.problems.append(f"{node} did not refuse {label}")
    last = pushes[-1].label if pushes else ""
    for node in nodes:
        for part in Part:
            held = found.final[node].get(part.value, "nothing")
            if last and held != last:
                found.problems.append(f"{node} ends on {held} of {part.value}, not on {last}")
    return found


class Control:
    """The service of a run, and its script."""

    def __init__(
        self, scenario: Scenario, nodes: Sequence[str], settings: Callable[[int], dict[str, Any]]
    ) -> None:
        self.service = Service()
        self.pushes = draw_pushes(scenario)
        self.cuts = draw_cuts(scenario)
        self.pool = scenario.tiers[0].name
        self._scenario = scenario
        self._nodes = nodes
        self._settings = settings
        self._connected: dict[str, set[str]] = {}  # nodes that had a stream, by label
        self.drained: str = ""  # the server that the newest version of members drains

    def begin(self, endpoints: list[dict[str, Any]]) -> None:
        """The first version, which all start with."""
        self.service.push("v000", *self._members(endpoints), *self._good(0))

    def _members(self, endpoints: list[dict[str, Any]]) -> list[tuple[Part, str, Any]]:
        return [(Part.MEMBERS, self.pool, pool_message(self.pool, endpoints))]

    def _good(self, number: int) -> list[tuple[Part, str, Any]]:
        """Settings that differ by version, and stay within what the node's file allows."""
        changes = []
        for at, node in enumerate(self._nodes):
            settings = copy.deepcopy(self._settings(at))
            for cls in settings["classes"]:
                cls["objective_ms"] = round(cls["objective_ms"] * (1.0 + 0.01 * (number % 5)), 3)
            settings["permissions"]["connect_timeout_ms"] += number % 7
            changes.append((Part.SETTINGS, node, node_message(node, self.pool, settings)))
        return changes

    def _bad_settings(self, way: str) -> list[tuple[Part, str, Any]]:
        changes = []
        for at, node in enumerate(self._nodes):
            settings = copy.deepcopy(self._settings(at))
            pool = self.pool
            match way:
                case "no such pool":
                    pool = "nowhere"
                case "looser drain":
                    settings["rules"]["stop_sending_within_ms"] *= 10.0
                case "looser class":
                    for cls in settings["classes"]:
                        cls["semantics"] = "retryable"
                case "needs a restart":
                    settings["siblings"] += 1
                case "shares over 1":
                    settings["tenants"] = [{"name": n, "fraction": 0.7, "quota_per_s": 1.0} for n in "ab"]
                case "no classes":
                    settings["classes"] = []
            changes.append((Part.SETTINGS, node, node_message(node, pool, settings)))
        return changes

    def _bad_members(self, way: str, endpoints: list[dict[str, Any]]) -> list[tuple[Part, str, Any]]:
        packed = pool_message(self.pool, endpoints)
        match way:
            case "no live server":
                packed = pool_message(self.pool, [one | {"status": "leaving"} for one in endpoints])
            case "no address":
                packed = pool_message(self.pool, [*endpoints, endpoints[0] | {"address": "127.0.0.1:0"}])
            case "another type":
                packed = AnyMessage(type_url=EDS + "2", value=packed.value)
            case "cut off":
                packed = AnyMessage(type_url=EDS, value=packed.value[: len(packed.value) // 2 + 1])
        return [(Part.MEMBERS, self.pool, packed)]

    def push(self, push: Push, number: int, endpoints: list[dict[str, Any]]) -> None:
        """Send one version."""
        changes: list[tuple[Part, str, Any]] = []
        if push.bad:
            bad = self._bad_settings(push.bad) if push.part is Part.SETTINGS else None
            changes = bad if bad is not None else self._bad_members(push.bad, endpoints)
        if not push.bad and (push.part is Part.SETTINGS or push.last):
            changes += self._good(number)
        if not push.bad and (push.part is Part.MEMBERS or push.last):
            self.drained = endpoints[number % len(endpoints)]["name"] if push.drain else ""
            weighted = [
                one | {"weight": 1.0 - 0.01 * ((number + at) % 5)} for at, one in enumerate(endpoints)
            ]
            for one in weighted:
                if one["name"] == self.drained:
                    one["status"] = "leaving"
            changes += self._members(weighted)
        self._connected[push.label] = {line.node for line in self.service.lines}
        self.service.push(push.label, *changes)

    def outcome(self) -> Outcome:
        """What became of it, as the service saw it."""
        return outcome(
            self.pushes,
            self._nodes,
            self.service.answers,
            lambda node, label: node in self._connected.get(label, ()) and self._stayed(node, label),
        )

    def _stayed(self, node: str, label: str) -> bool:
        """Whether it still had a stream when the next version came: one cut just then may have missed it."""
        labels = [push.label for push in self.pushes]
        at = labels.index(label) + 1
        return at < len(labels) and node in self._connected.get(labels[at], ())

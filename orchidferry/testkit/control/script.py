"""The versions that a rehearsal pushes, drawn by seed, and the check of how the nodes answered them.

`draw_pushes` and `outcome` do no I/O. Each bad version has one of ten named faults. The last version is good
and contains all parts, so that a node without a stream at earlier versions can end with it too.
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

# Versions are pushed between these fractions of a run's length; the rest is left for nodes to settle.
FIRST_VERSION_AT = 0.04
LAST_VERSION_AT = 0.88
JITTER = 0.3  # random shift, as a fraction of the time between two versions
# One good version in so many drains a server; the next version of the members puts it back in service.
DRAIN_EVERY = 12
FAULTS = (
    "no live server",
    "no such pool",
    "looser drain",
    "looser class",
    "needs a restart",
    "shares over 1",
    "no address",
    "wrong type",
    "truncated",
    "no classes",
)


@dataclass(frozen=True, slots=True)
class Push:
    """One version of the script."""

    t: float  # when it is pushed, in seconds from the start of the run
    label: str  # the version's name
    bad: str  # its fault, one of FAULTS; empty for a good version
    part: Part  # the part that changes; the last version changes all parts
    drain: bool = False  # whether it drains a server
    last: bool = False  # whether it is the last version of the run


def draw_pushes(scenario: Scenario) -> list[Push]:
    """Return all versions of a run, in order of time; each fault occurs about equally often."""
    control = scenario.control
    seed = scenario.seed
    if not control.versions:
        return []
    span = scenario.length_s * (LAST_VERSION_AT - FIRST_VERSION_AT)
    gap = span / control.versions
    bad = set(seeded_random.sample(range(control.versions - 1), control.bad, seed, "bad versions"))
    pushes = []
    fault_count = 0
    good_count = 0
    for n in range(control.versions):
        shift = seeded_random.uniform(seed, "version", n, low=-JITTER, high=JITTER) * gap
        t = scenario.length_s * FIRST_VERSION_AT + (n + 0.5) * gap + shift
        label = f"v{n + 1:03}"
        last = n == control.versions - 1
        if n in bad:
            fault = FAULTS[fault_count % len(FAULTS)]
            fault_count += 1
            part = (
                Part.MEMBERS
                if fault in ("no live server", "no address", "wrong type", "truncated")
                else Part.SETTINGS
            )
            pushes.append(Push(t, label, fault, part))
        else:
            good_count += 1
            part = Part.MEMBERS if good_count % 2 else Part.SETTINGS
            drain = part is Part.MEMBERS and good_count % DRAIN_EVERY == 1 and not last
            pushes.append(Push(t, label, "", part, drain, last))
    return pushes


def draw_stream_end_times(scenario: Scenario) -> list[float]:
    """Return the times at which all streams are ended, in seconds from the start of the run."""
    control = scenario.control
    seed = scenario.seed
    low = scenario.length_s * FIRST_VERSION_AT
    high = scenario.length_s * LAST_VERSION_AT
    return sorted(seeded_random.uniform(seed, "cut", n, low=low, high=high) for n in range(control.cuts))


@dataclass
class Outcome:
    """How the nodes answered all versions of a run."""

    sent: int  # versions pushed
    bad: int  # bad versions among them
    refused: dict[str, dict[str, str]]  # the reason of each refusal, by version and node
    final: dict[str, dict[str, str]]  # the version that each node has in the end, by node and part
    problems: list[str] = field(default_factory=list)


def outcome(
    pushes: Sequence[Push],
    nodes: Sequence[str],
    answers: Iterable[NodeAnswer],
    connected: Callable[[str, str], bool],
) -> Outcome:
    """Check the nodes' answers to the versions of a run.

    :param pushes: the versions, in order.
    :param nodes: the nodes' ids.
    :param answers: all ACKs and NACKs, in order.
    :param connected: called with a node and a version; whether the node had a stream when that version came.
    """
    bad = {push.label for push in pushes if push.bad}
    result = Outcome(len(pushes), len(bad), {}, {node: {} for node in nodes})
    parts = {url: part.value for part, url in TYPES.items()}
    for answer in answers:
        if answer.reason:
            result.refused.setdefault(answer.label, {})[answer.node] = answer.reason
            if answer.label not in bad:
                result.problems.append(
                    f"{answer.node} refused {answer.label}, which is good: {answer.reason}"
                )
        elif answer.label in bad:
            result.problems.append(f"{answer.node} accepted {answer.label}, which is bad")
        elif answer.node in result.final:
            result.final[answer.node][parts[answer.type_url]] = answer.label
    for label in sorted(bad):
        for node in nodes:
            if connected(node, label) and node not in result.refused.get(label, {}):
                result.problems.append(f"{node} did not refuse {label}")
    last = pushes[-1].label if pushes else ""
    for node in nodes:
        for part in Part:
            held = result.final[node].get(part.value, "nothing")
            if last and held != last:
                result.problems.append(f"{node} ends with {held} of {part.value}, not with {last}")
    return result


class ScriptedService:
    """The stand-in service of a run, and the script of the versions that it pushes."""

    def __init__(
        self, scenario: Scenario, nodes: Sequence[str], settings: Callable[[int], dict[str, Any]]
    ) -> None:
        self.service = Service()
        self.pushes = draw_pushes(scenario)
        self.stream_end_times = draw_stream_end_times(scenario)
        self.pool = scenario.tiers[0].name
        self._scenario = scenario
        self._nodes = nodes
        self._settings = settings
        self._connected: dict[str, set[str]] = {}  # the nodes that had a stream when a version came, by label
        self.drained: str = ""  # the server that the newest version of the members drains; empty if none

    def push_initial(self, endpoints: list[dict[str, Any]]) -> None:
        """Push the version that all nodes start with."""
        self.service.push("v000", *self._members(endpoints), *self._good_settings(0))

    def _members(self, endpoints: list[dict[str, Any]]) -> list[tuple[Part, str, Any]]:
        return [(Part.MEMBERS, self.pool, pool_message(self.pool, endpoints))]

    def _good_settings(self, number: int) -> list[tuple[Part, str, Any]]:
        """Return settings that differ between versions, within the limits of the nodes' own files."""
        changes = []
        for index, node in enumerate(self._nodes):
            settings = copy.deepcopy(self._settings(index))
            for cls in settings["classes"]:
                cls["objective_ms"] = round(cls["objective_ms"] * (1.0 + 0.01 * (number % 5)), 3)
            settings["permissions"]["connect_timeout_ms"] += number % 7
            changes.append((Part.SETTINGS, node, node_message(node, self.pool, settings)))
        return changes

    def _bad_settings(self, fault: str) -> list[tuple[Part, str, Any]]:
        changes = []
        for index, node in enumerate(self._nodes):
            settings = copy.deepcopy(self._settings(index))
            pool = self.pool
            match fault:
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

    def _bad_members(self, fault: str, endpoints: list[dict[str, Any]]) -> list[tuple[Part, str, Any]]:
        packed = pool_message(self.pool, endpoints)
        match fault:
            case "no live server":
                packed = pool_message(self.pool, [endpoint | {"status": "leaving"} for endpoint in endpoints])
            case "no address":
                packed = pool_message(self.pool, [*endpoints, endpoints[0] | {"address": "127.0.0.1:0"}])
            case "wrong type":
                packed = AnyMessage(type_url=EDS + "2", value=packed.value)
            case "truncated":
                packed = AnyMessage(type_url=EDS, value=packed.value[: len(packed.value) // 2 + 1])
        return [(Part.MEMBERS, self.pool, packed)]

    def push(self, push: Push, number: int, endpoints: list[dict[str, Any]]) -> None:
        """Push a version.

        :param number: the number of the version, from 1.
        :param endpoints: the servers that run, in the format of discovery.
        """
        changes: list[tuple[Part, str, Any]] = []
        if push.bad:
            bad = self._bad_settings(push.bad) if push.part is Part.SETTINGS else None
            changes = bad if bad is not None else self._bad_members(push.bad, endpoints)
        if not push.bad and (push.part is Part.SETTINGS or push.last):
            changes += self._good_settings(number)
        if not push.bad and (push.part is Part.MEMBERS or push.last):
            self.drained = endpoints[number % len(endpoints)]["name"] if push.drain else ""
            weighted = [
                endpoint | {"weight": 1.0 - 0.01 * ((number + index) % 5)}
                for index, endpoint in enumerate(endpoints)
            ]
            for endpoint in weighted:
                if endpoint["name"] == self.drained:
                    endpoint["status"] = "leaving"
            changes += self._members(weighted)
        self._connected[push.label] = {stream.node for stream in self.service.streams}
        self.service.push(push.label, *changes)

    def outcome(self) -> Outcome:
        """Return how the nodes answered, as recorded by the service."""
        return outcome(
            self.pushes,
            self._nodes,
            self.service.answers,
            lambda node, label: node in self._connected.get(label, ()) and self._stayed(node, label),
        )

    def _stayed(self, node: str, label: str) -> bool:
        """Return whether a node still had a stream when the version after `label` came.

        A node that lost its stream in between may have missed the version `label`.
        """
        labels = [push.label for push in self.pushes]
        index = labels.index(label) + 1
        return index < len(labels) and node in self._connected.get(labels[index], ())

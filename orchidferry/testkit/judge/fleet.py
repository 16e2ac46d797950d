"""Judges fleet membership: false deaths, how soon real deaths were detected, and when the views agreed.

The states of processes and links are those that the test kit observed. A node's journal is evidence only of
what that node believed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any

from orchidferry.testkit.judge.fleet_views import (
    STEP_S,
    FleetViews,
    read_journals,
    sample_views,
    views_agree,
)
from orchidferry.testkit.judge.quantiles import quantile
from orchidferry.testkit.judge.trace import RunTrace
from orchidferry.testkit.record import Fact, LinkBytes
from orchidferry.testkit.world.links import LinkFault

MISSED_AFTER_S = 20.0
"""A death less than this long before the end of the run is not expected to be detected."""


@dataclass(frozen=True, slots=True)
class FalseDeath:
    """A node believed another one gone although that one was running and reachable."""

    observer: str
    subject: str
    at_s: float  # start of the false belief, in seconds since the load began
    for_s: float  # duration of the false belief, in seconds


def find_false_deaths(views: FleetViews, agree_s: float) -> list[FalseDeath]:
    """All false deaths.

    :param agree_s: seconds for which observer and subject must have been reachable to each other, directly or
        through other nodes, before a belief counts as false
    """
    return [
        death
        for observer in views.views
        for subject in views.views
        if subject != observer
        for death in _false_deaths_of(views, observer, subject, agree_s)
    ]


def _false_deaths_of(views: FleetViews, observer: str, subject: str, agree_s: float) -> list[FalseDeath]:
    found: list[FalseDeath] = []
    reachable_since: float | None = None
    false_since: float | None = None
    for n, t in enumerate(views.times):
        if not views.can_hear_of(n, observer, subject):
            reachable_since = None
        elif reachable_since is None:
            reachable_since = t
        state = views.views[observer][n].get(subject)
        gone = state is not None and state.gone
        if reachable_since is not None and t - reachable_since >= agree_s and gone:
            false_since = t if false_since is None else false_since
        elif false_since is not None:
            found.append(FalseDeath(observer, subject, false_since, t - false_since))
            false_since = None
    if false_since is not None:
        found.append(FalseDeath(observer, subject, false_since, views.times[-1] - false_since + STEP_S))
    return found


class Undetected(Enum):
    """Why a node has no detection time for a death."""

    MISSED = "missed"
    NOT_EXPECTED = "not expected"  # the observer stopped, the dead node restarted, or the run ended too soon


@dataclass(frozen=True, slots=True)
class DeathDetection:
    """How deaths were detected, over all pairs of a death and a surviving node."""

    took_s: list[float]  # detection times, in ascending order
    missed: int  # number of pairs in which the node kept running and never detected the death


def measure_detection(trace: RunTrace, views: FleetViews) -> DeathDetection:
    """Measure how long each node that kept running took to believe that a killed node was gone."""
    took_s: list[float] = []
    missed = 0
    for subject, stops in trace.node_stops.items():
        for stop in stops:
            if stop.why != "killed" or subject not in views.views:
                continue
            starts = trace.node_starts.get(subject, ())
            restarted = min((trace.elapsed(t) for t in starts if t > stop.t), default=math.inf)
            for observer in views.views:
                if observer == subject:
                    continue
                outcome = _time_to_detect(views, observer, subject, trace.elapsed(stop.t), restarted)
                if outcome is Undetected.MISSED:
                    missed += 1
                elif isinstance(outcome, float):
                    took_s.append(outcome)
    return DeathDetection(sorted(took_s), missed)


def _time_to_detect(
    views: FleetViews, observer: str, subject: str, died: float, restarted: float
) -> float | Undetected:
    """Seconds from a node's death until one observer believed it gone.

    :param died: time of the death, in seconds since the load began
    :param restarted: when the dead node was up again, on the same clock; infinite if it was not restarted
    """
    for n, t in enumerate(views.times):
        if t < died:
            continue
        if observer not in views.running[n] or t >= restarted:
            return Undetected.NOT_EXPECTED
        state = views.views[observer][n].get(subject)
        if state is None or state.gone:
            return t - died
    return Undetected.MISSED if views.times[-1] - died > MISSED_AFTER_S else Undetected.NOT_EXPECTED


def times_to_agree(views: FleetViews, heals: list[float], max_s: float) -> list[float | None]:
    """For each time at which a fault ended, the seconds until all views agreed.

    :param heals: end times of faults, in seconds since the load began
    :param max_s: seconds after which a value is None, as the views did not agree in time
    """
    return [_time_to_agree(views, heal, max_s) for heal in heals]


def _time_to_agree(views: FleetViews, heal: float, max_s: float) -> float | None:
    for n, t in enumerate(views.times):
        if t >= heal and views_agree(views, n):
            return max(0.0, t - heal)
        if t > heal + max_s:
            break
    return None


def heal_times(trace: RunTrace, links: tuple[LinkFault, ...]) -> list[float]:
    """End times of link cuts and node pauses at which no other cut or pause was active.

    :returns: ascending, in seconds since the load began
    """
    isolations = [(fault.t, fault.until) for fault in links if fault.cut and fault.until < math.inf]
    isolations += [
        (trace.elapsed(start), trace.elapsed(end))
        for pauses in trace.node_pauses.values()
        for start, end in pauses
    ]
    ends = {end for _, end in isolations}
    return sorted(end for end in ends if not any(start < end < until for start, until in isolations))


@dataclass(frozen=True, slots=True)
class FleetResult:
    """The measurements of a fleet."""

    nodes: int
    heals: list[float]  # end times of isolating faults, in seconds since the load began
    agreed_after_s: list[float | None]  # for each of `heals`; None: not in time
    false_deaths: list[FalseDeath]
    detection: DeathDetection
    bytes_per_node_second: float | None  # sent to peers by one running node; None if no node ran
    agreed_at_end: bool  # whether the views agreed in the last sample


def judge_fleet(
    trace: RunTrace,
    facts: list[Fact],
    journals: dict[str, list[str]],
    zero: float,
    links: tuple[LinkFault, ...],
) -> tuple[dict[str, Any], FleetViews]:
    """Judge the fleet membership of a run.

    :param journals: the nodes' journals as JSON lines, by node
    :param zero: the record's zero on the journals' clock, in seconds
    :param links: the faults of the links between nodes
    :returns: the object under `fleet` in `--json`, and the views from which it was computed
    """
    settings = trace.scenario.fleet
    entries = read_journals(journals, zero)
    end = min(trace.end, trace.start + trace.scenario.length_s + settings.agree_s)
    views = sample_views(trace, entries, links, end)
    heals = [heal for heal in heal_times(trace, links) if heal + settings.agree_s <= views.times[-1]]
    sent = sum(fact.bytes for fact in facts if isinstance(fact, LinkBytes))
    node_seconds = sum(len(running) for running in views.running) * STEP_S
    result = FleetResult(
        len(entries),
        heals,
        times_to_agree(views, heals, settings.agree_s),
        find_false_deaths(views, settings.agree_s),
        measure_detection(trace, views),
        sent / node_seconds if node_seconds else None,
        views_agree(views, len(views.times) - 1),
    )
    return _as_json(result, _problems(result, settings.agree_s, settings.false_s)), views


def _problems(result: FleetResult, agree_s: float, false_s: float) -> list[str]:
    """The problems of a fleet, one line each."""
    problems = [
        f"{death.observer} held {death.subject} for gone for {death.for_s:.1f} s "
        f"from {death.at_s:.1f} s on, though it was there"
        for death in result.false_deaths
        if death.for_s > false_s
    ]
    problems += [
        f"views did not agree within {agree_s:g} s of {heal:.1f} s"
        for heal, took in zip(result.heals, result.agreed_after_s, strict=True)
        if took is None
    ]
    if result.detection.missed:
        problems.append(f"{result.detection.missed} nodes never knew of a death")
    if not result.agreed_at_end and not result.heals:
        problems.append("views do not agree at the end")
    return problems


def _as_json(result: FleetResult, problems: list[str]) -> dict[str, Any]:
    def rounded(value: float | None) -> float | None:
        return None if value is None else round(value, 3)

    took = result.agreed_after_s
    slowest = None if None in took else max((one for one in took if one is not None), default=None)
    bytes_per_node_second = result.bytes_per_node_second
    return {
        "nodes": result.nodes,
        "views_agree_after_s": rounded(slowest),
        "heals": len(result.heals),
        "false_deaths": len(result.false_deaths),
        "false_longest_s": rounded(max((death.for_s for death in result.false_deaths), default=0.0)),
        "deaths_known": len(result.detection.took_s),
        "known_dead_p50_s": rounded(quantile(result.detection.took_s, 0.5)),
        "known_dead_p99_s": rounded(quantile(result.detection.took_s, 0.99)),
        "bytes_a_node_s": None if bytes_per_node_second is None else round(bytes_per_node_second, 1),
        "problems": problems,
    }

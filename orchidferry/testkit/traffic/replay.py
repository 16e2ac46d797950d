"""Replays recordings: selects the requests that are sent, and derives their times and classes.

The selection depends only on the recordings, the scenario and its seed. So all client processes compute the
same arrivals, and a preview shows before the run which requests will be sent.

Skipped requests are counted by reason, for `traffic.skipped`:

- `sampled`: the client is not in the sample; a sample has all requests of a client or none;
- `retries`: a recorded retry, if the kit's clients retry by themselves: both would double the retries;
- `unsafe`: the guard excludes the class;
- `after the end`: the request is later than the end of the run.
"""

from __future__ import annotations

import heapq
import itertools
import math
import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import numpy as np

from orchidferry.testkit import seeded_random
from orchidferry.testkit.clients.schedule import Arrival
from orchidferry.testkit.scenario import Class, Scenario, ScenarioError, Traffic, override
from orchidferry.testkit.traffic.classes import Classes, ClassesFileError, mix
from orchidferry.testkit.traffic.guard import Permission
from orchidferry.testkit.traffic.recording import NO_TIME, Header, Reader, Rows, prefetched
from orchidferry.testkit.traffic.retries import failed

Mask = np.ndarray[tuple[int], np.dtype[np.bool_]]
SLICE = 256  # rows that are converted to Python values at once; more would delay the sending of requests
QUANTILES = (0.5, 0.9, 0.99)
MIN_WORK_S = 0.001  # minimum work of a class: the time that a stand-in server takes for a request
WORK_SAMPLE = 200_000  # successful requests that are read to estimate the work of the classes
GOLDEN_GAMMA = 0x9E3779B97F4A7C15  # increment of SplitMix64


def in_sample(clients: np.ndarray[Any, Any], seed: int, scale: float) -> Mask:
    """Select a random sample of clients.

    A client is in the sample if SplitMix64's finalizer (Steele et al., 2014) of its hash and the seed is
    below the threshold for `scale`. So a larger sample contains every smaller one with the same seed.

    :param clients: hashes of the clients.
    :param scale: fraction of the clients in the sample.
    :returns: for each client, whether it is in the sample.
    """
    with np.errstate(over="ignore"):
        z = clients.astype(np.uint64) + np.uint64((seed * GOLDEN_GAMMA + GOLDEN_GAMMA) & (1 << 64) - 1)
        z = (z ^ (z >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        z = (z ^ (z >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
        z = z ^ (z >> np.uint64(31))
    found: Mask = (z >> np.uint64(11)).astype(np.float64) < scale * float(1 << 53)
    return found


@dataclass
class RowFilter:
    """Selects the rows of one recording that are sent, and counts sent and skipped requests."""

    traffic: Traffic  # the recording, and how it is replayed
    names: list[str]  # names of the recording's classes, by number
    excluded: frozenset[str]  # names of the classes that the guard excludes
    seed: int  # seed of the sample of clients
    sent: Counter[str] = field(default_factory=Counter)  # by class
    recorded: Counter[str] = field(default_factory=Counter)  # by class, before sampling and exclusions
    skipped: Counter[str] = field(default_factory=Counter)  # by reason

    def __post_init__(self) -> None:
        self._is_excluded = np.array([name in self.excluded for name in self.names], np.bool_)

    def _count(self, into: Counter[str], rows: Rows) -> None:
        counts = np.bincount(rows["cls"], minlength=len(self.names))
        into.update({name: int(n) for name, n in zip(self.names, counts, strict=True) if n})

    def select(self, rows: Rows) -> Rows:
        """:returns: the rows that are sent, in the same order."""
        is_retry = rows["number"] > 0
        if self.traffic.retries == "kit":
            self.skipped["retries"] += int(is_retry.sum())
            rows = rows[~is_retry]
        self._count(self.recorded, rows)
        if self.traffic.scale < 1.0:
            # Requests of unidentified clients are sampled by chain: a request and its retries stay together.
            sample_keys = np.where(rows["client"] == 0, rows["chain"].astype(np.uint64), rows["client"])
            is_sampled = in_sample(sample_keys, self.seed, self.traffic.scale)
            self.skipped["sampled"] += int((~is_sampled).sum())
            rows = rows[is_sampled]
        is_excluded = self._is_excluded[rows["cls"]]
        self.skipped["unsafe"] += int(is_excluded.sum())
        rows = rows[~is_excluded]
        self._count(self.sent, rows)
        return rows


def _span_s(traffic: Traffic, header: Header) -> float:
    """:returns: the seconds of the recording that one pass replays, including a request at the very end."""
    return max(0.0, min(traffic.to_s, header.seconds + 1e-6) - traffic.from_s)


def _passes(traffic: Traffic, row_filter: RowFilter, until_s: float) -> Iterator[tuple[Any, Rows]]:
    """Iterate over the rows that are sent, block by block, and pass by pass if the recording is looped.

    :param until_s: end of the run, in seconds since its start.
    :returns: times in seconds since the start of the run (float64), and the rows.
    """
    for number in itertools.count():
        reader = Reader(Path(traffic.recording))
        begin = traffic.at_s + number * _span_s(traffic, reader.header) / traffic.speed
        if begin >= until_s:
            return
        for rows in reader.blocks(traffic.from_s, traffic.to_s):
            times = begin + (rows["t"].astype(np.float64) / 1e6 - traffic.from_s) / traffic.speed
            inside = times < until_s
            row_filter.skipped["after the end"] += int((~inside).sum())
            selected = row_filter.select(rows[inside])
            yield begin + (selected["t"].astype(np.float64) / 1e6 - traffic.from_s) / traffic.speed, selected
        if not traffic.loop or _span_s(traffic, reader.header) <= 0.0:
            return


def _row_filters(scenario: Scenario) -> list[RowFilter]:
    found = []
    for number, traffic in enumerate(scenario.traffic):
        header = Reader(Path(traffic.recording)).header
        excluded = frozenset(
            row["name"]
            for row in header.classes
            if scenario.guard.permission(row["name"], row.get("repeat", "unsafe")) is Permission.LEFT_OUT
        )
        names = [row["name"] for row in header.classes]
        found.append(
            RowFilter(traffic, names, excluded, seeded_random.integer(scenario.seed, "sample", number))
        )
    return found


def _sent_rows(blocks: Iterator[tuple[Any, Rows]], names: list[str]) -> Iterator[tuple[float, str, int, int]]:
    """:returns: time in seconds, name of the class, hash of the client and of the object, for each row."""
    for times, rows in blocks:
        for at in range(0, len(rows), SLICE):
            part = rows[at : at + SLICE]
            for t, cls, client, obj in zip(
                times[at : at + SLICE].tolist(),
                part["cls"].tolist(),
                part["client"].tolist(),
                part["object"].tolist(),
                strict=True,
            ):
                yield t, names[cls], client, obj


def replayed_arrivals(scenario: Scenario, index: int = 0, every: int = 1) -> Iterator[Arrival]:
    """Iterate over the arrivals that one client process sends, in order of time.

    The attempt time-out of a client, and whether it honours Retry-After and retries attempts that may
    have been executed, are drawn once for each client, not for each request.

    :param index: number of the process, from 0: the position of its first arrival.
    :param every: number of processes: the distance between its arrivals among all arrivals.
    :raises RecordingError: if a recording is damaged.
    """
    classes = {cls.name: cls for cls in scenario.classes}
    streams = [
        _sent_rows(prefetched(_passes(row_filter.traffic, row_filter, scenario.length_s)), row_filter.names)
        for row_filter in _row_filters(scenario)
    ]
    seed = scenario.seed
    clients = scenario.clients
    low, high = clients.try_share
    merged = enumerate(heapq.merge(*streams, key=lambda row: row[0]))
    for number, (t, name, client, obj) in itertools.islice(merged, index, None, every):
        cls = classes[name]
        client_name = client or f"r{number}"
        yield Arrival(
            t=t,
            root=f"r{number}",
            cls=cls,
            object=obj,
            attempt_timeout_s=cls.gives_up_s
            * seeded_random.uniform(seed, "try", client_name, low=low, high=high),
            honours_retry_after=seeded_random.uniform(seed, "honours", client_name) < clients.honour,
            retries_unsafe=cls.repeat != "unsafe"
            and seeded_random.uniform(seed, "again", client_name) < clients.unsafe_again,
        )


@dataclass
class Preview:
    """The requests that a replay will send, counted in one pass over its recordings."""

    sent: Counter[str] = field(default_factory=Counter)  # by class
    recorded: Counter[str] = field(default_factory=Counter)  # by class, before sampling and exclusions
    skipped: Counter[str] = field(default_factory=Counter)  # by reason
    gaps_ms: dict[str, float] = field(default_factory=dict)  # quantiles of the planned gaps between arrivals


def gaps_ms(times: Any) -> dict[str, float]:
    """Compute p50, p90 and p99 of the gaps between times, in milliseconds.

    :param times: seconds, in ascending order.
    :returns: the quantiles by name; empty for fewer than two times.
    """
    if len(times) < 2:
        return {}
    values = np.quantile(np.diff(times), QUANTILES) * 1e3
    return {f"p{100 * q:g}": round(float(v), 4) for q, v in zip(QUANTILES, values, strict=True)}


def _preview(scenario: Scenario) -> Preview:
    found = Preview()
    times = []
    for row_filter in _row_filters(scenario):
        times += [t for t, _ in _passes(row_filter.traffic, row_filter, scenario.length_s)]
        found.sent += row_filter.sent
        found.recorded += row_filter.recorded
        found.skipped += row_filter.skipped
    all_times = np.sort(np.concatenate(times)) if times else np.zeros(0)
    found.gaps_ms = gaps_ms(all_times)
    return found


def _median_durations_s(traffic: Traffic, names: list[str]) -> dict[str, float]:
    """Estimate the work that a stand-in server does for a request of each class.

    :returns: the median duration of successful requests by class, in seconds.
    """
    took: dict[int, list[Any]] = {}
    seen = 0
    for rows in Reader(Path(traffic.recording)).blocks(traffic.from_s, traffic.to_s):
        succeeded = rows[~failed(rows) & (rows["took"] != NO_TIME)]
        seen += len(succeeded)
        if seen >= WORK_SAMPLE:
            break
        for number in range(len(names)):
            durations = succeeded["took"][succeeded["cls"] == number]
            if len(durations):
                took.setdefault(number, []).append(durations)
    return {names[n]: float(np.median(np.concatenate(parts))) / 1e6 for n, parts in took.items()}


def _classes(scenario: Scenario, declared: bool) -> dict[str, Class]:
    """Collect the classes of all recordings.

    :param declared: whether the scenario declares classes, which take precedence over the recorded ones.
    :returns: the classes by name.
    :raises ScenarioError: if a class differs in `repeat` between its sources.
    """
    declared_classes = {cls.name: cls for cls in scenario.classes} if declared else {}
    found: dict[str, Class] = {}
    for traffic in scenario.traffic:
        header = Reader(Path(traffic.recording)).header
        works_s = _median_durations_s(traffic, [row["name"] for row in header.classes])
        for row in header.classes:
            name = row["name"]
            repeat = row.get("repeat", "unsafe")
            known = declared_classes.get(name) or found.get(name)
            if known is not None and known.repeat != repeat:
                # Otherwise requests that one source marks as unsafe could be sent as safe.
                raise ScenarioError(
                    f"{traffic.recording}: class {name!r} is {repeat} there, and {known.repeat} elsewhere"
                )
            if name in found:
                continue
            wanted_s = float(row.get("wanted_s", 1.0))
            gives_up_s = float(row.get("gives_up_s", 5.0))
            work_s = min(max(MIN_WORK_S, works_s.get(name, 0.05)), gives_up_s)
            found[name] = declared_classes.get(name) or Class(
                name,
                0.0,
                work_s,
                wanted_s,
                gives_up_s,
                repeat,
                worth=float(row.get("worth", 1.0)),
                group="all" if repeat != "keyed" else "cell",
            )
    return found


def paths_of(classes: Classes) -> tuple[tuple[str, tuple[str, str]], ...]:
    """Derive the method and path that a target gets for each class.

    The path is the glob, in which the sender replaces the first star by the hash of the object. A regex can't
    be converted to a path: its class keeps `/NAME?obj=HASH`.

    :returns: name of the class, and its method and path, which are empty if none is known.
    :raises ClassesFileError: if a path has characters that can't be sent.
    """
    found = []
    for rule in classes.rules:
        method = min(rule.methods, default="")
        path = "" if rule.path.startswith("re:") else re.sub(r"\*+", "*", rule.path).replace("?", "x")
        if path and not path.startswith("/"):
            path = "/" + path
        if any(not "!" <= c <= "~" for c in path):
            raise ClassesFileError(f"class {rule.name!r}: path {rule.path!r:.60} can't be sent as it is")
        found.append((rule.name, (method, path)))
    return tuple(found)


def resolve(scenario: Scenario) -> tuple[Scenario, Preview]:
    """Derive the classes, the rate and the length of a scenario from its recordings, and verify these.

    :returns: the scenario, and a preview of the requests that it will send.
    :raises ScenarioError: if it can't be replayed.
    :raises RecordingError: if a recording is damaged.
    """
    if not scenario.traffic:
        raise ScenarioError(f"{scenario.name}: which recording? --recording FILE, or [[traffic]] in the file")
    ends = []
    for traffic in scenario.traffic:
        header = Reader(Path(traffic.recording)).header
        span = _span_s(traffic, header)
        if span <= 0.0:
            raise ScenarioError(
                f"{traffic.recording}: nothing from {traffic.from_s:g} s on; it has {header.seconds:g} s"
            )
        ends.append(math.inf if traffic.loop else traffic.at_s + span / traffic.speed)
    scenario = replace(scenario, length_s=min(scenario.length_s, max(ends)))
    declared = scenario.classes != Scenario(scenario.name).classes
    classes = _classes(scenario, declared)
    scenario = replace(scenario, classes=tuple(classes.values()))
    if scenario.traffic[0].retries == "recorded":
        scenario = replace(scenario, clients=replace(scenario.clients, retries=0))
    preview = _preview(scenario)
    total = sum(preview.sent.values())
    if not total:
        raise ScenarioError(f"{scenario.name}: nothing is left to send; left out: {dict(preview.skipped)}")
    used = tuple(replace(c, share=preview.sent[c.name] / total) for c in classes.values())
    load = replace(scenario.load, rate=total / scenario.length_s)
    return override(replace(scenario, classes=used, load=load)), preview


def measure(preview: Preview, sent: Counter[str], lags_s: Any, at_s: Any, not_sent: int) -> dict[str, Any]:
    """Compute the key `traffic` of a report.

    :param sent: number of requests that were sent, by class.
    :param lags_s: for each request, how much later than planned it was sent.
    :param at_s: for each request, when it was sent (seconds, in any order).
    :param not_sent: number of planned requests that were not sent before the run was cut off.
    """
    lag = np.quantile(lags_s, (*QUANTILES, 1.0)) * 1e3 if len(lags_s) else np.zeros(4)
    skipped = {reason: count for reason, count in preview.skipped.items() if count}
    if not_sent:
        skipped["cut off"] = not_sent
    return {
        "mix": mix(sent),
        "recorded_mix": mix(preview.recorded),
        "lag_ms": {n: round(float(v), 3) for n, v in zip(("p50", "p90", "p99", "most"), lag, strict=True)},
        "skipped": skipped,
        "sent": sum(sent.values()),
        "gaps_ms": gaps_ms(np.sort(np.asarray(at_s))),
        "recorded_gaps_ms": preview.gaps_ms,
    }

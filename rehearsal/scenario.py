"""A scenario: topology, load, seed and timeline as typed values, checked when a file is loaded.

Here stand the forms and their checks; what they mean for each server and second is drawn in
`rehearsal.world.plan` and `rehearsal.clients.schedule`. `BadScenario` says in one line what is wrong,
by file and field. Times are seconds inside; files write them with a unit: "250ms", "8s", "2m".
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable
from dataclasses import MISSING, dataclass, field, fields, replace
from pathlib import Path
from typing import Any, TypeVar

from rehearsal.traffic.guard import Guard

T = TypeVar("T")
Table = dict[str, Any]

MAX_FILE = 256 * 1024  # bytes: a scenario is a page; anything larger is another file
MOST_SERVERS, MOST_NODES, MOST_SECONDS = 5_000, 500, 3_600.0
MOST_RATE = 20_000.0  # first tries a second: no machine drives more with this kit
MOST_STEPS = 1_000
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
DURATION = re.compile(r"([0-9]{1,7}(?:\.[0-9]{1,6})?)(ms|s|m|h)")
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3_600.0}
MOST_RECORDINGS = 8  # laid over each other


class BadScenario(Exception):
    """A scenario that can't be played; the text names file and field."""


class _Bad(Exception):
    """What is wrong with a value; its reader adds the field."""


# Readers of one value. Each gives the value, or raises `_Bad` with what was wanted.


def shown(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 40 else text[:37] + "..."


def seconds(value: object) -> float:
    """A duration with its unit."""
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _Bad(f'{shown(value)} is no duration such as "250ms", "8s" or "2m"')
    return float(match[1]) * UNITS[match[2]]


def positive(reader: Callable[[object], float]) -> Callable[[object], float]:
    def read(value: object) -> float:
        result = reader(value)
        if result <= 0:
            raise _Bad(f"{shown(value)} must be above 0")
        return result

    return read


def real(low: float, high: float) -> Callable[[object], float]:
    def read(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise _Bad(f"{shown(value)} is no number")
        if not low <= value <= high:
            raise _Bad(f"{shown(value)} is not within {low:g} to {high:g}")
        return float(value)

    return read


def whole(low: int, high: int) -> Callable[[object], int]:
    def read(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise _Bad(f"{shown(value)} is no whole number")
        if not low <= value <= high:
            raise _Bad(f"{shown(value)} is not within {low} to {high}")
        return value

    return read


def word(*words: str) -> Callable[[object], str]:
    def read(value: object) -> str:
        if value not in words:
            raise _Bad(f"{shown(value)} is none of {', '.join(words)}")
        return str(value)

    return read


def name(value: object) -> str:
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise _Bad(f"{shown(value)} is no name of small letters, digits and hyphens")
    return value


def text(value: object) -> str:
    if not isinstance(value, str) or not value or len(value) > 200 or not value.isprintable():
        raise _Bad(f"{shown(value)} is no line of text")
    return value


def path(value: object) -> str:
    if not isinstance(value, str) or not value or len(value) > 4_096 or "\0" in value:
        raise _Bad(f"{shown(value)} is no path of a file")
    return value


def flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise _Bad(f"{shown(value)} is neither true nor false")
    return value


def command(value: object) -> tuple[str, ...]:
    if not isinstance(value, list) or not value or not all(isinstance(v, str) and v for v in value):
        raise _Bad(f"{shown(value)} is no list of a program and its arguments")
    return tuple(value)


def span(value: object) -> tuple[float, float]:
    """Two durations, from and to; one stands for both."""
    if isinstance(value, list):
        if len(value) != 2:
            raise _Bad(f"{shown(value)} must be two durations, from and to")
        low, high = seconds(value[0]), seconds(value[1])
        if low > high:
            raise _Bad(f"{shown(value)} must rise")
        return low, high
    return seconds(value), seconds(value)


SHARE = real(0.0, 1.0)
ABOVE_0_S = positive(seconds)


def key(reader: Callable[[object], Any], default: Any = MISSING, also: str = "") -> Any:
    """A field of a table: how it is read, and its name in files where that is a word of Python's."""
    meta = {"reader": reader, "key": also}
    return field(metadata=meta) if default is MISSING else field(default=default, metadata=meta)


@dataclass(frozen=True, slots=True)
class Class:
    """One class of requests; `repeat`, `group` and `window_s` are rule 2's."""

    name: str = key(name)
    share: float = key(SHARE)  # of first tries
    work_s: float = key(ABOVE_0_S, also="work")  # mean, over all tiers, on one core of speed 1
    wanted_s: float = key(ABOVE_0_S, also="wanted")
    gives_up_s: float = key(ABOVE_0_S, also="gives_up")
    repeat: str = key(word("safe", "keyed", "unsafe"))
    spread: float = key(real(0.0, 5.0), 0.5)  # of the work: standard deviation over mean
    worth: float = key(real(0.0, 1e6), 1.0)
    late_worth: float = key(SHARE, 0.0)
    group: str = key(word("all", "zone", "cell"), "cell")  # keyed: which servers drop its repeats,
    window_s: float = key(seconds, 6.0, also="window")  # and for how long


@dataclass(frozen=True, slots=True)
class Tier:
    """One tier of servers."""

    name: str = key(name)
    servers: int = key(whole(1, MOST_SERVERS))
    work: float = key(SHARE)  # of a request's work that one visit to this tier is
    calls: float = key(real(0.0, 20.0), 1.0)  # mean calls that a request of this tier makes to the next
    cores: int = key(whole(1, 256), 1)
    slots: int = key(whole(1, 100_000), 24)  # requests in work at once
    room: int = key(whole(0, 100_000), 2)  # that wait beyond these; the rest is turned away
    speed: tuple[float, float] = key(lambda v: _two(real(0.05, 20.0), v), (0.9, 1.1))  # drawn by server
    cell: int = key(whole(1, 10_000), 3)  # servers that share what keys they have seen
    # A cold start: the share of capacity at first, the time to the full, and what pushes it over.
    cold_from: float = key(real(0.01, 1.0), 0.34)
    cold_for_s: float = key(ABOVE_0_S, 8.5, also="cold_for")
    zone: str = key(text, "sala-poa")


def _two(reader: Callable[[object], float], value: object) -> tuple[float, float]:
    pair = value if isinstance(value, list) else [value, value]
    if len(pair) != 2:
        raise _Bad(f"{shown(value)} must be one number, or two from and to")
    low, high = reader(pair[0]), reader(pair[1])
    if low > high:
        raise _Bad(f"{shown(value)} must rise")
    return low, high


@dataclass(frozen=True, slots=True)
class Load:
    """First tries of clients: an open loop, whatever becomes of them."""

    rate: float = key(real(0.01, MOST_RATE), 40.0)  # a second, on average
    shape: str = key(word("steady", "bursty", "ramp"), "steady")
    swing: float = key(
        SHARE, 0.25
    )  # bursty: how far the rate swings; ramp: it goes from 1 - swing to 1 + swing
    period_s: float = key(ABOVE_0_S, 7.0, also="period")  # bursty: of one swing
    arrivals: str = key(word("poisson", "even"), "poisson")
    objects: int = key(whole(1, 10_000_000), 1_000)  # what requests are about; popularity follows Zipf


@dataclass(frozen=True, slots=True)
class Clients:
    """How clients behave."""

    processes: int = key(whole(1, 16), 1)
    retries: int = key(whole(0, 20), 3)
    try_share: tuple[float, float] = key(lambda v: _two(real(0.05, 1.0), v), (0.42, 0.55))  # of gives_up
    wait_s: float = key(seconds, 0.2, also="wait")  # before a retry
    honour: float = key(SHARE, 0.2)  # of clients that keep to Retry-After
    impatient: float = key(SHARE, 0.02)  # of tries whose client leaves early
    unsafe_again: float = key(SHARE, 0.0)  # of clients that ask for an unsafe one again after a failure
    body: int = key(whole(0, 65_536), 200)  # bytes of a POST


@dataclass(frozen=True, slots=True)
class Front:
    """The layer that deals clients' connections over the first tier's nodes."""

    nodes: int = key(whole(1, MOST_NODES), 2)
    notice: tuple[float, float] = key(span, (1.2, 3.2))  # until it notices that a node has died


@dataclass(frozen=True, slots=True)
class Network:
    """What clients and servers speak, and what their datagrams meet on the way (HTTP/3 alone)."""

    protocol: str = key(word("h1", "h3"), "h1")
    loss: float = key(real(0.0, 0.5), 0.0)  # shares of datagrams, each way
    reorder: float = key(real(0.0, 0.5), 0.0)
    duplicate: float = key(real(0.0, 0.5), 0.0)
    delay_s: float = key(seconds, 0.0, also="delay")


@dataclass(frozen=True, slots=True)
class DiscoverySide:
    """How late the list of servers is, drawn for each change."""

    notice: tuple[float, float] = key(span, (0.5, 2.0))  # a server that drains, stops or dies
    add: tuple[float, float] = key(span, (0.5, 2.0))  # a server that has come up


@dataclass(frozen=True, slots=True)
class ControlSide:
    """A control service that sends the first tier's nodes their configuration in versions."""

    service: bool = key(flag, False)  # there is one; it sends a first version at the start
    versions: int = key(whole(0, 10_000), 0)  # that it sends during the run,
    bad: int = key(whole(0, 10_000), 0)  # so many of them bad, in ten different ways
    cuts: int = key(whole(0, 100), 0)  # times that it cuts all streams


@dataclass(frozen=True, slots=True)
class Traffic:
    """A recording that is replayed in place of drawn arrivals; several are laid over each other."""

    recording: str = key(path)  # in a file: from the folder that the file is in
    speed: float = key(real(0.001, 10_000.0), 1.0)
    from_s: float = key(seconds, 0.0, also="from")  # of the recording's own time
    to_s: float = key(ABOVE_0_S, math.inf, also="to")
    at_s: float = key(seconds, 0.0, also="at")  # of the run, when it begins
    loop: bool = key(flag, False)
    scale: float = key(real(0.0001, 1.0), 1.0)  # the share of its clients
    retries: str = key(word("kit", "recorded"), "kit")  # whose: the kit's clients' own, or those in it


@dataclass(frozen=True, slots=True)
class ChainSide:
    """Budgets and worth down the chain, as the nodes are told them."""

    on: bool = key(flag, False)
    extra: int = key(whole(0, 8), 1)  # attempts beyond the first, over the whole chain
    share: float = key(SHARE, 0.1)  # of first tries that a node's further ones may be
    floor: float = key(real(0.0, 1e6), 2.0)  # a second, of a whole tier, besides
    passes: bool = key(flag, True)  # servers between two nodes hand the headers on
    shed: bool = key(flag, False)  # deeper tiers turn away what is worth least
    knows: bool = key(flag, True)  # deeper tiers' nodes know the classes' worth by themselves


@dataclass(frozen=True, slots=True)
class PoolSide:
    """Two pools in the first tier, and a move from the old one to the new one."""

    on: bool = key(flag, False)
    share: float = key(SHARE, 0.5)  # of the tier's servers that are of the new pool
    step_s: float = key(ABOVE_0_S, 3.0, also="step")  # that a step of the move lasts at least
    first: float = key(real(0.001, 0.5), 0.04)  # the first step's share of worth
    rare: str = key(word("hold", "last"), "last")


@dataclass(frozen=True, slots=True)
class FleetSide:
    """The first tier's nodes know of each other, over links that the kit carries."""

    on: bool = key(flag, False)
    zones: int = key(whole(1, 24), 3)  # that the nodes stand in by turns
    probe_s: float = key(ABOVE_0_S, 0.5, also="probe")
    loss: float = key(SHARE, 0.0)  # of datagrams, on every link, all the time
    agree_s: float = key(ABOVE_0_S, 5.0, also="agree")  # from a heal until all views are to agree
    false_s: float = key(ABOVE_0_S, 2.0, also="false")  # that a living, reachable node may be held for lost


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the four rules, as the nodes are told them."""

    drain_grace_s: float = key(seconds, 1.0, also="drain_grace")
    overload_factor: float = key(real(1.0, 100.0), 3.0)
    overload_for_s: float = key(ABOVE_0_S, 1.0, also="overload_for")
    slack_s: float = key(seconds, 0.05, also="slack")  # what real sockets add to each limit
    answer_slack_s: float = key(seconds, 0.02, also="answer_slack")


@dataclass(frozen=True, slots=True)
class NodeSide:
    """The real nodes."""

    command: tuple[str, ...] = key(command, ())  # another build; by default this one
    attempts: int = key(whole(1, 20), 3)  # the most for one request
    sockets: int = key(whole(64, 1_000_000), 1_024)
    memory_mb: int = key(whole(16, 1_000_000), 192)
    retry_after: bool = key(flag, False)  # callers may be told when to come back
    passes_deadline: bool = key(flag, False)  # servers hand on what is left of the time


@dataclass(frozen=True, slots=True)
class Limits:
    """When a run says nothing of the nodes, as the machine was too slow for it."""

    lag_p99_s: float = key(ABOVE_0_S, 0.025, also="lag_p99")  # clients behind their own schedule,
    lag_most_s: float = key(ABOVE_0_S, 0.4, also="lag_most")
    stall_s: float = key(ABOVE_0_S, 0.25, also="stall")  # a stand-in's event loop, at once
    starved: float = key(SHARE, 0.25)  # of 2 s that a node waited for a core


@dataclass(frozen=True, slots=True)
class Step:
    """One entry of the timeline. Which of the fields an entry may have depends on `do`."""

    at_s: float = key(seconds, also="at")
    do: str = key(text)
    tier: str = key(name, "")
    share: float = key(SHARE, -1.0)  # of the tier's servers, or of the nodes
    count: int = key(whole(1, MOST_SERVERS), 0)  # or so many
    factor: float = key(real(0.01, 1_000.0), 1.0)
    rate: float = key(SHARE, 1.0)
    for_s: float = key(ABOVE_0_S, 0.0, also="for")
    every_s: float = key(ABOVE_0_S, 0.0, also="every")
    length_s: float = key(ABOVE_0_S, 0.0, also="length")
    back_s: float = key(ABOVE_0_S, 0.0, also="back")
    after_s: float = key(ABOVE_0_S, 3.0, also="after")
    gap_s: float = key(ABOVE_0_S, 2.0, also="gap")
    renamed: bool = key(flag, False)
    new: bool = key(flag, False)  # servers of the new pool alone
    zone: str = key(name, "")  # links: what leads out of this zone, a, b and so on
    pair: bool = key(flag, False)  # links: between two nodes alone
    one_way: bool = key(flag, False)  # links: what the struck side sends alone
    late_s: float = key(ABOVE_0_S, 0.0, also="late")
    bytes: float = key(real(1.0, 1e9), 0.0)  # a second


@dataclass(frozen=True, slots=True)
class Fault:
    """What a `do` means, what it needs and what it may have."""

    about: str
    needs: frozenset[str] = frozenset()
    may: frozenset[str] = frozenset()
    on: str = "servers"  # whom it strikes: servers, nodes, links between nodes, or all


def _fault(about: str, needs: str = "", may: str = "", on: str = "servers") -> Fault:
    who = {
        "servers": "tier share count new", "nodes": "share count", "all": "",
        "links": "share count zone pair one_way every",
    }[on]  # fmt: skip
    return Fault(about, frozenset(needs.split()), frozenset(f"{may} {who}".split()), on)


FAULTS: dict[str, Fault] = {
    "slow": _fault("work takes `factor` times as long", "factor for"),
    "errors": _fault("a share `rate` of requests fails at once with 500", "for", "rate"),
    "pauses": _fault("stands still for `length` every `every`", "every length for"),
    "stall": _fault("takes requests and does no work at all", "for"),
    "silent": _fault("accepts and reads, and never answers", "for"),
    "resets": _fault("resets the connection on a share `rate` of requests", "for", "rate"),
    "crash": _fault("dies; comes back cold after `back`, if that is given", "", "back renamed"),
    "drain": _fault("is listed as leaving, stops after `after`, may come back", "", "after back renamed"),
    "rolling-restart": _fault("one server after another, `gap` apart: drain, stop, start cold",
                              "", "after back gap renamed"),
    "add": _fault("new servers start, cold", "count"),
    "burst": _fault("clients ask `factor` times as much", "factor for", on="all"),
    "node-killed": _fault("a first-tier node is killed outright", "", "back", on="nodes"),
    "node-stopped": _fault("a first-tier node is told to stop (SIGTERM)", "", "back", on="nodes"),
    "node-paused": _fault("a first-tier node stands still (SIGSTOP)", "for", on="nodes"),
    "link-cut": _fault("nothing passes between some nodes and the rest; with `every` it comes and goes",
                       "for", on="links"),
    "link-loss": _fault("a share `rate` of datagrams is lost", "for rate", on="links"),
    "link-twice": _fault("a share `rate` of datagrams comes twice", "for rate", on="links"),
    "link-late": _fault("a share `rate` of datagrams comes `late` later", "for rate late", on="links"),
    "link-slow": _fault("so many `bytes` a second pass", "for bytes", on="links"),
    "discovery-down": _fault("discovery answers nobody, and its watches end", "for", on="all"),
}  # fmt: skip


def _classes() -> tuple[Class, ...]:
    return (
        Class("ler-feed", 0.50, 0.120, 1.2, 3.0, "safe", worth=1.0, late_worth=0.2, group="all"),
        Class("salvar-episodio", 0.33, 0.180, 1.5, 4.0, "keyed", worth=2.0, late_worth=0.5),
        Class("repasse-socio", 0.17, 0.250, 2.5, 6.0, "unsafe", worth=8.0, late_worth=0.3, group="all"),
    )


def _tiers() -> tuple[Tier, ...]:
    return (
        Tier("entrada", 6, 0.34, 1.5),
        Tier("catalogo", 8, 0.30, 1.0),
        Tier("registro", 10, 0.36, 0.0),
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    """All of a scenario."""

    name: str = key(name)
    about: str = key(text, "a scenario of one's own")
    length_s: float = key(ABOVE_0_S, 20.0, also="length")  # of arrivals; the run ends when all is answered
    seed: int = key(whole(0, 2**63 - 1), 1)
    classes: tuple[Class, ...] = field(default_factory=_classes)
    tiers: tuple[Tier, ...] = field(default_factory=_tiers)
    load: Load = field(default_factory=Load)
    clients: Clients = field(default_factory=Clients)
    front: Front = field(default_factory=Front)
    network: Network = field(default_factory=Network)
    discovery: DiscoverySide = field(default_factory=DiscoverySide)
    control: ControlSide = field(default_factory=ControlSide)
    chain: ChainSide = field(default_factory=ChainSide)
    pools: PoolSide = field(default_factory=PoolSide)
    fleet: FleetSide = field(default_factory=FleetSide)
    rules: Rules = field(default_factory=Rules)
    node: NodeSide = field(default_factory=NodeSide)
    limits: Limits = field(default_factory=Limits)
    timeline: tuple[Step, ...] = ()
    traffic: tuple[Traffic, ...] = ()
    # From the command line alone: where recorded traffic may go, methods and paths there, the run's id.
    guard: Guard = field(default_factory=Guard)
    paths: tuple[tuple[str, tuple[str, str]], ...] = ()
    run: str = ""
    workers: int = key(whole(1, 32), 2)  # processes that the stand-in servers share

    @property
    def new_from(self) -> int:
        """The first place of the first tier that is of the new pool; behind the last where there is none."""
        servers = self.tiers[0].servers
        return servers - round(self.pools.share * servers) if self.pools.on else servers

    def tier_number(self, name: str) -> int:
        return next(n for n, tier in enumerate(self.tiers) if tier.name == name)

    def altered(
        self, seed: int | None, length_s: float | None, protocol: str | None = None, loss: float | None = None
    ) -> Scenario:
        """With another seed, length, protocol or loss; `BadScenario` if its timeline does not fit."""
        changed = self if seed is None else replace(self, seed=seed)
        if protocol is not None:
            changed = replace(changed, network=replace(changed.network, protocol=protocol))
        if loss is not None:
            changed = replace(changed, network=replace(changed.network, loss=loss))
        if length_s is not None:
            changed = replace(changed, length_s=length_s)
        try:
            _check(changed)
        except _Bad as problem:
            raise BadScenario(f"{self.name}: {problem}") from None
        return changed


TABLES: dict[str, tuple[str, type[Any]]] = {
    "load": ("load", Load), "clients": ("clients", Clients), "front": ("front", Front),
    "network": ("network", Network), "discovery": ("discovery", DiscoverySide),
    "control": ("control", ControlSide), "rules": ("rules", Rules), "node": ("node", NodeSide),
    "limits": ("limits", Limits), "chain": ("chain", ChainSide),
    "pools": ("pools", PoolSide), "fleet": ("fleet", FleetSide),
}  # fmt: skip
LISTS: dict[str, tuple[str, type[Any]]] = {
    "class": ("classes", Class), "tier": ("tiers", Tier), "timeline": ("timeline", Step),
    "traffic": ("traffic", Traffic),
}  # fmt: skip


def _read(kind: type[T], table: object, where: str) -> tuple[T, frozenset[str]]:
    """A table as a dataclass, with the names of the keys that it had."""
    if not isinstance(table, dict):
        raise _Bad(f"{where}: {shown(table)} is no table")
    known = {f.metadata["key"] or f.name: f for f in fields(kind) if "reader" in f.metadata}  # type: ignore[arg-type]
    values: Table = {}
    for given, value in table.items():
        if given not in known:
            raise _Bad(f"{where}.{given}: no such field; there are {', '.join(sorted(known))}")
        try:
            values[known[given].name] = known[given].metadata["reader"](value)
        except _Bad as problem:
            raise _Bad(f"{where}.{given}: {problem}") from None
    for wanted, f in known.items():
        if f.default is MISSING and f.name not in values:
            raise _Bad(f"{where}.{wanted}: is missing")
    return kind(**values), frozenset(table)


def _step(table: object, where: str, tiers: tuple[Tier, ...]) -> Step:
    step, given = _read(Step, table, where)
    fault = FAULTS.get(step.do)
    if fault is None:
        raise _Bad(f"{where}.do: no such fault {shown(step.do)}; there are {', '.join(sorted(FAULTS))}")
    for missing in sorted(fault.needs - given):
        raise _Bad(f"{where}.{missing}: is missing; {step.do!r} needs it")
    for other in sorted(given - fault.needs - fault.may - {"at", "do"}):
        raise _Bad(f"{where}.{other}: {step.do!r} has no such field")
    if {"share", "count"} <= given:
        raise _Bad(f"{where}.count: share and count together")
    if step.share == 0.0:
        raise _Bad(f"{where}.share: must be above 0")
    if step.tier and step.tier not in {tier.name for tier in tiers}:
        raise _Bad(f"{where}.tier: no tier {shown(step.tier)}")
    if fault.on == "servers" and not step.tier:
        step = replace(step, tier=tiers[0].name)
    return step


def read_scenario(obj: Table, where: str) -> Scenario:
    """A scenario from TOML's tables; `where` is what the file is called in errors."""
    try:
        rest = {k: v for k, v in obj.items() if k not in TABLES and k not in LISTS}
        base, _ = _read(Scenario, rest, "top level")
        parts: dict[str, Any] = {}
        for name_, (attribute, kind) in TABLES.items():
            if name_ in obj:
                parts[attribute] = _read(kind, obj[name_], f"[{name_}]")[0]
        for name_ in ("class", "tier", "traffic"):
            if name_ in obj:
                attribute, kind = LISTS[name_]
                parts[attribute] = tuple(
                    _read(kind, item, f"{name_}[{n}]")[0] for n, item in enumerate(_list(obj[name_], name_))
                )
        scenario = replace(base, **parts)
        steps = _list(obj.get("timeline", []), "timeline")
        if len(steps) > MOST_STEPS:
            raise _Bad(f"timeline: {len(steps)} entries; {MOST_STEPS} at most")
        timeline = tuple(_step(item, f"timeline[{n}]", scenario.tiers) for n, item in enumerate(steps))
        scenario = replace(scenario, timeline=timeline)
        _check(scenario)
    except _Bad as problem:
        raise BadScenario(f"{where}: {problem}") from None
    return scenario


def read_traffic(table: Table, where: str) -> Traffic:
    """One entry of `[[traffic]]`, from wherever; `BadScenario` names the field."""
    try:
        return _read(Traffic, table, where)[0]
    except _Bad as problem:
        raise BadScenario(str(problem).replace("--.", "--")) from None


def _list(value: object, where: str) -> list[object]:
    if not isinstance(value, list):
        raise _Bad(f"{where}: {shown(value)} is no list of tables; write [[{where}]]")
    return value


def _check(scenario: Scenario) -> None:
    """What no single field shows."""
    if not scenario.tiers:
        raise _Bad("tier: at least one is needed")
    side = scenario.control
    if (side.versions or side.cuts) and not side.service:
        raise _Bad("[control]: versions and cuts need service = true")
    if side.bad >= max(1, side.versions) and side.bad:
        raise _Bad(f"[control].bad: {side.bad} of {side.versions} versions; the last one is good")
    if not scenario.classes:
        raise _Bad("class: at least one is needed")
    for label, names in (
        ("class", [c.name for c in scenario.classes]),
        ("tier", [t.name for t in scenario.tiers]),
    ):
        for n, name_ in enumerate(names):
            if name_ in names[:n]:
                raise _Bad(f"{label}[{n}].name: {name_!r} comes twice")
    total = sum(c.share for c in scenario.classes)
    if abs(total - 1.0) > 0.01:
        raise _Bad(f"class: the shares sum to {total:g}, not to 1")
    for n, c in enumerate(scenario.classes):
        if c.gives_up_s < c.wanted_s:
            raise _Bad(f"class[{n}].gives_up: is less than wanted")
    if scenario.length_s > MOST_SECONDS:
        raise _Bad(f"top level.length: over {MOST_SECONDS:g} s")
    if sum(t.servers for t in scenario.tiers) > MOST_SERVERS:
        raise _Bad(f"tier: over {MOST_SERVERS} servers in all")
    if scenario.fleet.on and scenario.front.nodes < 2:
        raise _Bad("[fleet].on: a fleet has two nodes at least, see [front].nodes")
    nodes = scenario.front.nodes + sum(t.servers for t in scenario.tiers[:-1])
    if nodes > MOST_NODES:
        raise _Bad(
            f"tier: {nodes} nodes in all (each server but the last tier's has one); {MOST_NODES} at most"
        )
    if len(scenario.traffic) > MOST_RECORDINGS:
        raise _Bad(f"traffic: over {MOST_RECORDINGS} recordings")
    for n, laid in enumerate(scenario.traffic):
        if laid.to_s <= laid.from_s:
            raise _Bad(f"traffic[{n}].to: is not after from")
        if laid.retries != scenario.traffic[0].retries:
            raise _Bad(f"traffic[{n}].retries: {laid.retries!r}, and others have another")
    if scenario.traffic and any(step.do == "burst" for step in scenario.timeline):
        raise _Bad(
            "timeline: a burst is of drawn arrivals; recorded ones have theirs (speed, a second recording)"
        )
    if any(
        step.new and (step.tier != scenario.tiers[0].name or not scenario.pools.on)
        for step in scenario.timeline
    ):
        raise _Bad("timeline: new = true is for the first tier of a scenario with pools")
    zones = {chr(ord("a") + n) for n in range(scenario.fleet.zones)}
    for n, step in enumerate(scenario.timeline):
        if FAULTS[step.do].on == "links" and not scenario.fleet.on:
            raise _Bad(f"timeline[{n}].do: {step.do!r} strikes links, and [fleet] is not on")
        if step.zone and step.zone not in zones:
            raise _Bad(f"timeline[{n}].zone: no zone {shown(step.zone)} of {scenario.fleet.zones}")
        if step.at_s >= scenario.length_s:
            raise _Bad(f"timeline[{n}].at: not before the end at {scenario.length_s:g} s")
        if step.count and FAULTS[step.do].on == "servers" and step.do != "add":
            has = scenario.tiers[scenario.tier_number(step.tier)].servers
            if step.count > has:
                raise _Bad(f"timeline[{n}].count: {step.tier} has {has} servers")


SHIPPED = Path(__file__).parent / "scenarios"


def shipped() -> dict[str, Path]:
    """The scenarios that come with the kit, by name."""
    return {path.stem: path for path in sorted(SHIPPED.glob("*.toml"))}


def load_scenario(wanted: str) -> Scenario:
    """The shipped scenario of that name, or the one in the file; `BadScenario` if it can't be played."""
    path = shipped().get(wanted)
    if path is None:
        if not wanted.endswith(".toml"):
            raise BadScenario(
                f"{shown(wanted)[1:-1]}: no such scenario; --list tells which there are, a file ends in .toml"
            )
        path = Path(wanted)
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE + 1)
    except OSError as problem:
        raise BadScenario(f"{path}: {problem.strerror}") from None
    if len(data) > MAX_FILE:
        raise BadScenario(f"{path}: over {MAX_FILE // 1024} KiB, which is no scenario")
    try:
        obj = tomllib.loads(data.decode())
    except UnicodeDecodeError as problem:
        raise BadScenario(f"{path}: not UTF-8 at byte {problem.start}") from None
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as problem:
        raise BadScenario(f"{path}: not TOML: {str(problem)[:120].splitlines()[0]}") from None
    scenario = read_scenario(obj, str(path))
    traffic = tuple(replace(one, recording=str(path.parent / one.recording)) for one in scenario.traffic)
    return replace(scenario, traffic=traffic)

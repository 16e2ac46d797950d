"""Draws a scenario: which servers there are, and what strikes whom when. Free of I/O.

Everything here follows from the scenario and its seed alone, before anything starts, so that two runs of
one seed play the same script. Its acts are in order of time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from orchidferry.testkit import seeded_random
from orchidferry.testkit.scenario import FAULT_TYPES, MAX_SERVERS, Scenario, TimelineEntry
from orchidferry.testkit.world.links import LinkFault

LEAVE_BACK_S = 1.0  # from a server's stop to its start, where a scenario says nothing else
TROUBLES = ("slow", "errors", "freeze", "silent", "resets")
MAX_ACTS = 50_000  # that a timeline may come to: pauses add up


@dataclass(frozen=True, slots=True)
class Server:
    """A stand-in server. `start`: cold, at some time of the run; else it is there, warm, from the start."""

    name: str
    tier: int
    cell: int
    speed: float
    place: int  # counts the servers of a tier
    number: int  # counts the places of all tiers: its address follows from it
    start: bool = False


@dataclass(frozen=True, slots=True)
class Act:
    """One thing done to one server, node, or all, at a time."""

    t: float
    do: str  # one of TROUBLES; leave, down, crash, up; kill, term, start, pause, resume; discovery-down, -up
    whom: str
    value: float = 0.0  # of a trouble: a factor, a share, or 1; 0 ends it
    entry: int = -1  # of the timeline, as troubles of one kind may lie over each other


@dataclass(frozen=True, slots=True)
class Shown:
    """An entry of the timeline as reports show it."""

    t: float
    until: float
    do: str
    whom: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The whole script of a run."""

    scenario: Scenario
    servers: tuple[Server, ...]
    nodes: tuple[str, ...]  # the first tier's, which clients reach through the front
    acts: tuple[Act, ...]
    shown: tuple[Shown, ...]
    bursts: tuple[tuple[float, float, float], ...]  # from, to, factor
    links: tuple[LinkFault, ...] = ()  # between the first tier's nodes

    def server(self, name: str) -> Server:
        return next(server for server in self.servers if server.name == name)


def in_new_pool(scenario: Scenario, server: Server) -> bool:
    """Whether a server is of the pool that traffic is moved to: the last of the first tier's places."""
    return scenario.pools.on and server.tier == 0 and server.place >= scenario.new_from


@dataclass
class _Drawing:
    scenario: Scenario
    servers: list[Server] = field(default_factory=list)
    acts: list[Act] = field(default_factory=list)
    shown: list[Shown] = field(default_factory=list)
    bursts: list[tuple[float, float, float]] = field(default_factory=list)
    renames: dict[str, int] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)
    numbers: dict[tuple[int, int], int] = field(default_factory=dict)
    links: list[LinkFault] = field(default_factory=list)

    def add_server(self, tier: int, place: int, name: str, start: bool) -> Server:
        figures = self.scenario.tiers[tier]
        low, high = figures.speed
        speed = seeded_random.uniform(self.scenario.seed, "speed", tier, place, low=low, high=high)
        cells = max(1, round(figures.servers / figures.cell))
        number = self.numbers.setdefault((tier, place), len(self.numbers))
        server = Server(name, tier, place % cells, speed, place, number, start)
        self.servers.append(server)
        if len(self.servers) > MAX_SERVERS:
            raise ValueError(f"timeline: over {MAX_SERVERS} servers, new ones counted")
        return server

    def act(self, t: float, do: str, whom: str, value: float = 0.0, entry: int = -1) -> None:
        self.acts.append(Act(t, do, whom, value, entry))
        if len(self.acts) > MAX_ACTS:
            raise ValueError(f"timeline: comes to over {MAX_ACTS} acts; are pauses too short?")


def server_name(seed: int, tier: str, place: int, life: int) -> str:
    """Opaque at the end, as names tell nothing, and readable at the front for reports."""
    return f"{tier}-{place}-{seeded_random.integer(seed, 'name', tier, place, life) & 0xFFFF:04x}"


def draw(scenario: Scenario) -> Plan:
    """The script of a scenario; `ValueError` if it comes to more than a run may hold."""
    drawing = _Drawing(scenario)
    for number, tier in enumerate(scenario.tiers):
        for place in range(tier.servers):
            drawing.add_server(number, place, server_name(scenario.seed, tier.name, place, 0), False)
    nodes = tuple(f"n{n}" for n in range(scenario.front.nodes))
    for number, entry in enumerate(scenario.timeline):
        if FAULT_TYPES[entry.do].on == "servers":
            _on_servers(drawing, number, entry)
        elif FAULT_TYPES[entry.do].on == "nodes":
            _on_nodes(drawing, number, entry, nodes)
        elif FAULT_TYPES[entry.do].on == "links":
            _on_links(drawing, number, entry, nodes)
        else:
            _on_all(drawing, entry)
    acts = tuple(sorted(drawing.acts, key=lambda act: act.t))
    shown = tuple(sorted(drawing.shown, key=lambda entry: entry.t))
    if scenario.fleet.on and scenario.fleet.loss:
        every = frozenset(nodes)
        drawing.links.append(LinkFault(-math.inf, math.inf, every, every, loss=scenario.fleet.loss))
    links = tuple(drawing.links)
    return Plan(scenario, tuple(drawing.servers), nodes, acts, shown, tuple(drawing.bursts), links)


def _struck(entry: TimelineEntry, count: int, default: int) -> int:
    """How many of so many an entry strikes: at least one."""
    if entry.count:
        return min(entry.count, count)
    return max(1, min(count, round(entry.share * count))) if entry.share > 0 else min(count, default)


def _on_servers(drawing: _Drawing, number: int, entry: TimelineEntry) -> None:
    scenario = drawing.scenario
    tier = drawing.scenario.tier_number(entry.tier)
    present = [s for s in drawing.servers if s.tier == tier and not s.start and s.name not in drawing.gone]
    if entry.new:
        present = [s for s in present if in_new_pool(scenario, s)]
    if entry.do == "add":
        return _add(drawing, entry, tier)
    everybody = len(present)
    default = everybody if entry.do in ("stall", "rolling-restart") else 1
    struck = seeded_random.sample(
        present, _struck(entry, everybody, default), scenario.seed, "struck", number, entry.do
    )
    whom = (
        f"{len(struck)} of {everybody} {entry.tier}" if len(struck) > 3 else ", ".join(s.name for s in struck)
    )
    end = entry.at_s + entry.for_s
    for place, server in enumerate(struck):
        _strike(drawing, number, entry, server, place)
    if entry.do in ("drain", "rolling-restart"):
        end = max(act.t for act in drawing.acts if act.whom in {s.name for s in struck})
    drawing.shown.append(Shown(entry.at_s, end, entry.do, whom))


def _strike(drawing: _Drawing, number: int, entry: TimelineEntry, server: Server, place: int) -> None:
    at = entry.at_s
    end = entry.at_s + entry.for_s
    name = server.name
    act = drawing.act

    def trouble(do: str, value: float) -> None:
        act(at, do, name, value, number)
        act(end, do, name, 0.0, number)

    match entry.do:
        case "slow":
            trouble("slow", entry.factor)
        case "errors" | "resets":
            trouble(entry.do, entry.rate)
        case "stall":
            trouble("freeze", 1.0)
        case "silent":
            trouble("silent", 1.0)
        case "pauses":
            rng = seeded_random.generator(drawing.scenario.seed, "pauses", number, name)
            t = at + rng.uniform(0.0, entry.every_s)
            while t < end:
                act(t, "freeze", name, 1.0, number)
                act(t + entry.length_s, "freeze", name, 0.0, number)
                t += entry.length_s + entry.every_s * rng.uniform(0.7, 1.3)
        case "crash":
            act(at, "crash", name)
            if entry.back_s:
                _come_back(drawing, entry, server, at + entry.back_s)
        case "drain":
            act(at, "leave", name)
            act(at + entry.after_s, "down", name)
            if entry.back_s:
                _come_back(drawing, entry, server, at + entry.after_s + entry.back_s)
            else:
                drawing.gone.add(name)
        case "rolling-restart":
            start = at + place * entry.gap_s
            act(start, "leave", name)
            act(start + entry.after_s, "down", name)
            _come_back(drawing, entry, server, start + entry.after_s + (entry.back_s or LEAVE_BACK_S))


def _come_back(drawing: _Drawing, entry: TimelineEntry, server: Server, t: float) -> None:
    """It starts again, cold, at its address: under its name, or under a new one."""
    name = server.name
    if entry.renamed:
        tier = drawing.scenario.tiers[server.tier]
        life = drawing.renames[name] = drawing.renames.get(name, 0) + 1
        name = server_name(drawing.scenario.seed, tier.name, server.place, life)
        drawing.add_server(server.tier, server.place, name, True)
        drawing.gone.add(server.name)
    drawing.act(t, "up", name)


def _add(drawing: _Drawing, entry: TimelineEntry, tier: int) -> None:
    places = 1 + max(s.place for s in drawing.servers if s.tier == tier)
    figures = drawing.scenario.tiers[tier]
    for n in range(entry.count):
        name = server_name(drawing.scenario.seed, figures.name, places + n, 0)
        drawing.add_server(tier, places + n, name, True)
        drawing.act(entry.at_s, "up", name)
    drawing.shown.append(Shown(entry.at_s, entry.at_s, entry.do, f"{entry.count} new {figures.name}"))


def _on_nodes(drawing: _Drawing, number: int, entry: TimelineEntry, nodes: tuple[str, ...]) -> None:
    count = _struck(entry, len(nodes), 1)
    struck = seeded_random.sample(nodes, count, drawing.scenario.seed, "nodes", number)
    if entry.do == "node-paused":
        for node in struck:
            drawing.act(entry.at_s, "pause", node, entry.for_s)
            drawing.act(entry.at_s + entry.for_s, "resume", node)
        drawing.shown.append(Shown(entry.at_s, entry.at_s + entry.for_s, entry.do, ", ".join(struck)))
        return
    do = "kill" if entry.do == "node-killed" else "term"
    for node in struck:
        drawing.act(entry.at_s, do, node)
        if entry.back_s:
            drawing.act(entry.at_s + entry.back_s, "start", node)
    end = entry.at_s + entry.back_s
    drawing.shown.append(Shown(entry.at_s, end, entry.do, ", ".join(struck)))


def zone_of(scenario: Scenario, number: int) -> str:
    """The zone that the first tier's n-th node stands in."""
    return chr(ord("a") + number % scenario.fleet.zones)


def _on_links(drawing: _Drawing, number: int, entry: TimelineEntry, nodes: tuple[str, ...]) -> None:
    scenario = drawing.scenario
    rest: list[str] = list(nodes)
    if entry.zone:
        struck = [node for n, node in enumerate(nodes) if zone_of(scenario, n) == entry.zone]
    else:
        count = 1 if entry.pair else _struck(entry, len(nodes), len(nodes))
        struck = seeded_random.sample(nodes, count, scenario.seed, "links", number)
    if len(struck) < len(nodes):
        rest = [node for node in nodes if node not in struck]
    if entry.pair:
        rest = seeded_random.sample(rest, 1, scenario.seed, "pair", number)
    end = entry.at_s + entry.for_s
    figures = {
        "link-cut": {"cut": True},
        "link-loss": {"loss": entry.rate},
        "link-twice": {"duplicate": entry.rate},
        "link-late": {"late": entry.rate, "late_s": entry.late_s},
        "link-slow": {"rate": entry.bytes},
    }[entry.do]
    drawing.links.append(
        LinkFault(
            entry.at_s,
            end,
            frozenset(struck),
            frozenset(rest),
            entry.one_way,
            flap_s=entry.every_s,
            **figures,  # type: ignore[arg-type]
        )
    )
    arrow = "->" if entry.one_way else "|"
    whom = f"{' '.join(struck)} {arrow} {' '.join(rest)}" if len(struck) < len(nodes) else "all links"
    drawing.shown.append(Shown(entry.at_s, end, entry.do, whom))


def _on_all(drawing: _Drawing, entry: TimelineEntry) -> None:
    end = entry.at_s + entry.for_s
    if entry.do == "burst":
        drawing.bursts.append((entry.at_s, end, entry.factor))
        drawing.shown.append(Shown(entry.at_s, end, entry.do, f"clients x {entry.factor:g}"))
    else:
        drawing.act(entry.at_s, "discovery-down", "discovery")
        drawing.act(end, "discovery-up", "discovery")
        drawing.shown.append(Shown(entry.at_s, end, entry.do, "discovery"))

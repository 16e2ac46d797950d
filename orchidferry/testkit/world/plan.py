"""Draws the plan of a run from a scenario: its servers, and the actions on them over time. Free of I/O.

The plan depends only on the scenario and its seed, so two runs with the same seed have the same plan.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from orchidferry.testkit import seeded_random
from orchidferry.testkit.scenario import FAULT_TYPES, MAX_SERVERS, Scenario, TimelineEntry
from orchidferry.testkit.world.links import LinkFault

RESTART_AFTER_S = 1.0  # default time from a server's stop to its start in a rolling restart
SERVER_FAULTS = ("slow", "errors", "freeze", "silent", "resets")
MAX_ACTIONS = 50_000  # limit on the actions of a timeline; entries with short pauses give many


@dataclass(frozen=True, slots=True)
class Server:
    """A stand-in server.

    A server with `starts_later` is started by an action, with slow start. Any other server serves from the
    start of the run, at full capacity.
    """

    name: str
    tier: int  # index of its tier
    cell: int  # index of its cell in the tier
    speed: float  # core-seconds of work that a core does per second
    position: int  # index in the tier; a renamed server keeps it
    number: int  # index over all tiers, which determines its address
    starts_later: bool = False


@dataclass(frozen=True, slots=True)
class Action:
    """One action on a server, a node or service discovery."""

    t: float  # seconds since the load began
    # one of `SERVER_FAULTS`; for servers also leave, down, crash, up; for nodes kill, term, start, pause,
    # resume; for discovery discovery-down, discovery-up
    do: str
    whom: str  # name of the server or node, or `discovery`
    value: float = 0.0  # strength of a fault (a factor, a fraction, or 1); 0 ends the fault
    entry: int = -1  # index of the fault's timeline entry, as faults of one kind may overlap


@dataclass(frozen=True, slots=True)
class PlannedIncident:
    """An entry of the timeline, as reports show it; times are in seconds since the load began."""

    t: float
    until: float
    do: str
    whom: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The complete plan of a run; its actions and incidents are in ascending order of time."""

    scenario: Scenario
    servers: tuple[Server, ...]
    nodes: tuple[str, ...]  # names of the front nodes, which clients use
    actions: tuple[Action, ...]
    incidents: tuple[PlannedIncident, ...]
    bursts: tuple[tuple[float, float, float], ...]  # start and end in seconds, and factor on the request rate
    links: tuple[LinkFault, ...] = ()  # faults of the links between front nodes

    def server(self, name: str) -> Server:
        """Return the server with a name.

        :raises StopIteration: if no server has this name
        """
        return next(server for server in self.servers if server.name == name)


def in_new_pool(scenario: Scenario, server: Server) -> bool:
    """Return whether a server is in the new pool, to which traffic is moved.

    The new pool consists of the last servers of the first tier.
    """
    return scenario.pools.on and server.tier == 0 and server.position >= scenario.new_from


@dataclass
class _PlanBuilder:
    scenario: Scenario
    servers: list[Server] = field(default_factory=list)
    actions: list[Action] = field(default_factory=list)
    incidents: list[PlannedIncident] = field(default_factory=list)
    bursts: list[tuple[float, float, float]] = field(default_factory=list)
    renames: dict[str, int] = field(default_factory=dict)  # number of renames, by the server's old name
    removed: set[str] = field(default_factory=set)  # names of servers that do not return
    numbers: dict[tuple[int, int], int] = field(default_factory=dict)  # `Server.number` by tier and position
    links: list[LinkFault] = field(default_factory=list)

    def add_server(self, tier: int, position: int, name: str, starts_later: bool) -> Server:
        tier_settings = self.scenario.tiers[tier]
        low, high = tier_settings.speed
        speed = seeded_random.uniform(self.scenario.seed, "speed", tier, position, low=low, high=high)
        cells = max(1, round(tier_settings.servers / tier_settings.cell))
        number = self.numbers.setdefault((tier, position), len(self.numbers))
        server = Server(name, tier, position % cells, speed, position, number, starts_later)
        self.servers.append(server)
        if len(self.servers) > MAX_SERVERS:
            raise ValueError(f"timeline: more than {MAX_SERVERS} servers, including those it adds")
        return server

    def add_action(self, t: float, do: str, whom: str, value: float = 0.0, entry: int = -1) -> None:
        self.actions.append(Action(t, do, whom, value, entry))
        if len(self.actions) > MAX_ACTIONS:
            raise ValueError(f"timeline: gives more than {MAX_ACTIONS} actions; are pauses too short?")


def server_name(seed: int, tier: str, position: int, incarnation: int) -> str:
    """Return a server's name, with an opaque suffix that differs between incarnations."""
    return (
        f"{tier}-{position}-{seeded_random.integer(seed, 'name', tier, position, incarnation) & 0xFFFF:04x}"
    )


def draw(scenario: Scenario) -> Plan:
    """Draw the plan of a scenario.

    :raises ValueError: if it has too many servers or actions
    """
    builder = _PlanBuilder(scenario)
    for number, tier in enumerate(scenario.tiers):
        for position in range(tier.servers):
            builder.add_server(number, position, server_name(scenario.seed, tier.name, position, 0), False)
    nodes = tuple(f"n{n}" for n in range(scenario.front.nodes))
    for number, entry in enumerate(scenario.timeline):
        if FAULT_TYPES[entry.do].on == "servers":
            _on_servers(builder, number, entry)
        elif FAULT_TYPES[entry.do].on == "nodes":
            _on_nodes(builder, number, entry, nodes)
        elif FAULT_TYPES[entry.do].on == "links":
            _on_links(builder, number, entry, nodes)
        else:
            _on_all(builder, entry)
    actions = tuple(sorted(builder.actions, key=lambda action: action.t))
    incidents = tuple(sorted(builder.incidents, key=lambda entry: entry.t))
    if scenario.fleet.on and scenario.fleet.loss:
        all_nodes = frozenset(nodes)
        builder.links.append(LinkFault(-math.inf, math.inf, all_nodes, all_nodes, loss=scenario.fleet.loss))
    links = tuple(builder.links)
    return Plan(scenario, tuple(builder.servers), nodes, actions, incidents, tuple(builder.bursts), links)


def _target_count(entry: TimelineEntry, count: int, default: int) -> int:
    """Return how many of `count` servers or nodes an entry affects: at least one."""
    if entry.count:
        return min(entry.count, count)
    return max(1, min(count, round(entry.share * count))) if entry.share > 0 else min(count, default)


def _on_servers(builder: _PlanBuilder, number: int, entry: TimelineEntry) -> None:
    scenario = builder.scenario
    tier = builder.scenario.tier_number(entry.tier)
    present = [
        s for s in builder.servers if s.tier == tier and not s.starts_later and s.name not in builder.removed
    ]
    if entry.new:
        present = [s for s in present if in_new_pool(scenario, s)]
    if entry.do == "add":
        return _add_new_servers(builder, entry, tier)
    total = len(present)
    default = total if entry.do in ("stall", "rolling-restart") else 1
    targets = seeded_random.sample(
        present, _target_count(entry, total, default), scenario.seed, "struck", number, entry.do
    )
    whom = (
        f"{len(targets)} of {total} {entry.tier}" if len(targets) > 3 else ", ".join(s.name for s in targets)
    )
    end = entry.at_s + entry.for_s
    for position, server in enumerate(targets):
        _add_server_fault(builder, number, entry, server, position)
    if entry.do in ("drain", "rolling-restart"):
        end = max(action.t for action in builder.actions if action.whom in {s.name for s in targets})
    builder.incidents.append(PlannedIncident(entry.at_s, end, entry.do, whom))
    return None


def _add_server_fault(
    builder: _PlanBuilder, number: int, entry: TimelineEntry, server: Server, position: int
) -> None:
    at = entry.at_s
    end = entry.at_s + entry.for_s
    name = server.name
    add_action = builder.add_action

    def add_fault(do: str, value: float) -> None:
        add_action(at, do, name, value, number)
        add_action(end, do, name, 0.0, number)

    match entry.do:
        case "slow":
            add_fault("slow", entry.factor)
        case "errors" | "resets":
            add_fault(entry.do, entry.rate)
        case "stall":
            add_fault("freeze", 1.0)
        case "silent":
            add_fault("silent", 1.0)
        case "pauses":
            _add_pauses(builder, number, entry, name)
        case "crash":
            add_action(at, "crash", name)
            if entry.back_s:
                _add_restart(builder, entry, server, at + entry.back_s)
        case "drain":
            add_action(at, "leave", name)
            add_action(at + entry.after_s, "down", name)
            if entry.back_s:
                _add_restart(builder, entry, server, at + entry.after_s + entry.back_s)
            else:
                builder.removed.add(name)
        case "rolling-restart":
            start = at + position * entry.gap_s
            add_action(start, "leave", name)
            add_action(start + entry.after_s, "down", name)
            _add_restart(builder, entry, server, start + entry.after_s + (entry.back_s or RESTART_AFTER_S))


def _add_pauses(builder: _PlanBuilder, number: int, entry: TimelineEntry, name: str) -> None:
    """Freeze a server repeatedly, at random intervals."""
    rng = seeded_random.generator(builder.scenario.seed, "pauses", number, name)
    end = entry.at_s + entry.for_s
    t = entry.at_s + rng.uniform(0.0, entry.every_s)
    while t < end:
        builder.add_action(t, "freeze", name, 1.0, number)
        builder.add_action(t + entry.length_s, "freeze", name, 0.0, number)
        t += entry.length_s + entry.every_s * rng.uniform(0.7, 1.3)


def _add_restart(builder: _PlanBuilder, entry: TimelineEntry, server: Server, t: float) -> None:
    """Start a server again at its address, with slow start, under its old name or a new one."""
    name = server.name
    if entry.renamed:
        tier = builder.scenario.tiers[server.tier]
        incarnation = builder.renames.get(name, 0) + 1
        builder.renames[name] = incarnation
        name = server_name(builder.scenario.seed, tier.name, server.position, incarnation)
        builder.add_server(server.tier, server.position, name, True)
        builder.removed.add(server.name)
    builder.add_action(t, "up", name)


def _add_new_servers(builder: _PlanBuilder, entry: TimelineEntry, tier: int) -> None:
    next_position = 1 + max(s.position for s in builder.servers if s.tier == tier)
    tier_name = builder.scenario.tiers[tier].name
    for n in range(entry.count):
        name = server_name(builder.scenario.seed, tier_name, next_position + n, 0)
        builder.add_server(tier, next_position + n, name, True)
        builder.add_action(entry.at_s, "up", name)
    builder.incidents.append(
        PlannedIncident(entry.at_s, entry.at_s, entry.do, f"{entry.count} new {tier_name}")
    )


def _on_nodes(builder: _PlanBuilder, number: int, entry: TimelineEntry, nodes: tuple[str, ...]) -> None:
    count = _target_count(entry, len(nodes), 1)
    targets = seeded_random.sample(nodes, count, builder.scenario.seed, "nodes", number)
    if entry.do == "node-paused":
        for node in targets:
            builder.add_action(entry.at_s, "pause", node, entry.for_s)
            builder.add_action(entry.at_s + entry.for_s, "resume", node)
        builder.incidents.append(
            PlannedIncident(entry.at_s, entry.at_s + entry.for_s, entry.do, ", ".join(targets))
        )
        return
    do = "kill" if entry.do == "node-killed" else "term"
    for node in targets:
        builder.add_action(entry.at_s, do, node)
        if entry.back_s:
            builder.add_action(entry.at_s + entry.back_s, "start", node)
    end = entry.at_s + entry.back_s
    builder.incidents.append(PlannedIncident(entry.at_s, end, entry.do, ", ".join(targets)))


def zone_of(scenario: Scenario, number: int) -> str:
    """Return the zone of a front node.

    :param number: the node's index
    """
    return chr(ord("a") + number % scenario.fleet.zones)


def _on_links(builder: _PlanBuilder, number: int, entry: TimelineEntry, nodes: tuple[str, ...]) -> None:
    scenario = builder.scenario
    rest: list[str] = list(nodes)
    if entry.zone:
        targets = [node for n, node in enumerate(nodes) if zone_of(scenario, n) == entry.zone]
    else:
        count = 1 if entry.pair else _target_count(entry, len(nodes), len(nodes))
        targets = seeded_random.sample(nodes, count, scenario.seed, "links", number)
    if len(targets) < len(nodes):
        rest = [node for node in nodes if node not in targets]
    if entry.pair:
        rest = seeded_random.sample(rest, 1, scenario.seed, "pair", number)
    end = entry.at_s + entry.for_s
    effect = {
        "link-cut": {"cut": True},
        "link-loss": {"loss": entry.rate},
        "link-twice": {"duplicate": entry.rate},
        "link-late": {"late": entry.rate, "late_s": entry.late_s},
        "link-slow": {"rate": entry.bytes},
    }[entry.do]
    builder.links.append(
        LinkFault(
            entry.at_s,
            end,
            frozenset(targets),
            frozenset(rest),
            entry.one_way,
            flap_s=entry.every_s,
            **effect,  # type: ignore[arg-type]
        )
    )
    arrow = "->" if entry.one_way else "|"
    whom = f"{' '.join(targets)} {arrow} {' '.join(rest)}" if len(targets) < len(nodes) else "all links"
    builder.incidents.append(PlannedIncident(entry.at_s, end, entry.do, whom))


def _on_all(builder: _PlanBuilder, entry: TimelineEntry) -> None:
    end = entry.at_s + entry.for_s
    if entry.do == "burst":
        builder.bursts.append((entry.at_s, end, entry.factor))
        builder.incidents.append(PlannedIncident(entry.at_s, end, entry.do, f"clients x {entry.factor:g}"))
    else:
        builder.add_action(entry.at_s, "discovery-down", "discovery")
        builder.add_action(end, "discovery-up", "discovery")
        builder.incidents.append(PlannedIncident(entry.at_s, end, entry.do, "discovery"))

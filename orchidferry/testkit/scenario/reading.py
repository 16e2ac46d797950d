"""Reads scenario files: converts TOML into a `Scenario`, table by table, and validates it."""

from __future__ import annotations

import tomllib
from dataclasses import MISSING, fields, replace
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from orchidferry.testkit.scenario.checks import check_scenario
from orchidferry.testkit.scenario.errors import ScenarioError, ScenarioValueError
from orchidferry.testkit.scenario.model import Scenario
from orchidferry.testkit.scenario.tables import (
    ChainSettings,
    Class,
    Clients,
    ControlSettings,
    DiscoverySettings,
    FleetSettings,
    Front,
    Limits,
    Load,
    Network,
    NodeSettings,
    PoolSettings,
    Rules,
    Tier,
    Traffic,
)
from orchidferry.testkit.scenario.timeline import FAULT_TYPES, TimelineEntry
from orchidferry.testkit.scenario.values import shown

T = TypeVar("T")
Table = dict[str, Any]

MAX_FILE = 256 * 1024
"""Size limit of a scenario file in bytes; scenarios take about a page, so a larger file is something else."""

MAX_STEPS = 1_000
"""How many entries a timeline may have."""

SHIPPED = Path(__file__).parents[1] / "scenarios"
"""Folder of the scenarios that come with the kit."""

TABLES: dict[str, type[Any]] = {
    "load": Load,
    "clients": Clients,
    "front": Front,
    "network": Network,
    "discovery": DiscoverySettings,
    "control": ControlSettings,
    "rules": Rules,
    "node": NodeSettings,
    "limits": Limits,
    "chain": ChainSettings,
    "pools": PoolSettings,
    "fleet": FleetSettings,
}
"""Classes of tables by their name, which is the same in files and as attribute of `Scenario`."""


class TableList(NamedTuple):
    """The class of the tables of a list, and the attribute of `Scenario` that holds them."""

    attribute: str
    kind: type[Any]


LISTS = {
    "class": TableList("classes", Class),
    "tier": TableList("tiers", Tier),
    "traffic": TableList("traffic", Traffic),
}
TIMELINE = "timeline"
"""Another list of tables, which is read last, as the tiers must be known."""


def _read_table(kind: type[T], table: object, where: str) -> tuple[T, frozenset[str]]:
    """Read a table into a dataclass.

    :param where: what errors call the table
    :returns: the dataclass, and the keys that the table had
    """
    if not isinstance(table, dict):
        raise ScenarioValueError(f"{where}: {shown(table)} is not a table")
    known = {f.metadata["file_key"] or f.name: f for f in fields(kind) if "reader" in f.metadata}  # type: ignore[arg-type]
    values: Table = {}
    for given, value in table.items():
        if given not in known:
            raise ScenarioValueError(f"{where}.{given}: no such field; known: {', '.join(sorted(known))}")
        try:
            values[known[given].name] = known[given].metadata["reader"](value)
        except ScenarioValueError as problem:
            raise ScenarioValueError(f"{where}.{given}: {problem}") from None
    for wanted, f in known.items():
        if f.default is MISSING and f.name not in values:
            raise ScenarioValueError(f"{where}.{wanted}: is missing")
    return kind(**values), frozenset(table)


def _read_step(table: object, where: str, tiers: tuple[Tier, ...]) -> TimelineEntry:
    step, given = _read_table(TimelineEntry, table, where)
    fault = FAULT_TYPES.get(step.do)
    if fault is None:
        raise ScenarioValueError(
            f"{where}.do: no such fault {shown(step.do)}; known: {', '.join(sorted(FAULT_TYPES))}"
        )
    for missing in sorted(fault.needs - given):
        raise ScenarioValueError(f"{where}.{missing}: is missing; {step.do!r} requires it")
    for other in sorted(given - fault.needs - fault.may - {"at", "do"}):
        raise ScenarioValueError(f"{where}.{other}: {step.do!r} has no such field")
    if {"share", "count"} <= given:
        raise ScenarioValueError(f"{where}.count: share and count exclude each other")
    if step.share == 0.0:
        raise ScenarioValueError(f"{where}.share: must be above 0")
    if step.tier and step.tier not in {tier.name for tier in tiers}:
        raise ScenarioValueError(f"{where}.tier: no tier {shown(step.tier)}")
    if fault.on == "servers" and not step.tier:
        step = replace(step, tier=tiers[0].name)
    return step


def read_scenario(obj: Table, where: str) -> Scenario:
    """Read a scenario from the tables of a TOML file.

    :param where: what errors call the file
    :raises ScenarioError: if the scenario is invalid
    """
    try:
        scenario = replace(_read_top_level(obj), **_read_parts(obj))
        scenario = replace(scenario, timeline=_read_timeline(obj, scenario.tiers))
        check_scenario(scenario)
    except ScenarioValueError as problem:
        raise ScenarioError(f"{where}: {problem}") from None
    return scenario


def _read_top_level(obj: Table) -> Scenario:
    elsewhere = {*TABLES, *LISTS, TIMELINE}
    rest = {key: value for key, value in obj.items() if key not in elsewhere}
    return _read_table(Scenario, rest, "top level")[0]


def _read_parts(obj: Table) -> Table:
    """Read the tables and lists of tables, except the timeline; returns them by attribute of `Scenario`."""
    parts: Table = {}
    for table, kind in TABLES.items():
        if table in obj:
            parts[table] = _read_table(kind, obj[table], f"[{table}]")[0]
    for table, form in LISTS.items():
        if table in obj:
            items = enumerate(_list_of_tables(obj[table], table))
            parts[form.attribute] = tuple(
                _read_table(form.kind, item, f"{table}[{n}]")[0] for n, item in items
            )
    return parts


def _read_timeline(obj: Table, tiers: tuple[Tier, ...]) -> tuple[TimelineEntry, ...]:
    steps = _list_of_tables(obj.get(TIMELINE, []), TIMELINE)
    if len(steps) > MAX_STEPS:
        raise ScenarioValueError(f"timeline: {len(steps)} entries; {MAX_STEPS} at most")
    return tuple(_read_step(item, f"timeline[{n}]", tiers) for n, item in enumerate(steps))


def read_traffic(table: Table, where: str) -> Traffic:
    """Read one entry of `[[traffic]]`, from a file or the command line.

    :param where: what errors call the entry
    :raises ScenarioError: naming the invalid field
    """
    try:
        return _read_table(Traffic, table, where)[0]
    except ScenarioValueError as problem:
        raise ScenarioError(str(problem).replace("--.", "--")) from None


def _list_of_tables(value: object, where: str) -> list[object]:
    if not isinstance(value, list):
        raise ScenarioValueError(f"{where}: {shown(value)} is not a list of tables; write [[{where}]]")
    return value


def shipped() -> dict[str, Path]:
    """Files of the scenarios that come with the kit, by name."""
    return {path.stem: path for path in sorted(SHIPPED.glob("*.toml"))}


def load_scenario(wanted: str) -> Scenario:
    """Load a scenario.

    :param wanted: the name of one that comes with the kit, or the path of a file that ends in `.toml`
    :raises ScenarioError: if there is no such scenario, or it is invalid
    """
    path = shipped().get(wanted)
    if path is None:
        if not wanted.endswith(".toml"):
            raise ScenarioError(
                f"{shown(wanted)[1:-1]}: no such scenario; --list prints all names, file names end in .toml"
            )
        path = Path(wanted)
    scenario = read_scenario(_read_toml(path), str(path))
    traffic = tuple(replace(one, recording=str(path.parent / one.recording)) for one in scenario.traffic)
    return replace(scenario, traffic=traffic)


def _read_toml(path: Path) -> Table:
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE + 1)
    except OSError as problem:
        raise ScenarioError(f"{path}: {problem.strerror}") from None
    if len(data) > MAX_FILE:
        raise ScenarioError(f"{path}: over {MAX_FILE // 1024} KiB, too large for a scenario file")
    try:
        return tomllib.loads(data.decode())
    except UnicodeDecodeError as problem:
        raise ScenarioError(f"{path}: not UTF-8 at byte {problem.start}") from None
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as problem:
        raise ScenarioError(f"{path}: not TOML: {str(problem)[:120].splitlines()[0]}") from None

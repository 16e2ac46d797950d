"""Scenario files: TOML read into a `Scenario`, table by table, and checked."""

from __future__ import annotations

import tomllib
from dataclasses import MISSING, fields, replace
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from orchidferry.testkit.scenario.checks import ScenarioError, check_scenario
from orchidferry.testkit.scenario.model import Scenario
from orchidferry.testkit.scenario.tables import (
    ChainSide,
    Class,
    Clients,
    ControlSide,
    DiscoverySide,
    FleetSide,
    Front,
    Limits,
    Load,
    Network,
    NodeSide,
    PoolSide,
    Rules,
    Tier,
    Traffic,
)
from orchidferry.testkit.scenario.timeline import FAULTS, Step
from orchidferry.testkit.scenario.values import ScenarioValueError, shown

T = TypeVar("T")
Table = dict[str, Any]

MAX_FILE = 256 * 1024  # bytes: a scenario is a page; anything larger is another file
MAX_STEPS = 1_000
SHIPPED = Path(__file__).parents[1] / "scenarios"

TABLES: dict[str, type[Any]] = {  # by name in the file, which is the attribute's
    "load": Load,
    "clients": Clients,
    "front": Front,
    "network": Network,
    "discovery": DiscoverySide,
    "control": ControlSide,
    "rules": Rules,
    "node": NodeSide,
    "limits": Limits,
    "chain": ChainSide,
    "pools": PoolSide,
    "fleet": FleetSide,
}


class TableList(NamedTuple):
    """A list of tables of one kind, and the attribute that holds it."""

    attribute: str
    kind: type[Any]


LISTS = {
    "class": TableList("classes", Class),
    "tier": TableList("tiers", Tier),
    "traffic": TableList("traffic", Traffic),
}
TIMELINE = "timeline"  # a list too, read once the tiers are known


def _read_table(kind: type[T], table: object, where: str) -> tuple[T, frozenset[str]]:
    """A table as a dataclass, with the names of the keys that it had."""
    if not isinstance(table, dict):
        raise ScenarioValueError(f"{where}: {shown(table)} is no table")
    known = {f.metadata["file_key"] or f.name: f for f in fields(kind) if "reader" in f.metadata}  # type: ignore[arg-type]
    values: Table = {}
    for given, value in table.items():
        if given not in known:
            raise ScenarioValueError(f"{where}.{given}: no such field; there are {', '.join(sorted(known))}")
        try:
            values[known[given].name] = known[given].metadata["reader"](value)
        except ScenarioValueError as problem:
            raise ScenarioValueError(f"{where}.{given}: {problem}") from None
    for wanted, f in known.items():
        if f.default is MISSING and f.name not in values:
            raise ScenarioValueError(f"{where}.{wanted}: is missing")
    return kind(**values), frozenset(table)


def _read_step(table: object, where: str, tiers: tuple[Tier, ...]) -> Step:
    step, given = _read_table(Step, table, where)
    fault = FAULTS.get(step.do)
    if fault is None:
        raise ScenarioValueError(
            f"{where}.do: no such fault {shown(step.do)}; there are {', '.join(sorted(FAULTS))}"
        )
    for missing in sorted(fault.needs - given):
        raise ScenarioValueError(f"{where}.{missing}: is missing; {step.do!r} needs it")
    for other in sorted(given - fault.needs - fault.may - {"at", "do"}):
        raise ScenarioValueError(f"{where}.{other}: {step.do!r} has no such field")
    if {"share", "count"} <= given:
        raise ScenarioValueError(f"{where}.count: share and count together")
    if step.share == 0.0:
        raise ScenarioValueError(f"{where}.share: must be above 0")
    if step.tier and step.tier not in {tier.name for tier in tiers}:
        raise ScenarioValueError(f"{where}.tier: no tier {shown(step.tier)}")
    if fault.on == "servers" and not step.tier:
        step = replace(step, tier=tiers[0].name)
    return step


def read_scenario(obj: Table, where: str) -> Scenario:
    """A scenario from TOML's tables; `where` is what the file is called in errors."""
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
    """The tables and lists of tables that the file has, by attribute."""
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


def _read_timeline(obj: Table, tiers: tuple[Tier, ...]) -> tuple[Step, ...]:
    steps = _list_of_tables(obj.get(TIMELINE, []), TIMELINE)
    if len(steps) > MAX_STEPS:
        raise ScenarioValueError(f"timeline: {len(steps)} entries; {MAX_STEPS} at most")
    return tuple(_read_step(item, f"timeline[{n}]", tiers) for n, item in enumerate(steps))


def read_traffic(table: Table, where: str) -> Traffic:
    """One entry of `[[traffic]]`, from wherever; `ScenarioError` names the field."""
    try:
        return _read_table(Traffic, table, where)[0]
    except ScenarioValueError as problem:
        raise ScenarioError(str(problem).replace("--.", "--")) from None


def _list_of_tables(value: object, where: str) -> list[object]:
    if not isinstance(value, list):
        raise ScenarioValueError(f"{where}: {shown(value)} is no list of tables; write [[{where}]]")
    return value


def shipped() -> dict[str, Path]:
    """The scenarios that come with the kit, by name."""
    return {path.stem: path for path in sorted(SHIPPED.glob("*.toml"))}


def load_scenario(wanted: str) -> Scenario:
    """The shipped scenario of that name, or the one in the file; `ScenarioError` if it can't be played."""
    path = shipped().get(wanted)
    if path is None:
        if not wanted.endswith(".toml"):
            raise ScenarioError(
                f"{shown(wanted)[1:-1]}: no such scenario; --list tells which there are, a file ends in .toml"
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
        raise ScenarioError(f"{path}: over {MAX_FILE // 1024} KiB, which is no scenario")
    try:
        return tomllib.loads(data.decode())
    except UnicodeDecodeError as problem:
        raise ScenarioError(f"{path}: not UTF-8 at byte {problem.start}") from None
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as problem:
        raise ScenarioError(f"{path}: not TOML: {str(problem)[:120].splitlines()[0]}") from None

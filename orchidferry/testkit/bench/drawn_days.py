"""Generates random fault-injection days for the operators' test bench from a seed.

`python -m orchidferry.testkit.bench.drawn_days SITE DIR`.

Each file contains one day in the format of a `[[day]]` in the site file SITE. A day has a theme, one for each
way in which control planes have failed elsewhere, and further faults beside those of the theme, so that
several faults overlap and each may occur twice. The kinds of faults and their
fields are those that the bench defines for a site.
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Callable, Collection, Iterator
from pathlib import Path
from typing import Any

import defopt  # type: ignore[import-untyped]
import tomli_w

Entry = dict[str, Any]  # one fault or planned operation of a day, with the fields of the bench

PLANNED_KINDS = frozenset(
    {
        "bad_config",
        "big_config",
        "config_change",
        "config_race",
        "config_storm",
        "hup",
        "release",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
    }
)
CONTRACTS = {"idle_race": "pool", "srv_flap": "health"}  # kinds that occur only at sites with that contract
FIRST_S = 1.5  # earliest time of a fault after the start of traffic
TARGETS = ("leader", "reader", "turn", "seed", "")  # the controller that a fault hits
CALLS = ("meet", "race", "hard", "drain", "")  # calls that are sent to that machine around the fault
CUT_SCOPES = ("one_way", "seeds", "both", "all", "near", "lure", "oldest", "reset", "refuse", "")
CONFIGURATION_CHANGES = ("route", "weights", "timeout", "idle")
GARBLED_RESPONSES = ("", "extra", "extra late", "unframed", "early")
INVALID_CONFIGS = ("cut_short", "unknown_service", "same_place", "old_version", "same_version", "stale_match")


def words(rng: random.Random, *choices: tuple[str, ...]) -> str:
    """Make a `how` field with one word of each group."""
    return " ".join(filter(None, (rng.choice(group) for group in choices)))


def between(rng: random.Random, low: float, high: float) -> float:
    """Draw a number between two bounds, rounded to two decimals for readability."""
    return round(rng.uniform(low, high), 2)


def _core_kill(rng: random.Random) -> Entry:
    how = words(rng, ("power", ""), TARGETS, CALLS)
    return {"on": "core", "count": rng.randint(1, 2), "for_s": between(rng, 0.5, 5), "how": how}


def _core_cut(rng: random.Random) -> Entry:
    how = words(rng, TARGETS, CALLS, CUT_SCOPES)
    return {"count": rng.randint(1, 2), "for_s": between(rng, 2, 8), "how": how}


def _long_cut(rng: random.Random) -> Entry:
    return _core_cut(rng) | {"count": 1, "for_s": 20.0}


def _acknowledged_loss(rng: random.Random) -> Entry:
    how = rng.choice(("", "kill", "timed", "taken", "taken gone"))
    return {"count": rng.randint(1, 2), "for_s": between(rng, 0.5, 4), "how": how}


def _wipe(rng: random.Random) -> Entry:
    how = rng.choice(("", "timed", "taken", "oldest"))
    return {"count": rng.randint(1, 2), "for_s": between(rng, 0.5, 4), "how": how}


def _replacement(rng: random.Random) -> Entry:
    return {
        "x": between(rng, 0.5, 4),
        "how": rng.choice(("planned", "leader", "oldest", "planned leader", "")),
    }


def _rolling_restart(rng: random.Random) -> Entry:
    if rng.random() < 0.4:
        how = words(rng, ("busy", "remove", ""), CALLS)
        return {"on": "core", "share": 1.0, "x": 1.0, "gap_s": between(rng, 1.5, 4), "how": how}
    how = words(rng, ("busy", ""), CALLS)
    gap_s = between(rng, 0.4, 1.5)
    at_once = float(rng.randint(1, 4))
    return {"share": between(rng, 0.3, 1), "x": at_once, "gap_s": gap_s, "how": how}


def _storm(rng: random.Random) -> Entry:
    return {"for_s": between(rng, 3, 20), "gap_s": rng.choice((0.1, 0.2, 0.33, 0.5))}


KINDS: dict[str, Callable[[random.Random], Entry]] = {
    "ack_lost": lambda rng: {"x": between(rng, 0.4, 0.9), "for_s": between(rng, 4, 20)},
    "after_ack_kill": _acknowledged_loss,
    "after_ack_wipe": _wipe,
    "answer_lost": lambda rng: {
        "share": 0.5,
        "x": between(rng, 0.01, 0.05),
        "for_s": 5.0,
        "how": rng.choice(("", "reset")),
    },
    "bad_config": lambda rng: {"count": rng.randint(1, 5), "gap_s": 0.5, "how": rng.choice(INVALID_CONFIGS)},
    "big_config": lambda rng: {"count": rng.choice((100, 350))},
    "burst": lambda rng: {"x": between(rng, 1.3, 2), "for_s": 3.0},
    "clock_step": lambda rng: {
        "share": 0.4,
        "x": between(rng, 1000, 6000),
        "for_s": 5.0,
        "how": rng.choice(("", "back", "ahead")),
    },
    "config_change": lambda rng: {"how": rng.choice(CONFIGURATION_CHANGES)},
    "config_race": lambda rng: {"count": rng.randint(2, 8), "gap_s": between(rng, 0.2, 1.2)},
    "config_storm": _storm,
    "core_cut": _core_cut,
    "disk_full": lambda rng: {"count": rng.randint(1, 2), "for_s": between(rng, 2, 8)},
    "disk_slow": lambda rng: {"count": rng.randint(1, 2), "x": 30.0, "for_s": between(rng, 2, 8)},
    "disk_stall": lambda rng: {"count": rng.randint(1, 2), "for_s": between(rng, 1, 6)},
    "garble": lambda rng: {
        "share": 0.5,
        "x": 0.03,
        "for_s": 5.0,
        "how": rng.choice(GARBLED_RESPONSES),
    },
    "give_up": lambda rng: {"share": 0.2, "for_s": 5.0},
    "herd_kill": lambda rng: rng.choice(
        (
            {"share": between(rng, 0.3, 0.8), "for_s": 2.0, "how": rng.choice(("", "power"))},
            {"on": "core", "share": 1.0, "for_s": 1.0, "how": "taken"},
            {"on": "core", "share": 1.0, "for_s": 1.0},
        )
    ),
    "hup": lambda rng: {"share": 0.4, "gap_s": 1.0},
    "idle_race": lambda rng: {"share": 0.5, "x": 300.0, "for_s": 6.0},
    "node_cut": lambda rng: {
        "share": 0.15,
        "for_s": between(rng, 2, 8),
        "how": rng.choice(("", "all", "servers", "reset")),
    },
    "node_freeze": lambda rng: rng.choice(
        (
            {"share": 0.15, "for_s": between(rng, 0.5, 6)},
            {"on": "core", "count": 1, "for_s": between(rng, 0.5, 6), "how": words(rng, TARGETS, CALLS)},
        )
    ),
    "node_kill": lambda rng: rng.choice((_core_kill(rng), {"share": 0.2, "for_s": 3.0})),
    "node_slow": lambda rng: rng.choice(
        (
            {"share": 0.15, "x": 5.0, "for_s": 5.0},
            {"on": "core", "count": 1, "x": 5.0, "for_s": 5.0, "how": words(rng, TARGETS)},
        )
    ),
    "release": lambda rng: {"share": 0.5, "x": float(rng.randint(1, 4)), "gap_s": 1.0},
    "replace_core": _replacement,
    "replace_with_reuse": lambda rng: {"share": 0.15, "how": rng.choice(("drain", "dark", ""))},
    "reset_conns": lambda rng: {"share": 0.3, "x": 0.5},
    "roll_term": _rolling_restart,
    "scale_in": lambda rng: {"share": 0.12, "how": rng.choice(("", "spot"))},
    "scale_out": lambda rng: {"share": 0.2, "gap_s": 1.0},
    "seed_turnover": lambda rng: {},
    "srv_crash": lambda rng: {"share": 0.12, "for_s": 4.0, "how": rng.choice(("dark", "gone", ""))},
    "srv_flap": lambda rng: {"share": 0.1, "gap_s": 1.4, "for_s": 6.0},
}

# The faults that every day of a theme has; `core_cut 20` is a cut of 20 seconds in the day's first quarter.
THEMES: dict[str, tuple[str, ...]] = {
    "isolated": ("core_cut 20", "config_storm", "config_race", "roll_term", "ack_lost"),
    "one-number": ("config_race", "config_race", "ack_lost", "after_ack_kill", "node_freeze"),
    "second-loss": ("replace_core", "after_ack_wipe", "replace_core", "roll_term"),
    "hundreds": ("config_storm", "big_config", "core_cut 20", "herd_kill", "disk_slow"),
    "calls": ("garble", "answer_lost", "reset_conns", "idle_race", "replace_with_reuse", "release"),
    "any": (),
}
# The faults that may end a day.
CLOSINGS = (
    {"kind": "power_off_all"},
    {"kind": "kill_all"},
    {"kind": "wipe_after_ack"},
    {"kind": "wipe_after_ack", "how": "timed"},
    {"kind": "wipe_after_ack", "how": "taken"},
    {"kind": "wipe_after_ack", "how": "oldest"},
    {"kind": "power_off_all", "how": "timed"},
)


def draw_entries(
    theme: str, length_s: float, contracts: Collection[str], rng: random.Random
) -> Iterator[Entry]:
    """Draw the entries of a day of one theme, each with its time."""
    others = rng.choices(sorted(KINDS), k=rng.randint(2, 4 if THEMES[theme] else 8))
    kinds = [kind for kind in (*THEMES[theme], *others) if CONTRACTS.get(kind, "base") in contracts]
    if rng.random() < 0.5:
        kinds.append(rng.choice(kinds))  # the same kind of fault twice
    for kind in kinds:
        if kind == "core_cut 20":
            yield {"at": between(rng, FIRST_S, length_s / 4), "kind": "core_cut", **_long_cut(rng)}
        else:
            yield {"at": between(rng, FIRST_S, length_s * 0.8), "kind": kind, **KINDS[kind](rng)}


def draw(site: dict[str, Any], theme: str, seed: int) -> dict[str, Any]:
    """Draw one day of a site, with the traffic of one of the site's own days."""
    rng = random.Random(f"{site['name']} {theme} {seed}")
    base = rng.choice([day for day in site["day"] if day["slot"] != "scale"])
    unsorted = draw_entries(theme, site["length_s"], site["contracts"], rng)
    entries = sorted(unsorted, key=lambda entry: float(entry["at"]))
    day = {key: value for key, value in base.items() if key not in ("plan", "faults", "closing")}
    day |= {
        "name": f"{theme}-{seed}",
        "slot": "trouble",
        "seed": rng.randrange(2**31),
        "zero": 0.2,
        "one": 0.9,
    }
    day |= {"goal": {"floor": 0.3}, "floor_classes": [], "floor_zones": []}
    day["plan"] = [entry for entry in entries if entry["kind"] in PLANNED_KINDS]
    day["faults"] = [entry for entry in entries if entry["kind"] not in PLANNED_KINDS]
    day["closing"] = rng.choice(CLOSINGS) | {"down_s": between(rng, 0.4, 2)}
    return day


def main(site: Path, folder: Path, *, first: int = 1, count: int = 1) -> None:
    """Write days of each theme.

    :param site: the operators' site file
    :param folder: the folder for the files, one for each day
    :param first: the first seed
    :param count: number of seeds for each theme
    """
    site_settings = tomllib.loads(site.read_text())
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(first, first + count):
        for theme in THEMES:
            day = draw(site_settings, theme, seed)
            file = folder / f"{site_settings['name']}-{day['name']}.toml"
            file.write_text(tomli_w.dumps({"day": [day]}))


if __name__ == "__main__":
    defopt.run(main)

"""`orchidferry bench worth`: a last tier that is too small, and what is made of it.

Beside the service by class stands the best that could be made of that load: a fractional knapsack (Dantzig,
1957) over what a class is worth for the work that it is to the last tier.
"""

from __future__ import annotations

import argparse
from dataclasses import replace
from typing import Any

from orchidferry.testkit.bench.kit import play_uninterrupted
from orchidferry.testkit.judge.verdict_json import as_json
from orchidferry.testkit.scenario import ChainSettings, Scenario, load_scenario, override

VARIANTS = {
    "off, worth known below": ChainSettings(on=False),
    "off, worth not known": ChainSettings(on=False, knows=False),
    "on, nothing shed below": ChainSettings(on=True, knows=False, shed=False),
    "on, shed, not carried": ChainSettings(on=True, knows=False, passes=False),
    "on, shed, worth carried": ChainSettings(on=True, knows=False),
}


def best(scenario: Scenario, tier: int) -> tuple[float, dict[str, float]]:
    """The most worth that a tier's capacity can bear, as a share of all, and by class what is served."""
    figures = scenario.tiers[tier]
    visits = 1.0
    for above in scenario.tiers[:tier]:
        visits *= above.calls
    room = figures.servers * figures.cores * sum(figures.speed) / 2.0
    rate = scenario.load.rate
    worth = 0.0
    earned = 0.0
    shares = {}
    by_value = sorted(scenario.classes, key=lambda cls: cls.worth / cls.work_s, reverse=True)
    for cls in by_value:
        asks = rate * cls.share * cls.work_s * figures.work * visits  # core-seconds a second
        shares[cls.name] = min(1.0, room / asks)
        room = max(0.0, room - asks)
        worth += cls.share * cls.worth
        earned += cls.share * cls.worth * shares[cls.name]
    return earned / worth, shares


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
    if not 1 <= args.runs <= 20:
        raise ValueError("--runs must be within 1 and 20")
    base = load_scenario("short-last-tier")
    most, shares = best(base, len(base.tiers) - 1)
    told = ", ".join(f"{name} {share:.2f}" for name, share in shares.items())
    print(f"the most that its capacity can bear: {most:.3f} ({told})")
    rows: list[dict[str, Any]] = [{"what": "best", "service": most, "classes": shares}]
    for seed in range(1, args.runs + 1):
        for name, side in VARIANTS.items():
            scenario = replace(override(base, seed), chain=side)
            _, verdict = play_uninterrupted(scenario)
            found = as_json(verdict)
            classes = {cls: row["service"] for cls, row in found["classes"].items()}
            rows.append(
                {
                    "what": name,
                    "seed": seed,
                    "service": found["service"],
                    "classes": classes,
                    "attempts": found["attempts"],
                    "broken": verdict.broken_rules,
                    "void": verdict.lateness.void,
                }
            )
            told = ", ".join(f"{cls} {value:.2f}" for cls, value in classes.items())
            bad = "".join(f"; {what}" for what in [*verdict.broken_rules, *verdict.lateness.void])
            print(
                f"{name:24} seed {seed}: service {found['service']:.3f} ({told}), "
                f"{found['attempts']['per_client_request']:.2f} attempts for each{bad}",
                flush=True,
            )
    return rows

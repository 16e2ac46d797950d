"""`orchidferry bench worth`: the worth that a chain of tiers serves while its last tier is overloaded.

The service by class is compared with the optimum for that load: a fractional knapsack (Dantzig, 1957) over
the worth of a class per unit of work that its requests cause in the last tier.
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


def best_service(scenario: Scenario, tier: int) -> tuple[float, dict[str, float]]:
    """Compute the largest worth that the capacity of a tier allows.

    :param tier: index of the tier.
    :returns: that worth as a fraction of the total, and the served fraction of each class.
    """
    tier_settings = scenario.tiers[tier]
    calls_per_request = 1.0
    for upper_tier in scenario.tiers[:tier]:
        calls_per_request *= upper_tier.calls
    capacity = tier_settings.servers * tier_settings.cores * sum(tier_settings.speed) / 2.0
    rate = scenario.load.rate
    total_worth = 0.0
    served_worth = 0.0
    shares = {}
    by_value = sorted(scenario.classes, key=lambda cls: cls.worth / cls.work_s, reverse=True)
    for cls in by_value:
        # in core-seconds per second
        demand = rate * cls.share * cls.work_s * tier_settings.work * calls_per_request
        shares[cls.name] = min(1.0, capacity / demand)
        capacity = max(0.0, capacity - demand)
        total_worth += cls.share * cls.worth
        served_worth += cls.share * cls.worth * shares[cls.name]
    return served_worth / total_worth, shares


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    if not 1 <= args.runs <= 20:
        raise ValueError("--runs must be within 1 and 20")
    base = load_scenario("short-last-tier")
    optimum, shares = best_service(base, len(base.tiers) - 1)
    text = ", ".join(f"{name} {share:.2f}" for name, share in shares.items())
    print(f"optimum for the capacity of the last tier: {optimum:.3f} ({text})")
    rows: list[dict[str, Any]] = [{"what": "best", "service": optimum, "classes": shares}]
    for seed in range(1, args.runs + 1):
        for name, chain_settings in VARIANTS.items():
            scenario = replace(override(base, seed), chain=chain_settings)
            _, verdict = play_uninterrupted(scenario)
            verdict_json = as_json(verdict)
            classes = {cls: row["service"] for cls, row in verdict_json["classes"].items()}
            rows.append(
                {
                    "what": name,
                    "seed": seed,
                    "service": verdict_json["service"],
                    "classes": classes,
                    "attempts": verdict_json["attempts"],
                    "broken": verdict.broken_rules,
                    "void": verdict.lateness.void,
                }
            )
            text = ", ".join(f"{cls} {value:.2f}" for cls, value in classes.items())
            problems = "".join(f"; {problem}" for problem in [*verdict.broken_rules, *verdict.lateness.void])
            print(
                f"{name:24} seed {seed}: service {verdict_json['service']:.3f} ({text}), "
                f"{verdict_json['attempts']['per_client_request']:.2f} attempts per request{problems}",
                flush=True,
            )
    return rows

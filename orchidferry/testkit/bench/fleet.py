"""`orchidferry bench fleet`.

Rehearsals of a fleet over many seeds, compared with rehearsals without fleet membership.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

from rich.console import Console

from orchidferry.testkit.scenario import load_scenario

REHEARSAL_TIMEOUT_S = 180.0


async def _run(scenario: str, seed: int, off: bool, folder: Path) -> dict[str, Any]:
    """Run one rehearsal in a separate process.

    :param off: whether the nodes run without fleet membership.
    :param folder: the folder for the verdict.
    :returns: the verdict, or an object with the key `error` if there is none.
    """
    out = folder / f"{scenario}-{seed}-{off}.json"
    options = ["--no-fleet"] if off else []
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidferry.testkit.cli",
        "rehearse",
        scenario,
        "--seed",
        str(seed),
        "--json",
        str(out),
        *options,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        await asyncio.wait_for(process.wait(), REHEARSAL_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()
    try:
        verdict: dict[str, Any] = json.loads(out.read_text())
    except (OSError, ValueError):
        verdict = {"error": f"exit status {process.returncode} and no verdict"}
    return verdict | {"off": off, "status": process.returncode}


def summary(scenario: str, results: list[dict[str, Any]]) -> dict[str, Any]:
    """Summarize all runs of one scenario."""
    valid = [one for one in results if "error" not in one and one["complete"] and not one["run"]["void"]]
    on, off = ([one for one in valid if one["off"] is which] for which in (False, True))
    fleets = [one["fleet"] for one in on]

    def worst(key: str) -> float | None:
        values = [one[key] for one in fleets if one[key] is not None]
        return max(values, default=None)

    def service(verdicts: list[dict[str, Any]]) -> dict[str, float] | None:
        values = [one["service"] for one in verdicts]
        if not values:
            return None
        deviation = statistics.stdev(values) if len(values) > 1 else 0.0
        return {"mean": round(statistics.mean(values), 4), "stdev": round(deviation, 4), "runs": len(values)}

    return {
        "scenario": scenario,
        "runs": len(results),
        "void_or_cut": len(results) - len(valid),
        "rules_broken": sum(not rule["held"] for one in valid for rule in one["rules"].values()),
        "problems": [f"seed {one['seed']}: {text}" for one in on for text in one["fleet"]["problems"]],
        "views_agree_after_s": worst("views_agree_after_s"),
        "false_deaths": sum(fleet["false_deaths"] for fleet in fleets),
        "false_longest_s": worst("false_longest_s"),
        "known_dead_p50_s": worst("known_dead_p50_s"),
        "known_dead_p99_s": worst("known_dead_p99_s"),
        "bytes_a_node_s": worst("bytes_a_node_s"),
        "service_on": service(on),
        "service_off": service(off),
    }


async def _all(args: argparse.Namespace, console: Console) -> list[dict[str, Any]]:
    semaphore = asyncio.Semaphore(args.at_once)
    results = []
    with tempfile.TemporaryDirectory() as folder:

        async def one(scenario: str, seed: int, off: bool) -> dict[str, Any]:
            async with semaphore:
                verdict = await _run(scenario, seed, off, Path(folder))
                outcome = (
                    verdict.get("error")
                    or verdict["run"]["void"]
                    or verdict.get("fleet", {}).get("problems")
                    or "held"
                )
                console.print(f"{scenario} seed {seed}{' off' if off else ''}: {outcome}", markup=False)
                return verdict

        for scenario in args.scenarios:
            jobs = [one(scenario, seed, False) for seed in range(1, args.seeds + 1)]
            jobs += [one(scenario, seed, True) for seed in range(1, args.off + 1)]
            results.append(summary(scenario, await asyncio.gather(*jobs)))
    return results


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command; a row is broken if a rule was, or if a check of the fleet failed.

    :returns: the rows of `--json`.
    """
    if args.seeds < 1 or args.off < 0 or not 1 <= args.at_once <= 8:
        raise ValueError("--seeds must be at least 1, --off at least 0, --at-once 1 to 8")
    for name in args.scenarios:
        load_scenario(name)
    console = Console(highlight=False)
    results = asyncio.run(_all(args, console))
    for one in results:
        one["broken"] = bool(one["rules_broken"] or one["problems"])
        console.print(json.dumps(one, indent=1), markup=False)
    console.print(f"rehearsals at the same time: {args.at_once}")
    return results

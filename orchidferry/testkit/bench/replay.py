"""`orchidferry bench replay`: compares a replay with what was recorded.

A morning is generated, logged, imported and replayed twice: whole at a speed, and a cut of it in its own
time. What the clients sent is held against the generator's own truth: shares by class, gaps between requests,
lateness, and which retry belongs to which first try.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import numpy as np

from orchidferry.testkit.traffic import generate
from orchidferry.testkit.traffic.classes import mix, read_classes
from orchidferry.testkit.traffic.importing import Plan, import_files
from orchidferry.testkit.traffic.recording import Reader
from orchidferry.testkit.traffic.replay import gaps_ms

# how far a replay may be off
MIX_OFF = 0.02
GAPS_OFF = 0.05
LAG_MS = 10.0
TIED = 0.99
RUN = "import sys; from orchidferry.testkit.cli import main; sys.exit(main())"


def ties_right(recording: Path, truth: list[generate.GeneratedRequest]) -> tuple[float, float]:
    """Compare the retries that were matched with those that were generated.

    A first attempt is known by the millisecond in which it began, as the log has it.

    :returns: the fraction of the generated retries that are matched to their own first attempt, and the
        fraction of the matches that were not generated.
    """
    rows = np.concatenate(list(Reader(recording).blocks()))
    ms = [
        round(round(generate.START_TIME_S * 1e3 + (one.t + one.took_s) * 1e3) - round(one.took_s * 1e3, 0))
        for one in truth
    ]
    first = min(ms)
    roots = {one.root: at - first for one, at in zip(truth, ms, strict=True) if one.number == 0}
    theirs = Counter((roots[one.root], one.number) for one in truth if one.number)
    again = np.flatnonzero(rows["number"] > 0)
    began = np.round(rows["t"][rows["chain"][again]] / 1e3).astype(np.int64)
    ours = Counter(zip(began.tolist(), rows["number"][again].tolist(), strict=True))
    right = sum((ours & theirs).values())
    return right / max(1, sum(theirs.values())), 1.0 - right / max(1, sum(ours.values()))


def _replay(
    name: str,
    recording: Path,
    truth: list[generate.GeneratedRequest],
    speed: float,
    cut: tuple[float, float] | None,
) -> dict[str, Any]:
    out = recording.with_suffix(f".{name}.json")
    command = [
        sys.executable,
        "-c",
        RUN,
        "traffic",
        "replay",
        str(recording),
        "--speed",
        f"{speed:g}",
        "--json",
        str(out),
    ]
    if cut is not None:
        command += ["--from", f"{cut[0]:g}s", "--to", f"{cut[1]:g}s"]
    status = subprocess.run(command, check=False).returncode
    verdict = json.loads(out.read_text())
    found = verdict["traffic"]
    began = truth[0].t
    low, high = cut or (0.0, np.inf)
    wanted = [one for one in truth if not one.number and low <= one.t - began < high]
    shares = mix(Counter(one.cls for one in wanted))
    gaps = gaps_ms(np.array([one.t for one in wanted]) / speed)
    row = {
        "what": name,
        "speed": speed,
        "requests": found["sent"],
        "true_requests": len(wanted),
        "mix_off": max(abs(found["mix"].get(name, 0.0) / share - 1.0) for name, share in shares.items()),
        "gaps_off": {q: found["gaps_ms"][q] / value - 1.0 for q, value in gaps.items()},
        "lag_ms": found["lag_ms"],
        "service": verdict["service"],
        "void": verdict["run"]["void"],
        "mix": found["mix"],
        "true_mix": shares,
        "gaps_ms": found["gaps_ms"],
        "true_gaps_ms": gaps,
    }
    row["broken"] = (
        status != 0
        or row["mix_off"] > MIX_OFF
        or row["lag_ms"]["p99"] > LAG_MS
        or any(abs(off) > GAPS_OFF for off in row["gaps_off"].values())
    )
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
    if not 0.1 <= args.rate <= 1_000 or not 60 <= args.seconds <= 18_000 or not 0.1 <= args.speed <= 100:
        raise ValueError("--rate must be within 0.1 and 1000, --seconds 60 and 18000, --speed 0.1 and 100")
    rows: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as name:
        folder = Path(name)
        truth = list(generate.requests(args.rate, args.seconds, args.seed))
        with (folder / "access.log").open("wb") as out:
            out.writelines(generate.log_lines(iter(truth)))
        plan = Plan((folder / "access.log",), generate.LOG_FORMAT, read_classes(generate.CLASSES.encode()))
        import_files(plan, folder / "hour.rec", folder / "rejects")
        right, wrong = ties_right(folder / "hour.rec", truth)
        print(f"{len(truth)} requests; {right:.2%} of the retries tied right, {wrong:.2%} of the ties wrong")
        rows.append({"what": "ties", "right": right, "wrong": wrong, "broken": right <= TIED})
        begin = args.seconds / 3.0 - 60.0  # about a publication
        cut = max(0.0, begin), max(0.0, begin) + args.cut
        rows.append(_replay("cut", folder / "hour.rec", truth, 1.0, cut))
        rows.append(_replay("whole", folder / "hour.rec", truth, args.speed, None))
    for row in rows[1:]:
        what = f"{row['what']} at {row['speed']:g} times"
        off = ", ".join(f"{q} {value:+.1%}" for q, value in row["gaps_off"].items())
        lag = ", ".join(f"{q} {value:.2f}" for q, value in row["lag_ms"].items())
        print(
            f"{what}: {row['requests']} of {row['true_requests']} first tries, "
            f"shares off by {row['mix_off']:.2%} at most, gaps by {off}; late by, ms: {lag}; "
            f"service {row['service']}",
            flush=True,
        )
    return rows

"""`orchidferry bench replay`: compares replayed traffic with the generated traffic that was recorded.

Traffic of a morning is generated, logged, imported and replayed twice: completely at the speed of `--speed`,
and an extract of it at the original speed. The requests that the clients sent are compared with the generated
ones: shares of classes, gaps between requests, lateness, and the matching of retries to their first attempts.
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

# Limits of the deviation of a replay from the recording; beyond them a row is broken.
MAX_MIX_ERROR = 0.02  # relative error of a class's share
MAX_GAP_ERROR = 0.05  # relative error of a quantile of the gaps between requests
MAX_LAG_MS = 10.0  # 99th percentile of the lateness
MIN_MATCHED = 0.99  # fraction of the retries that are matched to their own first attempt
# code for `python -c` that runs the console script
RUN = "import sys; from orchidferry.testkit.cli import main; sys.exit(main())"


def match_quality(recording: Path, truth: list[generate.GeneratedRequest]) -> tuple[float, float]:
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
    earliest_ms = min(ms)
    first_attempt_ms = {
        one.root: start_ms - earliest_ms for one, start_ms in zip(truth, ms, strict=True) if one.number == 0
    }
    generated = Counter((first_attempt_ms[one.root], one.number) for one in truth if one.number)
    retries = np.flatnonzero(rows["number"] > 0)
    start = np.round(rows["t"][rows["chain"][retries]] / 1e3).astype(np.int64)
    matched = Counter(zip(start.tolist(), rows["number"][retries].tolist(), strict=True))
    right = sum((matched & generated).values())
    return right / max(1, sum(generated.values())), 1.0 - right / max(1, sum(matched.values()))


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
    traffic = verdict["traffic"]
    start = truth[0].t
    low, high = cut or (0.0, np.inf)
    expected = [one for one in truth if not one.number and low <= one.t - start < high]
    shares = mix(Counter(one.cls for one in expected))
    gaps = gaps_ms(np.array([one.t for one in expected]) / speed)
    row = {
        "what": name,
        "speed": speed,
        "requests": traffic["sent"],
        "true_requests": len(expected),
        "mix_off": max(abs(traffic["mix"].get(name, 0.0) / share - 1.0) for name, share in shares.items()),
        "gaps_off": {q: traffic["gaps_ms"][q] / value - 1.0 for q, value in gaps.items()},
        "lag_ms": traffic["lag_ms"],
        "service": verdict["service"],
        "void": verdict["run"]["void"],
        "mix": traffic["mix"],
        "true_mix": shares,
        "gaps_ms": traffic["gaps_ms"],
        "true_gaps_ms": gaps,
    }
    row["broken"] = (
        status != 0
        or row["mix_off"] > MAX_MIX_ERROR
        or row["lag_ms"]["p99"] > MAX_LAG_MS
        or any(abs(off) > MAX_GAP_ERROR for off in row["gaps_off"].values())
    )
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    if not 0.1 <= args.rate <= 1_000 or not 60 <= args.seconds <= 18_000 or not 0.1 <= args.speed <= 100:
        raise ValueError("--rate must be within 0.1 to 1000, --seconds 60 to 18000, --speed 0.1 to 100")
    rows: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as name:
        folder = Path(name)
        truth = list(generate.requests(args.rate, args.seconds, args.seed))
        with (folder / "access.log").open("wb") as out:
            out.writelines(generate.log_lines(iter(truth)))
        plan = Plan((folder / "access.log",), generate.LOG_FORMAT, read_classes(generate.CLASSES.encode()))
        import_files(plan, folder / "hour.rec", folder / "rejects")
        right, wrong = match_quality(folder / "hour.rec", truth)
        print(f"{len(truth)} requests; {right:.2%} of the retries matched, {wrong:.2%} of the matches wrong")
        rows.append({"what": "ties", "right": right, "wrong": wrong, "broken": right <= MIN_MATCHED})
        begin = args.seconds / 3.0 - 60.0  # a minute before the first publication
        cut = max(0.0, begin), max(0.0, begin) + args.cut
        rows.append(_replay("cut", folder / "hour.rec", truth, 1.0, cut))
        rows.append(_replay("whole", folder / "hour.rec", truth, args.speed, None))
    for row in rows[1:]:
        what = f"{row['what']} at speed {row['speed']:g}"
        off = ", ".join(f"{q} {value:+.1%}" for q, value in row["gaps_off"].items())
        lag = ", ".join(f"{q} {value:.2f}" for q, value in row["lag_ms"].items())
        print(
            f"{what}: {row['requests']} of {row['true_requests']} first attempts, "
            f"error of shares at most {row['mix_off']:.2%}, of gaps {off}; lateness in ms: {lag}; "
            f"service {row['service']}",
            flush=True,
        )
    return rows

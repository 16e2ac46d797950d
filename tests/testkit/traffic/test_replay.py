"""Replays: which requests of a recording are selected, and that they are sent as recorded."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np
import pytest

from orchidferry.testkit.bench.replay import RUN
from orchidferry.testkit.cli import main
from orchidferry.testkit.judge.verdict import judge
from orchidferry.testkit.record import RequestScheduled
from orchidferry.testkit.report.page import page as replay_page
from orchidferry.testkit.scenario import Scenario, ScenarioError, read_scenario, read_traffic
from orchidferry.testkit.traffic.classes import read_classes
from orchidferry.testkit.traffic.generate import CLASSES
from orchidferry.testkit.traffic.guard import MARK, read_guard
from orchidferry.testkit.traffic.recording import ROW, Header, Rows, Writer
from orchidferry.testkit.traffic.replay import in_sample, measure, paths_of, replayed_arrivals, resolve
from tests.testkit.test_run import LIMITS, PLAYS_MOST, TIERS, play
from tests.testkit.traffic.test_guard import Peer

CLASSES_TABLE: list[dict[str, Any]] = [
    {"name": "ler-feed", "repeat": "safe", "worth": 1.0, "wanted_s": 1.0, "gives_up_s": 2.0},
    {"name": "salvar-episodio", "repeat": "keyed", "worth": 2.0, "wanted_s": 1.0, "gives_up_s": 2.0},
    {"name": "repasse-socio", "repeat": "unsafe", "worth": 8.0, "wanted_s": 1.0, "gives_up_s": 2.0},
]


def record(
    path: Path, count: int = 200, seconds: float = 4.0, classes: Any = CLASSES_TABLE, **columns: Any
) -> Rows:
    """Write a recording of evenly spaced requests by 20 clients.

    :param columns: values of columns of the rows.
    :returns: the rows.
    """
    rows = np.zeros(count, ROW)
    rows["t"] = np.linspace(0, seconds * 1e6, count)
    rows["client"], rows["object"] = 1 + np.arange(count) % 20, np.arange(count) % 7
    rows["took"], rows["status"], rows["cls"] = 20_000, 200, np.arange(count) % len(classes)
    rows["chain"] = np.arange(count)
    for name, values in columns.items():
        rows[name] = values
    writer = Writer(path, Header(classes, count, seconds))
    writer.put(rows)
    writer.close()
    return rows


def replay_scenario(path: Path, name: str = "a.rec", **table: Any) -> Scenario:
    """A scenario that replays a recording.

    :param path: the folder of the recording.
    :param table: keys of the table `[[traffic]]`.
    """
    scenario = read_scenario(
        {"name": "replayed", "length": "1h", "tier": TIERS, "limits": LIMITS, "workers": 1}, "x"
    )
    return replace(scenario, traffic=(read_traffic({"recording": str(path / name)} | table, "--"),))


@pytest.mark.parametrize(
    ("table", "count", "first", "last"),
    [
        ({}, 200, 0.0, 4.0),
        ({"speed": 4.0}, 200, 0.0, 1.0),
        ({"speed": 0.5}, 200, 0.0, 8.0),
        ({"from": "1s", "to": "3s"}, 100, 0.0, 2.0),
        ({"from": "1s", "to": "3s", "speed": 2.0, "at": "5s"}, 100, 5.0, 6.0),
        ({"from": "3s", "at": "250ms"}, 50, 0.25, 1.25),
    ],
)
def test_a_time_range_is_replayed_at_the_given_speed(
    table: dict[str, Any], count: int, first: float, last: float, tmp_path: Path
) -> None:
    record(tmp_path / "a.rec")
    scenario, preview = resolve(replay_scenario(tmp_path, **table))
    found = list(replayed_arrivals(scenario))
    assert len(found) == count == sum(preview.sent.values())
    assert abs(found[0].t - first) < 0.03 and abs(found[-1].t - last) < 0.05
    assert [one.t for one in found] == sorted(one.t for one in found)
    assert abs(scenario.length_s - last) < 0.05 and abs(scenario.load.rate - count / last) < 0.02 * count
    assert len({one.root for one in found}) == count
    # Two client processes together send the same requests as a single one.
    halves = [one for index in (0, 1) for one in replayed_arrivals(scenario, index, 2)]
    assert sorted(halves, key=lambda one: one.t) == found


def test_a_loop_repeats_until_the_end_and_two_recordings_are_superimposed(tmp_path: Path) -> None:
    record(tmp_path / "a.rec")
    record(tmp_path / "b.rec", count=10, classes=CLASSES_TABLE[:1])
    one = replay_scenario(tmp_path, loop=True)
    scenario, preview = resolve(replace(one, length_s=10.0))
    times = [arrival.t for arrival in replayed_arrivals(scenario)]
    assert scenario.length_s == 10.0 and abs(len(times) - 500) <= 2 and times == sorted(times)
    assert preview.skipped["after the end"] >= 99
    both = replace(
        one,
        traffic=(
            replay_scenario(tmp_path).traffic[0],
            replay_scenario(tmp_path, "b.rec", at="10s").traffic[0],
        ),
    )
    scenario, _ = resolve(both)
    found = list(replayed_arrivals(scenario))
    assert len(found) == 210 and {a.cls.name for a in found[-10:]} == {"ler-feed"}
    assert abs(scenario.length_s - 14.0) < 0.01


def test_a_sample_has_all_requests_of_its_clients(tmp_path: Path) -> None:
    rows = record(tmp_path / "a.rec", count=4_000, client=np.random.default_rng(1).integers(1, 500, 4_000))
    _, preview = resolve(replay_scenario(tmp_path, scale=0.3))
    everyone = np.arange(1, 2_001).astype(np.uint64)
    assert all(0.25 < in_sample(everyone, seed, 0.3).mean() < 0.35 for seed in range(50))
    assert sum(preview.sent.values()) + preview.skipped["sampled"] == 4_000 == sum(preview.recorded.values())
    assert 0.2 < sum(preview.sent.values()) / 4_000 < 0.4
    small, large = (in_sample(rows["client"], 5, scale) for scale in (0.2, 0.6))
    assert (large | ~small).all()  # a larger sample contains every smaller one
    by_client: dict[int, set[bool]] = {}
    for client, taken in zip(rows["client"].tolist(), large.tolist(), strict=True):
        by_client.setdefault(client, set()).add(taken)
    assert all(len(found) == 1 for found in by_client.values())


@pytest.mark.parametrize(("retries", "sent", "own"), [("kit", 150, 3), ("recorded", 200, 0)])
def test_recorded_retries_and_the_clients_own_are_not_both_sent(
    retries: str, sent: int, own: int, tmp_path: Path
) -> None:
    record(tmp_path / "a.rec", number=(np.arange(200) % 4 == 3).astype(np.uint8))
    scenario, preview = resolve(replay_scenario(tmp_path, retries=retries))
    assert (sum(preview.sent.values()), preview.skipped["retries"]) == (sent, 200 - sent)
    assert scenario.clients.retries == own
    assert len(list(replayed_arrivals(scenario))) == sent


@pytest.mark.parametrize(
    ("table", "classes", "message"),
    [
        ({"from": "9s"}, CLASSES_TABLE, "nothing from 9 s on; it has 4 s"),
        (
            {},
            [CLASSES_TABLE[2] | {"repeat": "safe"}],
            "class 'repasse-socio' is safe there, and unsafe elsewhere",
        ),
        ({"scale": 0.0001}, CLASSES_TABLE, "nothing is left to send"),
    ],
)
def test_scenarios_that_cannot_be_replayed_are_rejected(
    table: dict[str, Any], classes: Any, message: str, tmp_path: Path
) -> None:
    record(tmp_path / "a.rec", classes=classes)
    one = replay_scenario(tmp_path, **table)
    if classes is not CLASSES_TABLE:
        one = replace(one, classes=tuple(replace(cls) for cls in Scenario("x").classes[::-1]))
    with pytest.raises(ScenarioError, match=message):
        resolve(one)


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["a.rec", "--speed", "0"], "--speed: 0.0 is not within"),
        (["a.rec", "--from", "3"], "--from: '3' is not a duration"),
        (["a.rec", "--from", "3s", "--to", "2s"], "traffic[0].to: is not after from"),
        (["a.rec", "--scale", "2"], "--scale: 2.0 is not within"),
        (["none.rec"], "none.rec: No such file"),
        (["cut.rec"], "cut.rec: is no recording"),
        (["a.rec", "--scenario", "burst"], "burst needs generated arrivals"),
        (["a.rec", "--scenario", "drain", "--target", "http://127.0.0.1:1"], "has a timeline"),
        (["a.rec", "--target", "http://10.0.0.1"], "nothing is left to send"),
        (
            ["a.rec", "--target", "http://127.0.0.1", "--classes", "bad.toml"],
            "bad.toml: class 'a': path 'caf",
        ),
    ],
)
def test_bad_usage_is_one_line_and_status_2(
    arguments: list[str], message: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: Any
) -> None:
    record(tmp_path / "a.rec")
    complete = (tmp_path / "a.rec").read_bytes()
    (tmp_path / "cut.rec").write_bytes(complete[: len(complete) * 2 // 3])
    (tmp_path / "bad.toml").write_text('[[class]]\nname = "a"\npath = "café/*"\nrepeat = "safe"\n')
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(sys, "argv", ["orchidferry", "traffic", "replay", *arguments])
    assert main() == 2
    error = capsys.readouterr().err
    assert message in error and error.count("\n") == 1, error


def test_a_replay_to_servers_of_the_kit_sends_all_classes_and_breaks_no_rule(tmp_path: Path) -> None:
    record(tmp_path / "a.rec", count=120, seconds=2.0)
    scenario, preview = resolve(replay_scenario(tmp_path))
    run, verdict = play(scenario)
    assert run.complete, run.why
    assert not verdict.broken_rules and verdict.client_requests == 120 == sum(preview.sent.values())
    unsafe = verdict.service.classes["repasse-socio"]
    assert unsafe.asked == 40 and unsafe.served >= 36
    assert not any(
        "kit-proof" in id for _, id in verdict.trace.arrivals
    )  # proof requests are not counted as requests of the run


def test_the_pages_of_a_recording_and_a_replay_show_the_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: Any
) -> None:
    record(tmp_path / "a.rec", number=(np.arange(200) % 4 == 3).astype(np.uint8))
    page = tmp_path / "p.html"
    monkeypatch.setattr(
        sys, "argv", ["orchidferry", "traffic", "show", str(tmp_path / "a.rec"), "--report", str(page)]
    )
    assert main() == 0 and "50 retries" in capsys.readouterr().out
    text = page.read_text()
    assert (
        all(row["name"] in text for row in CLASSES_TABLE)
        and "200 requests over 4 s" in text
        and "<svg" in text
    )
    scenario, preview = resolve(replay_scenario(tmp_path))
    verdict = judge(
        scenario, [RequestScheduled(1.0, "r0", "ler-feed"), RequestScheduled(2.0, "r1", "ler-feed")], 0.0, 3.0
    )
    verdict.traffic = measure(preview, Counter({"ler-feed": 2}), [0.001, 0.003], [1.0, 2.0], 148)
    text = replay_page(verdict)
    assert "50 left out: retries" in text and "148 left out: cut off" in text and "1000.00" in text
    assert verdict.traffic["lag_ms"]["most"] == 3.0 and verdict.traffic["mix"] == {"ler-feed": 1.0}


def test_a_target_gets_marked_requests_and_no_unsafe_ones(tmp_path: Path) -> None:
    record(tmp_path / "a.rec", count=60, seconds=1.0)
    (tmp_path / "c.toml").write_text(CLASSES)

    async def replay(*more: str) -> tuple[Peer, dict[str, Any]]:
        """Replay to a target.

        A run is void if its clients sent requests late, for example because the machine stalled. It is
        then repeated.
        """
        for _ in range(PLAYS_MOST):
            peer = await Peer(lambda _: (200, b"ok", "")).start()
            target = f"http://127.0.0.1:{peer.address[1]}"
            options = ["--target", target, "--json", str(tmp_path / "v.json"), *more]
            command = [sys.executable, "-c", RUN, "traffic", "replay", str(tmp_path / "a.rec"), *options]
            command = [text.replace("TARGET", target) for text in command]
            process = await asyncio.create_subprocess_exec(*command, stdout=subprocess.DEVNULL)
            async with asyncio.timeout(60.0):
                status = await process.wait()
            await peer.stop()
            found: dict[str, Any] = json.loads((tmp_path / "v.json").read_text())
            if not found["run"]["void"]:
                break
        assert status == 0
        return peer, found["traffic"]

    peer, traffic = asyncio.run(replay("--classes", str(tmp_path / "c.toml")))
    assert traffic["skipped"] == {"unsafe": 20} and traffic["sent"] == 40 == len(peer.seen)
    assert Counter(seen.rpartition("/")[0] for seen in peer.seen) == {"GET /feeds": 20, "PUT /episodios": 20}
    assert all(MARK.lower() in request.headers for request in peer.requests)
    peer, traffic = asyncio.run(replay("--send", "repasse-socio@TARGET"))
    assert not traffic["skipped"] and peer.seen.count("POST /repasse-socio") == 20
    marks = Counter(request.headers[MARK.lower()] for request in peer.requests)
    assert marks["repasse-socio; unsafe"] == 20 and len(marks) == 3
    assert traffic["mix"] == traffic["recorded_mix"] and set(traffic["lag_ms"]) == {
        "p50",
        "p90",
        "p99",
        "most",
    }


def test_paths_come_from_the_classes_file() -> None:
    found = dict(paths_of(read_classes(CLASSES.encode())))
    assert found["ler-feed"] == ("GET", "/feeds/*") and found["repasse-socio"] == ("POST", "/repasses")
    assert read_guard("http://127.0.0.1:80", []).target == read_guard("http://localhost", []).target

"""The simulator adapter as a process that reads and writes lines."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[2]
ENV: dict[str, Any] = {
    "classes": [
        {
            "name": "read",
            "objective_ms": 1000.0,
            "give_up_ms": 3000.0,
            "semantics": "retryable",
            "importance": 1.0,
            "late_worth": 0.2,
            "dedup_scope": "all",
            "window_ms": 5000.0,
            "stream": False,
        },
        {
            "name": "pay",
            "objective_ms": 2000.0,
            "give_up_ms": 6000.0,
            "semantics": "fragile",
            "importance": 8.0,
            "late_worth": 0.2,
            "dedup_scope": "all",
            "window_ms": 5000.0,
            "stream": False,
        },
        {
            "name": "save",
            "objective_ms": 2000.0,
            "give_up_ms": 6000.0,
            "semantics": "dedup",
            "importance": 3.0,
            "late_worth": 0.2,
            "dedup_scope": "zone",
            "window_ms": 5000.0,
            "stream": False,
        },
    ],
    "tenants": [{"name": "a", "fraction": 0.5, "quota_per_s": 20.0}],
    "locality": "z1",
    "dcs": ["z1", "z2"],
    "host_types": ["k1"],
    "stages": ["front", "back"],
    "siblings": 2,
    "my_number": 0,
    "tier": 0,
    "membership_mode": "on_request",
    "quantum_ms": 5.0,
    "permissions": {"max_attempts": 3, "connect_timeout_ms": 100.0, "may_cancel": True, "unheard_of": 1},
    "rules": {
        "ask_every_ms": 10000.0,
        "stop_sending_within_ms": 500.0,
        "start_capacity": 0.3,
        "ramp_time_ms": 8000.0,
        "overload_factor": 3.0,
        "overload_for_ms": 1000.0,
    },
}


def launch(node: str, salt: int = 7, env: dict[str, Any] = ENV) -> list[dict[str, Any]]:
    servers = [
        {
            "server": n,
            "failure_domain": "z1" if n % 2 else "z2",
            "sku": "k1",
            "group": n % 3,
            "health": "in_service",
            "share": 1,
            "boot_time_ms": None,
        }
        for n in range(5)
    ]
    return [
        {"kind": "Page", "bank": 0, "elements": servers},
        {"kind": "Launch", "node": node, "salt": salt, "env": env},
        {"kind": "View", "node": node, "form": "SAVED", "stamp": 1, "bank": 0},
    ]


def job(node: str, id: str, cls: str = "read", owner: str | None = "a") -> dict[str, Any]:
    return {
        "kind": "JobIn",
        "node": node,
        "request_id": id,
        "type": cls,
        "ttl_ms": 2500.0,
        "owner": owner,
        "again_by_client": False,
        "update": False,
        "entity": None,
        "size_hint_ms": None,
    }


def ended(node: str, action: dict[str, Any], code: int, number: int = 0) -> dict[str, Any]:
    return {
        "kind": "Completed",
        "node": node,
        "request_id": action["request_id"],
        "settled": code == 100,
        "disposition": code,
        "duration_ms": 40.0,
        "server": action["server"],
        "send_no": number,
        "report": None,
    }


def run(lines: list[Any], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "orchidferry.balancing.wirehost"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
        check=False,
    )


def batch(number: int, *items: dict[str, Any], now: float | None = None) -> dict[str, Any]:
    return {"ts_ms": 1000.0 * number if now is None else now, "round": number, "items": list(items)}


def script(nodes: list[str], rename: dict[str, str] | None = None) -> list[Any]:
    """A fixed sequence of batches, in which outcomes name servers whether or not these were picked.

    :param rename: names to replace in it
    """
    classes = ["read", "pay", "save"]
    lines = [batch(1, *(item for n, node in enumerate(nodes) for item in launch(node, 7 + n)))]
    for step in range(2, 80):
        items = []
        for node in nodes:
            items.append(job(node, f"{node}-{step}", classes[step % 3]))
            old = {"request_id": f"{node}-{step - 1}", "server": step % 5}
            if step > 2:
                items.append(ended(node, old, [100, 301, 302, 303, 304][step % 5]))
            items.append({"kind": "Fired", "node": node, "nonce": step // 2})
        lines.append(batch(step, *items, now=1000.0 + 40.0 * step))
    if rename is None:
        return lines
    text = json.dumps(lines)
    for old_name, new_name in rename.items():
        text = text.replace(json.dumps(old_name), json.dumps(new_name))
    renamed: list[Any] = json.loads(text)
    return renamed


def replies(result: subprocess.CompletedProcess[str]) -> list[Any]:
    assert result.returncode == 0, result.stderr
    return [json.loads(line) for line in result.stdout.splitlines()]


def test_a_request_is_sent_and_replies_have_the_round_number() -> None:
    lines = [batch(1), batch(2, *launch("node-0")), batch(3, job("node-0", "q"))]
    [empty, first, second] = replies(run(lines))
    assert empty == {"round": 1, "actions": []}
    assert {"kind": "Track", "node": "node-0", "on": True} in first["actions"]
    [send] = second["actions"]
    assert send["kind"] == "SubmitTo" and send["request_id"] == "q" and send["within_ms"] <= 2500.0


def test_a_node_can_be_launched_again_after_power_off() -> None:
    lines = [batch(1, *launch("node-0")), batch(2, {"kind": "PowerOff", "node": "node-0"}, *launch("node-0"))]
    assert len(replies(run(lines))) == 2


def test_replies_do_not_depend_on_hash_seeds_or_other_nodes() -> None:
    both = replies(run(script(["node-0", "node-1"])))
    assert both == replies(run(script(["node-0", "node-1"]), hash_seed="4242"))
    for n, node in enumerate(["node-0", "node-1"]):
        lines = (
            script([node])
            if n == 0
            else [
                {**line, "items": [i for i in line["items"] if i.get("node", node) == node]}
                for line in script(["node-0", "node-1"])
            ]
        )
        alone = replies(run(lines))
        assert [r["actions"] for r in alone] == [[a for a in r["actions"] if a["node"] == node] for r in both]


def test_decisions_do_not_depend_on_names() -> None:
    names = {
        "read": "zz",
        "pay": "aa",
        "save": "mm",
        "a": "tenant-9",
        "z1": "north",
        "z2": "east",
        "k1": "big",
        "front": "x",
        "back": "y",
    }
    assert replies(run(script(["node-0"]))) == replies(run(script(["node-0"], names)))


def test_reports_may_lack_values_or_be_negative_and_an_owner_may_be_0() -> None:
    reports: list[Any] = [None, {}, {"queue": None}, {"queue": -3.0, "util": 0.5}, {"unheard_of": 1e300}]
    lines = [batch(1, *launch("node-0"))]
    for n, report in enumerate(reports, 2):
        request = {**job("node-0", f"q{n}"), "owner": 0}
        outcome = {**ended("node-0", {"request_id": f"q{n}", "server": 1}, 100), "report": report}
        lines.append(batch(n, request, outcome))
    assert len(replies(run(lines))) == len(lines)


def test_the_process_ends_with_its_input() -> None:
    result = run([])
    assert (result.returncode, result.stdout, result.stderr) == (0, "", "")


def broken_env(path: list[Any], value: Any = None) -> dict[str, Any]:
    env = copy.deepcopy(ENV)
    part = env
    for key in path[:-1]:
        part = part[key]
    if value is None:
        del part[path[-1]]
    else:
        part[path[-1]] = value
    return env


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("{not json", ["line 2", "JSON"]),
        ("[]", ["line 2", "object"]),
        ({"round": 2, "items": []}, ["ts_ms", "missing"]),
        ({"ts_ms": 5.0, "round": 2, "items": 7}, ["items", "array"]),
        ({"ts_ms": 5.0, "round": 2, "items": [3]}, ["items[0]", "object"]),
        (batch(2, {"kind": "Nonsense", "node": "node-0"}), ["items[0]", "unknown kind"]),
        (batch(2, job("node-9", "q")), ["node-9", "not running"]),
        (batch(2, {**job("node-0", "q"), "ttl_ms": "soon"}), ["ttl_ms", "number"]),
        (batch(2, {**job("node-0", "q"), "ttl_ms": True}), ["ttl_ms", "number"]),
        (batch(2, job("node-0", "q", "no-such-class")), ["type", "no-such-class"]),
        (batch(2, ended("node-0", {"request_id": "q", "server": 1}, 999)), ["disposition", "999"]),
        (batch(2, {"kind": "Fired", "node": "node-0"}), ["nonce", "missing"]),
        (batch(2, {"kind": "View", "node": "node-0", "form": "FULL", "stamp": 2, "bank": 5}), ["bank", "5"]),
        (batch(2, *launch("node-1", env=broken_env(["rules", "ramp_time_ms"]))), ["ramp_time_ms", "missing"]),
        (batch(2, *launch("node-1", env=broken_env(["classes", 0, "semantics"], "x"))), ["semantics", "'x'"]),
        (batch(2, *launch("node-1", env=broken_env(["siblings"], "two"))), ["siblings", "whole number"]),
        (batch(2, *launch("node-1", env=broken_env(["classes"], []))), ["items[1]", "classes"]),
        (batch(2, *launch("node-1", env=broken_env(["rules", "start_capacity"], 1.5))), ["start_capacity"]),
        (batch(2, *launch("node-1", env=broken_env(["rules", "ramp_time_ms"], -1.0))), ["ramp_time_ms"]),
        ('{"ts_ms": NaN, "round": 2, "items": []}', ["ts_ms", "finite"]),
        (batch(2, {**job("node-0", "q"), "ttl_ms": float("inf")}), ["ttl_ms", "finite"]),
        ("[" * 100_000, ["line 2", "JSON"]),
        (
            batch(2, {**ended("node-0", {"request_id": "q", "server": 1}, 100), "report": {"queue": "x"}}),
            ["queue", "number"],
        ),
    ],
)
def test_malformed_input_ends_the_process_with_one_error_line(line: Any, words: list[str]) -> None:
    result = run([batch(1, *launch("node-0")), line, batch(3)])
    assert result.returncode == 2
    assert len(result.stdout.splitlines()) == 1
    [message] = result.stderr.splitlines()
    assert "Traceback" not in message
    for word in words:
        assert word in message

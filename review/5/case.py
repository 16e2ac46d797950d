"""Case 5: operation keys of 512 bytes or more, among others, stop all writes of the controllers."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stage2 import TROUBLE, Server, Stage, VoidRunError, call, configuration, play, route

KEY_BYTES = 600 if TROUBLE else 40  # length of the keys of one of the clients
ACK_S = 5.0  # `ack_ms`
PER_ROUTE_S = 0.003
LISTEN_S = 20.0  # for how long the operator goes on
DEADLINE_MS = 4_000
SERVICE = "huvo11a"
PATH = "/pufi791/"


async def publish(stage: Stage, number: int, client: str, key: str, results: Counter[str]) -> None:
    """Send one operation, and a second try with the same key after a failure, as clients do."""
    machine = stage.sidecars[number % len(stage.sidecars)]
    until = time.monotonic() + DEADLINE_MS / 1000.0
    for _ in range(2):
        left_s = until - time.monotonic()
        if left_s < 0.2:
            break
        attempt = stage.attempt_id()
        headers = {
            "Attempt-Id": attempt,
            "Operation-Key": key,
            "Time-Remaining": str(int(left_s * 1000.0)),
        }
        began = time.monotonic()
        answer = await call(machine.ip, stage.ports.outbound, "POST", PATH + "2f", headers, b"edit", left_s)
        took = time.monotonic() - began
        stage.record(
            "try", client=client, id=attempt, key_bytes=len(key), status=answer.status, took=f"{took:.3f}"
        )
        if answer.status == 200:
            results[f"{client} served"] += 1
            return
        await asyncio.sleep(0.2)
    results[f"{client} not served"] += 1


async def client(stage: Stage, name: str, per_s: float, key_bytes: int, results: Counter[str]) -> None:
    """Send operations at a steady rate, each with a new key."""
    tasks: set[asyncio.Task[None]] = set()
    number = 0
    while True:
        number += 1
        key = f"k-{name}-{number:05d}-".ljust(key_bytes, "x")
        task = asyncio.create_task(publish(stage, number, name, key, results))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / per_s)


async def scene(stage: Stage) -> bool:
    """Change the configuration while one of two clients uses long keys."""
    for number in range(3):
        stage.add("core", number)
    for number in range(3):
        stage.add("sidecar", number, SERVICE)
    for machine in stage.machines:
        stage.start(machine)
    servers = [Server(stage, machine, 0.05) for machine in stage.sidecars]
    for server in servers:
        await server.start()
    rules = [route("r-publish", PATH, "keyed", SERVICE, 1000, DEADLINE_MS)]
    if await stage.order(configuration(1, rules, [SERVICE]), 0, 40.0, "first") is None:
        raise VoidRunError("the first configuration was not taken")
    await stage.wait_ready()
    results: Counter[str] = Counter()
    await asyncio.sleep(4.0)
    clients = [
        asyncio.create_task(client(stage, "short", 5.0, 16, results)),
        asyncio.create_task(client(stage, "long", 2.0, KEY_BYTES, results)),
    ]
    await asyncio.sleep(3.0)
    rules.append(route("r-added", "/added/", "idempotent", SERVICE, 800, 3000))
    took = await stage.order(configuration(3, rules, [SERVICE]), 1, LISTEN_S, "second")
    stage.check_processes()
    for task in clients:
        task.cancel()
    bound_s = ACK_S + PER_ROUTE_S * len(rules)
    held = took is not None and took <= bound_s
    stage.record(
        "verdict",
        held=held,
        acknowledged_after=took,
        bound=bound_s,
        **{name.replace(" ", "_"): count for name, count in sorted(results.items())},
    )
    print(f"key_bytes={KEY_BYTES} acknowledged_after={took} bound={bound_s:.3f} {dict(results)}")
    for server in servers:
        server.close()
    return held


if __name__ == "__main__":
    sys.exit(play(__file__, scene))

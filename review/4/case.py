"""Case 4: a release that is sent again deletes the record of another try, and the operation runs twice."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stage2 import (
    TROUBLES,
    Answer,
    Relay,
    Server,
    Stage,
    VoidRunError,
    call,
    configuration,
    play,
    route,
)

LATE_S = 1.2  # by which the answers of the controllers reach one proxy late
OPERATIONS = 10
REST_S = 4.0  # from the last operation to the kill of the controllers: `contact_ms` and more
DOWN_S = 0.5  # "come back within a second"
KEY_WINDOW_S = 60.0
DEADLINE_MS = 4_000
PAUSE_S = 0.2  # of a client before its next try
SERVICE = "huvo11a"
PATH = "/pufi791/"


async def one_try(stage: Stage, number: int, key: str, left_s: float) -> Answer:
    """Send one try of an operation to a proxy."""
    machine = stage.sidecars[number % len(stage.sidecars)]
    attempt = stage.attempt_id()
    headers = {"Attempt-Id": attempt, "Operation-Key": key, "Time-Remaining": str(int(left_s * 1000.0))}
    stage.record("sent", key=key, id=attempt, to=machine.name)
    answer = await call(machine.ip, stage.ports.outbound, "POST", PATH + "2f", headers, b"edit", left_s)
    stage.record("answer", key=key, id=attempt, status=answer.status, problem=answer.problem or "none")
    return answer


async def operate(stage: Stage, first: int, key: str) -> bool:
    """Do one operation as clients do: try again after a failure, at another proxy, within the deadline."""
    until = time.monotonic() + DEADLINE_MS / 1000.0
    number = first
    while (left_s := until - time.monotonic()) > 0.2:
        answer = await one_try(stage, number, key, left_s)
        if answer.status == 200:
            return True
        await asyncio.sleep(PAUSE_S)
        number += 1
    return False


async def scene(stage: Stage) -> bool:
    """Do operations at the late proxy, kill all controllers at once, and send the operations again.

    With ONLY=late or ONLY=kill just one of the two troubles is played.
    """
    late: set[str] = set()
    for number in range(3):
        machine = stage.add("core", number)
        machine.bind = f"{stage.net}.{100 + number}"
        stage.relays.append(Relay(stage, machine, late, LATE_S))
    for number in range(3):
        stage.add("sidecar", number, SERVICE)
    for relay in stage.relays:
        await relay.start()
    for machine in stage.machines:
        stage.start(machine)
    servers = [Server(stage, machine, 0.05) for machine in stage.sidecars]
    for server in servers:
        await server.start()
    rules = [route("r-publish", PATH, "keyed", SERVICE, 1000, DEADLINE_MS)]
    if await stage.order(configuration(1, rules, [SERVICE]), 0, 40.0, "first") is None:
        raise VoidRunError("the first configuration was not taken")
    await stage.wait_ready()
    await asyncio.sleep(4.0)

    slow = stage.sidecars[0]
    if "late" in TROUBLES:
        late.add(slow.ip)
        stage.record("late", machine=slow.name, late_s=LATE_S)
    keys = [f"k-{number:04d}" for number in range(OPERATIONS)]
    began = time.monotonic()
    served = await asyncio.gather(*(operate(stage, 0, key) for key in keys))
    await asyncio.sleep(3.0)
    late.clear()
    stage.record("not_late", machine=slow.name)
    await asyncio.sleep(REST_S)
    if "kill" in TROUBLES:
        await asyncio.gather(*(stage.kill(core) for core in stage.cores))
        await asyncio.sleep(DOWN_S)
        for core in stage.cores:
            stage.start(core)
        await stage.wait_ready()
    await asyncio.sleep(5.0)
    for number, key in enumerate(keys):
        await one_try(stage, number + 1, key, DEADLINE_MS / 1000.0)
    if time.monotonic() - began > KEY_WINDOW_S:
        raise VoidRunError("the repeats came after the key's window")
    stage.check_processes()
    runs = [run for server in servers for run in server.runs]
    twice = [key for key in keys if sum(run[2] == key for run in runs) > 1]
    stage.record("verdict", operations=OPERATIONS, served=sum(served), ran_twice=len(twice))
    troubles = "+".join(sorted(TROUBLES)) or "none"
    print(f"trouble={troubles} operations={OPERATIONS} served={sum(served)} ran_twice={len(twice)}")
    for server in servers:
        server.close()
    return not twice


if __name__ == "__main__":
    sys.exit(play(__file__, scene))

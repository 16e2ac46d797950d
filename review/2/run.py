"""Case 2: controllers are restarted and stand still in turn; keys are forgotten inside their window."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from itertools import count
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BOUNDS, AppServer, Deployment, Machine, main, put_configuration, send_keyed  # noqa: E402

KILLS_S = ((6.1, 1), (12.8, 2))  # when which controller is killed; it is started again half a second later
DOWN_S = 0.5
FIRST_STOP_S = 20.9  # from then on one controller stands still at a time
STOP_EVERY_S = 6.67
STOP_S = 2.55  # the next one follows 4.1 s after this one is back: `catch_up_s` is 4
STOPS = (1, 2, 0, 1, 2, 0, 1, 2)
END_S = 73.0  # when traffic ends and the repeats begin
SEND_EVERY_S = 0.12
REPEAT_AGES_S = (25.0, 55.0)


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Run the case; return the broken rules."""
    record = deployment.record
    servers = [AppServer(deployment, machine) for machine in deployment.sides]
    for server in servers:
        await server.start()
    await put_configuration(deployment, 2, 0)
    await deployment.wait_ready()
    sent: dict[str, float] = {}  # keys, with the time of the first try

    async def until(time_s: float) -> None:
        await asyncio.sleep(max(0.0, time_s - record.now()))

    async def traffic() -> None:
        for number in count():
            if record.now() > END_S:
                return
            key = f"k-{number}"
            sent[key] = record.now()
            machine = random.choice(deployment.sides)
            tasks.add(asyncio.create_task(send_keyed(deployment, machine, key)))
            await asyncio.sleep(SEND_EVERY_S)

    async def stop(machine: Machine) -> None:
        deployment.signal(machine, signal.SIGSTOP)
        await asyncio.sleep(STOP_S)
        deployment.signal(machine, signal.SIGCONT)

    async def disrupt() -> None:
        for time_s, number in KILLS_S:
            await until(time_s)
            deployment.signal(deployment.core[number], signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            deployment.start(deployment.core[number])
        for turn, number in enumerate(STOPS):
            await until(FIRST_STOP_S + turn * STOP_EVERY_S)
            await stop(deployment.core[number])

    tasks: set[asyncio.Task[object]] = set()
    work = [traffic()]
    if trouble:
        work.append(disrupt())
    await asyncio.gather(*work)
    await asyncio.gather(*tasks)
    answered = {key: time_s for server in servers for time_s, _, key in server.runs}
    low, high = REPEAT_AGES_S
    repeats = [key for key, time_s in sent.items() if key in answered and low < record.now() - time_s < high]
    record.add(f"clients send {len(repeats)} keys again")
    for key in repeats[::3]:
        await send_keyed(deployment, random.choice(deployment.sides), key)
    return twice(servers, sent)


def twice(servers: list[AppServer], sent: dict[str, float]) -> list[str]:
    """Return the keys under which two requests ran, the second inside the key's window."""
    window_s = BOUNDS["key_window_s"]
    runs: dict[str, list[tuple[float, str]]] = {}
    for server in servers:
        for time_s, attempt, key in server.runs:
            runs.setdefault(key, []).append((time_s, attempt))
    broken = []
    for key, found in runs.items():
        found.sort()
        late = [(time_s, attempt) for time_s, attempt in found[1:] if time_s < sent[key] + window_s]
        if late:
            broken.append(
                f"TWICE: key {key}, first sent at {sent[key]:.1f} s, "
                f"ran as {found[0][1]} at {found[0][0]:.1f} s and again as {late[0][1]} at {late[0][0]:.1f} s"
            )
    return broken


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))

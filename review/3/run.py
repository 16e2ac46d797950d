"""Case 3: the processes of the core are killed while keyed requests run; their answers are never stored."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import Answer, AppServer, Deployment, main, put_configuration, send_keyed  # noqa: E402

SETTLE_S = 8.0
REQUESTS = 24  # keyed requests at work when the core is killed
WORK_S = 0.6
KILL_AFTER_S = 0.25
DOWN_S = 0.5  # the processes of the core are started again after this time
REPEATS_AFTER_S = (6.0, 12.0, 18.0)  # after the core is back; `contact_ms` is 3,000
PLAIN_REQUESTS = 60


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Run the case; return the broken rules."""
    record = deployment.record
    servers = [AppServer(deployment, machine, WORK_S) for machine in deployment.sides]
    for server in servers:
        await server.start()
    await put_configuration(deployment, 2, 0)
    await deployment.wait_ready()
    await asyncio.sleep(SETTLE_S)
    total = 0
    warm = [send_keyed(deployment, random.choice(deployment.sides), f"w-{n}") for n in range(8)]
    total += len(await asyncio.gather(*warm))

    keys = [f"k-{number}" for number in range(REQUESTS)]
    firsts = [
        asyncio.create_task(send_keyed(deployment, deployment.sides[number % len(deployment.sides)], key))
        for number, key in enumerate(keys)
    ]
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        for machine in deployment.core:
            deployment.signal(machine, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for machine in deployment.core:
            deployment.start(machine)
    answers = dict(zip(keys, await asyncio.gather(*firsts), strict=True))
    total += len(keys)
    served = {key: answer for key, answer in answers.items() if answer is not None and answer.status == 200}
    record.add(f"{len(served)} of {len(keys)} first tries were answered with 200")

    back_s = record.now()
    refused: dict[str, list[int]] = {key: [] for key in served}
    broken = []
    for after_s in REPEATS_AFTER_S:
        await asyncio.sleep(max(0.0, back_s + after_s - record.now()))
        for key, first in served.items():
            answer = await send_keyed(deployment, random.choice(deployment.sides), key)
            total += 1
            if answer is not None and answer.status == 409:
                refused[key].append(answer.status)
            elif answer is not None and answer.status == 200 and not same(first, answer):
                broken.append(f"MIXED: key {key} was answered differently")
    denied = sum(map(len, refused.values()))
    record.add(f"{total} requests, {denied} of them repeats with 409 of keys that are not at work")
    if denied > 5 + total / 500:
        hit = [key for key, found in refused.items() if found]
        broken.append(
            f"DENIED: {denied} requests got 409, over 5 + {total}/500; {len(hit)} keys, such as {hit[0]}"
        )
    return broken


def same(first: Answer, answer: Answer) -> bool:
    """Return whether two answers have one seal and one body."""
    return first.body == answer.body and first.headers.get("server-seal") == answer.headers.get("server-seal")


if __name__ == "__main__":
    sys.exit(main(case, FOLDER, sidecars=3))

"""Case 3: answers of keyed requests over 256 KiB; repeats of their keys get 409 after the run has ended."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import Answer, AppServer, Deployment, main, put_configuration, send_keyed  # noqa: E402

SMALL_ANSWER = 200_000  # with TROUBLE=0
LARGE_ANSWER = 300_000
SETTLE_S = 5.0  # `contact_ms` is 3,000
KEYS = 12
REPEATS_AFTER_S = (3.0, 6.0, 9.0)  # after the last first answer; `key_window_s` is 60


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Run the case; return the broken rules."""
    record = deployment.record
    size = LARGE_ANSWER if trouble else SMALL_ANSWER
    for machine in deployment.sides:
        await AppServer(deployment, machine, answer_bytes=size).start()
    await put_configuration(deployment, 2, 0)
    await deployment.wait_ready()
    await asyncio.sleep(SETTLE_S)
    first: dict[str, Answer] = {}
    total = 0
    for number in range(KEYS):
        key = f"k-{number}"
        answer = await send_keyed(deployment, random.choice(deployment.sides), key)
        total += 1
        if answer is not None and answer.status == 200:
            first[key] = answer
    record.add(f"{len(first)} of {KEYS} first tries were answered with 200, bodies of {size} bytes")

    ended_s = record.now()
    denied: list[str] = []
    broken = []
    for after_s in REPEATS_AFTER_S:
        await asyncio.sleep(max(0.0, ended_s + after_s - record.now()))
        for key, known in first.items():
            answer = await send_keyed(deployment, random.choice(deployment.sides), key)
            total += 1
            if answer is not None and answer.status == 409:
                denied.append(key)
            elif answer is not None and answer.status == 200 and not same(known, answer):
                broken.append(f"MIXED: key {key} was answered differently")
    record.add(f"{total} requests, {len(denied)} of them repeats with 409 of {len(set(denied))} ended keys")
    # Both texts of the rule: over 5 + one in 500 of all requests, and repeats of more than three keys.
    if len(denied) > 5 + total / 500 and len(set(denied)) > 3:
        broken.append(f"DENIED: {len(denied)} of {total} requests got 409, {len(set(denied))} keys")
    return broken


def same(first: Answer, answer: Answer) -> bool:
    """Return whether two answers have one seal and one body."""
    return first.body == answer.body and first.headers.get("server-seal") == answer.headers.get("server-seal")


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))

"""Case 3: a request with a body a little over 64 KiB; the next one on its connection is never answered."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    HOST,
    KEYED_PATH,
    AppServer,
    Deployment,
    call,
    put_configuration,
    read_body,
    read_head,
)
from harness import main as run_case  # noqa: E402

SMALL_BODY = 60_000  # with TROUBLE=0
LARGE_BODY = 100_000  # `max_body_bytes` is 67,108,864
GUARD_TIMER_S = 2.0
DEADLINE_MS = 4000  # of the second requests, over the route's `guard_timer_ms`
WAIT_S = GUARD_TIMER_S + 1.0  # half a second more than the rule grants
CLIENTS = 12
UPLOADS = 1_400  # of the second part; a machine has 4,100 descriptors
AT_ONCE = 12
LATER_REQUESTS = 40
SETTLE_S = 4.0


class Client:
    """A client with one connection, which it keeps for several requests."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.machine = deployment.sides[0]
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def post(self, key: str, size: int, wait_s: float) -> int:
        """Send a keyed request, and return the status of its answer; 0 if none came in time."""
        record = self.deployment.record
        attempt = f"{random.randrange(16**16):016x}"
        lines = [
            f"POST {KEYED_PATH}x HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt}",
            f"Operation-Key: {key}",
            f"Time-Remaining: {DEADLINE_MS}",
            f"Content-Length: {size}",
        ]
        record.add(f"client sends {attempt} key={key}, {size} bytes, at {self.machine.name}")
        status = 0
        problem = ""
        try:
            async with asyncio.timeout(wait_s):
                if self._writer is None or self._reader is None:
                    address = (self.machine.ip, self.deployment.port("outbound"))
                    self._reader, self._writer = await asyncio.open_connection(*address)
                self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + random.randbytes(size))
                first, headers = await read_head(self._reader)
                await read_body(self._reader, headers)
                status = int(first.split()[1])
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            problem = type(error).__name__
        record.add(f"client gets {status or 'no answer'} to {attempt} {problem}")
        return status

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()


async def kept_connections(deployment: Deployment, size: int) -> list[str]:
    """Send a request and then a small one on each of some connections; return what is broken."""
    record = deployment.record

    async def two(number: int) -> tuple[int, int]:
        client = Client(deployment)
        first = await client.post(f"a-{number}", size, WAIT_S)
        second = await client.post(f"b-{number}", 1, WAIT_S)
        client.close()
        return first, second

    statuses = await asyncio.gather(*[two(number) for number in range(CLIENTS)])
    first = [status for status, _ in statuses]
    # Each of these was unanswered at its route's `guard_timer_ms`, and has no answer 0.5 s later.
    silent = [second for _, second in statuses if not second]
    record.add(f"first requests: {first}; second requests with no answer: {len(silent)} of {CLIENTS}")
    if len(silent) < 8 or 4 * len(silent) <= CLIENTS:
        return []
    return [f"CONFIG: {len(silent)} of {CLIENTS} requests have no answer 0.5 s after their guard_timer_ms"]


async def many_uploads(deployment: Deployment, size: int) -> None:
    """Send many requests, each on a connection of its own that is closed afterwards; then small ones."""
    record = deployment.record
    turn = asyncio.Semaphore(AT_ONCE)
    statuses: list[int] = []

    async def one(key: str, body: int) -> None:
        async with turn:
            client = Client(deployment)
            statuses.append(await client.post(key, body, WAIT_S))
            client.close()

    await asyncio.gather(*[one(f"c-{number}", size) for number in range(UPLOADS)])
    record.add(f"uploads answered: {sum(map(bool, statuses))} of {UPLOADS}")
    await asyncio.sleep(SETTLE_S)
    statuses.clear()
    await asyncio.gather(*[one(f"d-{number}", 1) for number in range(LATER_REQUESTS)])
    record.add(f"small requests on new connections answered: {sum(map(bool, statuses))} of {LATER_REQUESTS}")
    address = (deployment.sides[0].ip, deployment.port("ready"))
    with contextlib.suppress(OSError, EOFError):
        answer = await call(address, "GET", "/orchidferry/readiness", {}, b"", 1.0)
        record.add(f"the platform's readiness probe gets {answer.status}")


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Run the case; return the broken rules."""
    for machine in deployment.sides:
        await AppServer(deployment, machine).start()
    await put_configuration(deployment, 2, 0)
    await deployment.wait_ready()
    await asyncio.sleep(SETTLE_S)
    size = LARGE_BODY if trouble else SMALL_BODY
    broken = await kept_connections(deployment, size)
    await many_uploads(deployment, size)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))

"""The bench's own processes: stand-in servers, a claimer of operation keys, a controller whose syncs take
longer.

`python -m orchidferry.testkit.bench.mesh_load servers HOST:PORT...|claims|slow MS`
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import uvloop

from orchidferry.mesh.control.control_client import ControlClient
from orchidferry.mesh.control.endpoints import NodeRecord
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.settings import Bounds, Settings
from orchidferry.mesh.storage.store import Store
from orchidferry.node.garbage_collector import freeze_startup_objects

CLAIM_S = 1.0  # for one key
MAX_S = 30.0  # of one load
LINKED_S = 10.0  # until all controllers are heard and grant a key
TICK_S = 0.001


def key_of(tag: str, number: int) -> str:
    """Keys come in no order, as clients draw them."""
    return hashlib.blake2b(f"{tag} {number}".encode(), digest_size=16).hexdigest()


def nothing() -> None:
    """Nothing is to follow."""


class Claimer:
    """One node's claims, with nothing else of a node."""

    def __init__(self, news: ControlClient) -> None:
        self._news = news
        self._out = 0
        self._then: Callable[[], None] = nothing  # once one is told
        self.took: list[float] = []
        self.said: Counter[str] = Counter()
        self.late: list[float] = []

    def _claim(self, key: str, due: float, answer: bytes) -> None:
        self._out += 1
        self.late.append(max(0.0, time.monotonic() - due))

        def told(outcome: ClaimOutcome, _: Any) -> None:
            self._out -= 1
            self.said[outcome] += 1
            if outcome is ClaimOutcome.GRANTED:
                self.took.append(time.monotonic() - due)
                if answer:
                    self._news.claims.record_answer(key, key, [200, answer, []])
            self._then()

        self._news.claim(key, key, CLAIM_S, told)

    async def run(
        self, tag: str, rate: float, seconds: float, at_once: int, count: int, answer: int
    ) -> dict[str, Any]:
        """At `rate` a second, timed from when each was due; with a rate of 0, `at_once` are always out."""
        self.took = []
        self.said = Counter()
        self.late = []
        kept, began, cpu = b"a" * answer, time.monotonic(), time.process_time()
        ends = began + min(seconds, MAX_S)
        number = 0

        def due() -> None:
            nonlocal number
            now = time.monotonic()
            while now < ends and number < count:
                at = began + number / rate if rate else now
                if at > now or (not rate and self._out >= at_once):
                    break
                number += 1
                self._claim(key_of(tag, number), at, kept)

        self._then = nothing if rate else due
        while time.monotonic() < ends and (number < count or self._out):
            due()
            await asyncio.sleep(TICK_S)
        self._then = nothing
        spent = time.monotonic() - began
        while self._out:
            await asyncio.sleep(TICK_S)
        return {
            "asked": number,
            "granted": self.said[ClaimOutcome.GRANTED],
            "seconds": spent,
            "took": self.took,
            "late": self.late,
            "cpu_s": time.process_time() - cpu,
        }


def claimer_boot(seeds: list[str], port: int, ip: str) -> Settings:
    """As much of a node's settings as its links to controllers ask for."""
    return Settings(
        name=f"claimer-{ip}",
        role="proxy",
        ip=ip,
        zone="sala-a",
        first_start=False,
        listen={},
        internal_port=port,
        seeds=tuple(seeds),
        bounds=Bounds(),
        heartbeat_interval_ms=1_500.0,
        max_file_descriptors=256,
        memory_mb=256.0,
    )


async def claims() -> None:
    """Where the controllers are comes on the first line of the standard input; then one load a line."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    where = json.loads(await reader.readline())
    news = ControlClient(claimer_boot(**where), loop, lambda _: None, lambda *_: None)
    news.start()
    news.publish(NodeRecord(f"claimer-{where['ip']}", news.boot_id, 1, "sala-a", where["ip"], 1, None))
    one = Claimer(news)
    tries = 0
    async with asyncio.timeout(LINKED_S):
        while news.connected_controllers < len(where["seeds"]) or not one.said[ClaimOutcome.GRANTED]:
            await one.run(f"try {where['ip']} {tries}", 100.0, 0.2, 1, 1, 0)
            tries += 1
    freeze_startup_objects()
    print("ready", flush=True)
    while line := await reader.readline():
        print(json.dumps(await one.run(**json.loads(line))), flush=True)


async def servers(addresses: list[tuple[str, int]]) -> None:
    """Answer at once, until the standard input ends."""
    from orchidferry.testkit.bench.forward import serve

    await serve(addresses)


def slow(more_s: float) -> int:
    """A controller each of whose commits takes so much longer, in the thread of its disk as a sync does."""
    from orchidferry.mesh.__main__ import main

    commit = Store._commit

    def later(self: Store, writes: Any) -> list[bool] | None:
        done = commit(self, writes)
        time.sleep(more_s)
        return done

    Store._commit = later  # type: ignore[method-assign]
    return main(["controller"])


if __name__ == "__main__":
    if sys.argv[1] == "servers":
        uvloop.run(
            servers([(host, int(port)) for host, _, port in (a.rpartition(":") for a in sys.argv[2:])])
        )
    elif sys.argv[1] == "claims":
        uvloop.run(claims())
    else:
        sys.exit(slow(float(sys.argv[2]) / 1000.0))

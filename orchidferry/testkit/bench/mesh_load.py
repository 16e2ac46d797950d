"""Processes of the benchmark: stand-in servers, a claimer of operation keys, a controller with slow commits.

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
from orchidferry.testkit.bench.claim_load import ClaimerSetup, ClaimLoad, ClaimReport, encode_line

CLAIM_TIMEOUT_S = 1.0  # time limit of one claim
MAX_LOAD_S = 30.0  # duration at which a load ends in any case
CONNECTED_S = 10.0  # time-out until all controllers are connected and a key is granted
TICK_S = 0.001  # resolution of the scheduled times
ZONE = "sala-a"


def key_of(tag: str, number: int) -> str:
    """Return a key of a load; keys are unordered, like the random ones of clients."""
    return hashlib.blake2b(f"{tag} {number}".encode(), digest_size=16).hexdigest()


def _do_nothing() -> None:
    """Make no further claim after an outcome."""


class Claimer:
    """Makes claims like one node, without the rest of a node."""

    def __init__(self, control_client: ControlClient) -> None:
        self._control_client = control_client
        self._in_flight = 0
        self._on_outcome: Callable[[], None] = _do_nothing
        self.outcomes: Counter[ClaimOutcome] = Counter()
        self._took_s: list[float] = []
        self._late_s: list[float] = []

    async def run(self, load: ClaimLoad) -> ClaimReport:
        """Make the claims of a load, and wait for all outcomes; latencies count from the scheduled times."""
        self._took_s = []
        self._late_s = []
        self.outcomes = Counter()
        body = b"a" * load.stored_bytes
        started_s = time.monotonic()
        cpu_s = time.process_time()
        end_s = started_s + min(load.seconds, MAX_LOAD_S)
        made = 0

        def claim_due() -> None:
            nonlocal made
            now = time.monotonic()
            while now < end_s and made < load.max_claims:
                due_s = started_s + made / load.rate if load.rate else now
                if due_s > now or (not load.rate and self._in_flight >= load.max_concurrent):
                    break
                made += 1
                self._claim(key_of(load.tag, made), due_s, body)

        self._on_outcome = _do_nothing if load.rate else claim_due
        while time.monotonic() < end_s and (made < load.max_claims or self._in_flight):
            claim_due()
            await asyncio.sleep(TICK_S)
        self._on_outcome = _do_nothing
        seconds = time.monotonic() - started_s
        while self._in_flight:
            await asyncio.sleep(TICK_S)
        granted = self.outcomes[ClaimOutcome.GRANTED]
        cpu_s = time.process_time() - cpu_s
        return ClaimReport(made, granted, seconds, self._took_s, self._late_s, cpu_s)

    def _claim(self, key: str, due_s: float, body: bytes) -> None:
        self._in_flight += 1
        self._late_s.append(max(0.0, time.monotonic() - due_s))

        def on_outcome(outcome: ClaimOutcome, _: Any) -> None:
            self._in_flight -= 1
            self.outcomes[outcome] += 1
            if outcome is ClaimOutcome.GRANTED:
                self._took_s.append(time.monotonic() - due_s)
                if body:
                    self._control_client.claims.record_answer(key, key, [200, body, []])
            self._on_outcome()

        self._control_client.claim(key, key, CLAIM_TIMEOUT_S, on_outcome)


def claimer_settings(setup: ClaimerSetup) -> Settings:
    """Return the settings of a node that its links to controllers need."""
    return Settings(
        name=f"claimer-{setup.ip}",
        role="proxy",
        ip=setup.ip,
        zone=ZONE,
        first_start=False,
        listen={},
        internal_port=setup.port,
        seeds=tuple(setup.seeds),
        bounds=Bounds(),
        heartbeat_interval_ms=1_500.0,
        max_file_descriptors=256,
        memory_mb=256.0,
    )


async def run_claimer() -> None:
    """Read the setup from the first line of standard input, then run a load for each further line."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    setup = ClaimerSetup(**json.loads(await reader.readline()))
    settings = claimer_settings(setup)
    client = ControlClient(settings, loop, lambda _: None, lambda *_: None)
    client.start()
    client.publish(NodeRecord(settings.name, client.boot_id, 1, ZONE, setup.ip, 1, None))
    claimer = Claimer(client)
    attempts = 0
    async with asyncio.timeout(CONNECTED_S):
        while client.connected_controllers < len(setup.seeds) or not claimer.outcomes[ClaimOutcome.GRANTED]:
            await claimer.run(ClaimLoad(f"try {setup.ip} {attempts}", 100.0, 0.2, 1, 1))
            attempts += 1
    freeze_startup_objects()
    print("ready", flush=True)
    while line := await reader.readline():
        report = await claimer.run(ClaimLoad(**json.loads(line)))
        print(encode_line(report).decode(), end="", flush=True)


async def run_servers(addresses: list[tuple[str, int]]) -> None:
    """Answer every request at once, until standard input ends."""
    from orchidferry.testkit.bench.forward_bench import serve

    await serve(addresses)


def run_slow_controller(extra_s: float) -> int:
    """Run a controller whose commits take `extra_s` longer, in its disk thread, as with a slow sync."""
    from orchidferry.mesh.__main__ import main

    commit = Store._commit

    def slow_commit(self: Store, writes: Any) -> list[bool] | None:
        results = commit(self, writes)
        time.sleep(extra_s)
        return results

    Store._commit = slow_commit  # type: ignore[method-assign]
    return main(["controller"])


def main(arguments: list[str]) -> int:
    """Run the process that the first argument names.

    :returns: its exit status.
    """
    process_kind, *rest = arguments
    if process_kind == "servers":
        addresses = [(host, int(port)) for host, _, port in (text.rpartition(":") for text in rest)]
        uvloop.run(run_servers(addresses))
        return 0
    if process_kind == "claims":
        uvloop.run(run_claimer())
        return 0
    return run_slow_controller(float(rest[0]) / 1000.0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

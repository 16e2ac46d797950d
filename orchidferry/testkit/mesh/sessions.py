"""Clients that each stay with one machine, whatever its readiness, and keep its connections in use.

They show whether a planned restart of a proxy cuts requests on connections that are still in use.
"""

from __future__ import annotations

import asyncio
from random import Random

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.clients import ClientRequest, Clients, operation_key
from orchidferry.testkit.mesh.context import RunContext
from orchidferry.testkit.mesh.day import KINDS, Machine
from orchidferry.testkit.wire import Pool

RECEIVE_BUFFER_BYTES = 4096
"""Size of a socket's receive buffer: small, so that the transfer of a large response takes a while."""

READ_PAUSE_S = 0.02
"""The pause between reading the first bytes of a response and the rest."""

FRESH_SHARE = 0.3
"""The fraction of requests sent on a new connection, while an earlier connection stays idle."""

DOWNLOAD_SHARE = 0.5
"""The fraction of requests that are downloads."""

MAX_PAUSE_S = 0.06
"""The longest pause between two requests of a client."""

RECONNECT_S = 0.02
"""The pause after a connection could not be opened."""

DOWNLOAD = next(kind for kind in KINDS if kind.route_type == "download")
OTHERS = [kind for kind in KINDS if kind.rate and kind is not DOWNLOAD]


class Sessions:
    """All clients of a run that stay with one machine each."""

    def __init__(
        self, context: RunContext, clients: Clients, machines: list[Machine], per_machine: int
    ) -> None:
        """Create the clients; `play` starts them.

        :param per_machine: the number of clients at each machine
        """
        self._context = context
        self._clients = clients
        self._machines = machines
        self._per_machine = per_machine

    async def play(self, until: float) -> None:
        """Send requests, each client one at a time.

        :param until: when the clients stop, on the run's clock; requests in flight are waited for
        """
        await asyncio.gather(
            *(
                self._session(machine, f"s{machine.number}-{number}", until)
                for machine in self._machines
                for number in range(self._per_machine)
            )
        )

    async def _session(self, machine: Machine, name: str, until: float) -> None:
        rng = Random(seeded_random.integer(self._context.seed, "session", name))
        pool = self._context.separate_pool(machine, RECEIVE_BUFFER_BYTES, READ_PAUSE_S)
        number = 0
        while self._context.now() < until:
            number += 1
            how = await self._request(machine, f"{name}-{number}", rng, pool)
            await asyncio.sleep(RECONNECT_S if how == "refused" else rng.uniform(0.0, MAX_PAUSE_S))

    async def _request(self, machine: Machine, root: str, rng: Random, pool: Pool) -> str:
        """Send a request without retries; returns `Outcome.how`."""
        kind = DOWNLOAD if rng.random() < DOWNLOAD_SHARE else rng.choice(OTHERS)
        now = self._context.now()
        key = operation_key(self._context.seed, root) if kind.route_type == "keyed" else ""
        request = ClientRequest(kind, root, root, key, now, now + kind.deadline_ms / 1000.0, False)
        body = b"" if kind.repeatable else self._clients.body(root)
        sent = self._clients.attempt(request, 0, machine, body)
        fresh = rng.random() < FRESH_SHARE
        outcome = await self._context.send(machine, sent, body, False, fresh, pool)
        return outcome.how

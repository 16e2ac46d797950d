"""Callers that stay at one machine, ready or not, and use its connections until its process is gone."""

from __future__ import annotations

import asyncio
from random import Random

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.clients import ClientRequest, Clients
from orchidferry.testkit.mesh.context import RunContext
from orchidferry.testkit.mesh.day import KINDS, Machine
from orchidferry.testkit.wire import Pool

RECEIVE_BUFFER_BYTES = 4096
"""Small, so that a response of some size is on its way for a while."""

READ_PAUSE_S = 0.02
"""Between the first bytes of a response and the rest."""

FRESH_SHARE = 0.3
"""Of requests, those on a new connection, beside which an earlier one stays idle."""

DOWNLOAD_SHARE = 0.5
MAX_PAUSE_S = 0.06
"""Between two requests of a caller."""

RECONNECT_S = 0.02
"""After a connection could not be opened."""

DOWNLOAD = next(kind for kind in KINDS if kind.route_type == "download")
OTHERS = [kind for kind in KINDS if kind.rate and kind is not DOWNLOAD]


class Sessions:
    """All such callers of a run."""

    def __init__(
        self, context: RunContext, clients: Clients, machines: list[Machine], per_machine: int
    ) -> None:
        """Create callers that have not begun.

        :param per_machine: how many there are at each machine
        """
        self._context = context
        self._clients = clients
        self._machines = machines
        self._per_machine = per_machine

    async def play(self, until: float) -> None:
        """Make requests, each caller one at a time.

        :param until: on the run's clock; what is open then is waited for
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
        """Make a request once; returns how it ended."""
        kind = DOWNLOAD if rng.random() < DOWNLOAD_SHARE else rng.choice(OTHERS)
        now = self._context.now()
        key = f"k-{root}" if kind.route_type == "keyed" else ""
        request = ClientRequest(kind, root, root, key, now, now + kind.deadline_ms / 1000.0, False)
        body = b"" if kind.repeatable else self._clients.body(root)
        sent = self._clients.attempt(request, 0, machine, body)
        fresh = rng.random() < FRESH_SHARE
        outcome = await self._context.send(machine, sent, body, False, fresh, pool)
        return outcome.how

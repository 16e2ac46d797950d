"""Deeds that are planned work: a server leaves, configurations change."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.configuration import build, spoil
from orchidferry.testkit.mesh.day import Trouble
from orchidferry.testkit.mesh.deeds import FIRST, LOSER, SECOND, SPOILT, Deed
from orchidferry.testkit.mesh.servers import Server

if TYPE_CHECKING:
    from orchidferry.testkit.mesh.run import Play


def _server(play: Play, trouble: Trouble) -> Server:
    """The one that is named, or one of the largest service."""
    if trouble.whom:
        return play.servers[trouble.whom]
    some = [s for s in play.servers.values() if s.machine.service == play.sidecars[0].service]
    return some[int(draws.uniform(play.seed, "drain", high=len(some)))]


async def _drain(play: Play, trouble: Trouble) -> str:
    """A server leaves as planned; its machine's process is told to end after it."""
    server = _server(play, trouble)
    await server.leave()
    node = play.nodes[server.machine.name]
    await node.stop()
    play.platform.gone.add(server.machine.name)
    return server.machine.name


async def _change(play: Play, trouble: Trouble) -> str:
    """The configuration changes; another operator builds on the version before it, and comes too late."""
    apply = play.day.bounds.config_apply_ms / 1000.0
    put = await play.operator.put(build(play.day, play.seed, SECOND, True), FIRST, True, 8.0)
    await play.clients.probes()
    if put.acked is not None:
        await play.other.put(build(play.day, play.seed, LOSER, False), FIRST, True, 3.0)
    await asyncio.sleep(apply + 0.2)
    await play.clients.probes()
    return f"{FIRST} to {SECOND}"


async def _bad_change(play: Play, trouble: Trouble) -> str:
    """An invalid configuration is sent."""
    wrong = spoil(build(play.day, play.seed, SPOILT, True), SPOILT)
    await play.other.put(wrong, SECOND, False, 3.0)
    return str(SPOILT)


PLANNED_DEEDS: dict[str, Deed] = {"drain": _drain, "change": _change, "bad-change": _bad_change}

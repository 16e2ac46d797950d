"""Fingerprints of the states of a small world; states with equal fingerprints have the same futures.

All objects that the node, its balancer and its peers hold are traversed, in the order in which they are held:
fields of the classes of `orchidferry.balancing`, `orchidferry.node` and this package, containers, coroutines
with their positions and locals, futures, scheduled callbacks, and timers with their due times. Objects are
numbered in the order in which they are met, so that equal object graphs have equal fingerprints.

Left out, and why that is sound:

- the history of the clock; the current time and all stored times are included, even if nothing reads them;
- httptools parsers, whose state is in C: when the loop is idle, only a client's request that arrives in two
  parts is half parsed, and its missing part is included;
- the story, observations that no property compares with any more, and counts for operators (`Metrics`), on
  which no decision depends;
- the modules' code, loggers, and the wrapper around `Balancer.handle`.

Random generators are left out: here they always return 0.5.
"""

from __future__ import annotations

import asyncio
import enum
import functools
import hashlib
import random
import types
from collections import deque
from typing import Any

from orchidferry.testkit.explore.loop import VirtualTimeLoop
from orchidferry.testkit.explore.world import World

OURS = ("orchidferry.balancing", "orchidferry.node", "orchidferry.testkit.explore")
SKIPPED = frozenset(("Metrics", "Logger", "HttpRequestParser", "HttpResponseParser", "ErrorLines", "Context"))
SKIPPED_FIELDS = frozenset(("handle",))  # the wrapper around `Balancer.handle`


class _ObjectGraph:
    """The description of an object graph, from which its fingerprint is computed."""

    def __init__(self) -> None:
        self.out: list[str] = []
        self._met: dict[int, int] = {}
        self._keep: list[Any] = []  # keeps the objects that were met alive, so that their ids stay unique

    def add(self, value: Any) -> None:
        out = self.out
        match value:
            case None | bool() | int() | float() | str() | bytes():
                out.append(repr(value))
                return
            case enum.Enum():
                out.append(str(value))
                return
            case bytearray():
                out.append(repr(bytes(value)))
                return
        met = self._met.get(id(value))
        if met is not None:
            out.append(f"#{met}")
            return
        self._met[id(value)] = len(self._met)
        self._keep.append(value)
        match value:
            case tuple() | list() | deque():
                out.append("[")
                for one in value:
                    self.add(one)
                out.append("]")
            case dict():
                out.append("{")
                for key, one in value.items():
                    self.add(key)
                    self.add(one)
                out.append("}")
            case set() | frozenset():
                out.append("<")
                for text in sorted(map(_plain, value)):
                    out.append(text)
                out.append(">")
            case _:
                self._object(value)

    def _object(self, value: Any) -> None:
        kind = type(value)
        self.out.append(kind.__name__)
        match value:
            case types.FunctionType():
                self.out.append(value.__qualname__)
                for cell in value.__closure__ or ():
                    self.add(cell.cell_contents)
            case types.MethodType():
                self.out.append(value.__func__.__qualname__)
                self.add(value.__self__)
            case functools.partial():
                self.add(value.func)
                self.add(value.args)
            case asyncio.Task():
                self._coroutine(value.get_coro())
                self.out.append(str(value.done()))
            case asyncio.Future():
                self.out.append(str(value.done()))
            case asyncio.TimerHandle():
                self.out.append(f"{value.when()!r} {value.cancelled()}")
            case asyncio.Handle() | random.Random() | types.ModuleType() | type():
                pass
            case VirtualTimeLoop():
                pass  # its timers and transports are added in `fingerprint`
            case _ if kind.__name__ in SKIPPED:
                pass
            case _ if kind.__module__.startswith(OURS) or kind.__module__.startswith("asyncio"):
                for name, one in _fields(value):
                    if name not in SKIPPED_FIELDS:
                        self.out.append(name)
                        self.add(one)

    def _coroutine(self, coro: Any) -> None:
        while coro is not None:
            frame = getattr(coro, "cr_frame", None)
            self.out.append(getattr(coro, "__qualname__", type(coro).__name__))
            if frame is None:
                return
            self.out.append(str(frame.f_lasti))
            for name, value in frame.f_locals.items():
                if name not in ("__class__",):
                    self.out.append(name)
                    self.add(value)
            coro = getattr(coro, "cr_await", None)


def _plain(value: Any) -> str:
    """Return the text of a set's member: its value, or else its class and connection number."""
    if isinstance(value, str | int | bytes | tuple | enum.Enum):
        return repr(value)
    transport = getattr(value, "_transport", None)
    return f"{type(value).__name__}{getattr(transport, 'number', '')}"


def _fields(value: Any) -> list[tuple[str, Any]]:
    found = list(getattr(value, "__dict__", {}).items())
    for kind in type(value).__mro__:
        slots = kind.__dict__.get("__slots__", ())
        for name in (slots,) if isinstance(slots, str) else slots:
            if name not in ("__weakref__", "__dict__") and hasattr(value, name):
                found.append((name, getattr(value, name)))
    return found


def fingerprint(world: World) -> int:
    """Return a 64-bit fingerprint of the world's state while its loop is idle; never 0.

    Two different states have the same fingerprint by chance about once in some billions of cases.
    """
    graph = _ObjectGraph()
    loop = world.loop
    graph.add((world.events_left, world.late_waits_left, repr(loop.now), world.index))
    graph.add(
        (
            world.retries_denied,
            world.reconfigured,
            world.full_list_requested,
            tuple(client.unsent for client in world.clients),
        )
    )
    graph.add(
        [
            (
                c.number,
                c.disconnected,
                c.sent_s,
                tuple(status for _, status in c.answers),
                c.closed_s,
                c.transport,
            )
            for c in world.clients
        ]
    )
    server_requests = [
        (request.client, request.received_s, request.server, request.transport.number, request.ended)
        for request in world.server_requests
    ]
    graph.add(sorted(server_requests))
    graph.add(world.listed)
    graph.add(world.cold_since_s)
    graph.add([world.discovery_transport, world.stopping])
    graph.add(sorted((transport.number, data) for transport, data in world.delayed_input))
    graph.add(world.node)
    graph.add(sorted((dial.address, dial.done.done()) for dial in loop.dials))
    graph.add(sorted(loop.transports, key=lambda transport: transport.number))
    timers = sorted((when, serial, handle) for when, serial, handle in loop.timers if not handle.cancelled())
    for when, _, handle in timers:
        graph.out.append(repr(when))
        graph.add(handle._callback)  # type: ignore[attr-defined]
        graph.add(tuple(handle._args))
    digest = hashlib.blake2b("\0".join(graph.out).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") or 1

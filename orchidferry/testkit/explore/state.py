"""A state of the small world as a fingerprint: equal ones have the same futures.

All that node, module and peers hold is walked, in the order in which it is held: fields of the classes of
`orchidferry.balancing`, `orchidferry.node` and this package, containers, coroutines with their place and
locals, futures,
callbacks that wait and timers with their times. Objects are named by the order in which they are met, so that
two worlds that hold the same in the same way are one.

Left out, and why that is sound:

- times that have passed with no one to read them stand in it all the same; nothing of the clock is left out
  but its history;
- parsers of httptools, whose state is in C: at rest no message is half read here, as peers send whole ones;
- the explorer's own story, what the properties have seen beyond what they still compare with, and counts for
  operators (`Metrics`), which nothing decides by;
- the modules' code, loggers, and the handler that is wrapped round the module.

Chance is not in it: here it always falls in the middle.
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

from orchidferry.testkit.explore.loop import Loop
from orchidferry.testkit.explore.world import World

OURS = ("orchidferry.balancing", "orchidferry.node", "orchidferry.testkit.explore")
SKIPPED = frozenset(("Metrics", "Logger", "HttpRequestParser", "HttpResponseParser", "ErrorLines", "Context"))
SKIPPED_FIELDS = frozenset(("handle",))  # of the module: the wrapper round it


class _Walk:
    def __init__(self) -> None:
        self.out: list[str] = []
        self._met: dict[int, int] = {}
        self._keep: list[Any] = []  # ids stay those of what was met

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
            case Loop():
                pass  # its timers and wires are added by themselves
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
    """Of a set's members: those that are hashed by their value, or else by kind and number."""
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
    """64 bits of the world's state at rest. Two that differ share one by chance once in some billions."""
    walk = _Walk()
    loop = world.loop
    walk.add((world.left_events, world.left_late, repr(loop.now), world.index))
    walk.add((world.closed_loop, world.hung_up, world.whole, tuple(client.rest for client in world.clients)))
    walk.add(
        [
            (c.number, c.left, c.asked_s, tuple(status for _, status in c.answers), c.closed_s, c.wire)
            for c in world.clients
        ]
    )
    carried = [(one.client, one.got_s, one.server, one.wire.number, one.ended) for one in world.carried]
    walk.add(sorted(carried))
    walk.add(world.told)
    walk.add(world.cold_s)
    walk.add([world.watch, world.stopping])
    walk.add(sorted((wire.number, data) for wire, data in world.crossing))
    walk.add(world.node)
    walk.add(sorted((dial.address, dial.done.done()) for dial in loop.dials))
    walk.add(sorted(loop.wires, key=lambda wire: wire.number))
    timers = sorted((when, serial, handle) for when, serial, handle in loop.timers if not handle.cancelled())
    for when, _, handle in timers:
        walk.out.append(repr(when))
        walk.add(handle._callback)  # type: ignore[attr-defined]
        walk.add(tuple(handle._args))
    digest = hashlib.blake2b("\0".join(walk.out).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") or 1

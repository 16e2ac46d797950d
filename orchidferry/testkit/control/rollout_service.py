"""The operators' side of the stand-in service: push a version to some nodes first, and ask what it holds.

Two calls over gRPC at the service's own address, JSON each way: `Push` (answers with a line for each step,
until the rollout is over) and `Held`. What is decided stands in `orchidferry.balancing.rollout`. A rollout
belongs to the call that began it: once that has gone, the version is taken back.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator
from typing import Any

import grpc

from orchidferry.balancing.rollout import TICK_MS, Plan, Rollout
from orchidferry.balancing.rollout_events import (
    Abort,
    Accept,
    NodeAnswered,
    NodeMetrics,
    NodeObserved,
    Offer,
    Report,
    Start,
    State,
    StreamsChanged,
    Tick,
    Withdraw,
)
from orchidferry.balancing.settings import SettingsFormatError, get, get_optional
from orchidferry.node.address import Address, parse_address
from orchidferry.node.control.messages import TYPES
from orchidferry.testkit.control.files import Version, VersionFileError, from_form
from orchidferry.testkit.control.service import Held, NodeAnswer, Service
from orchidferry.testkit.wire import get as ask

NAME = "orchidferry.standin.v1.Rollout"
DOOR_S = 1.0  # for a door's answer
MAX_DOORS = 10_000
AT_ONCE = 64
MAX_LINES = 10_000  # of one rollout that wait to be read


def now_ms() -> float:
    """The time on the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0


def _plain(data: bytes) -> Any:
    return json.loads(data)


def _bytes(value: Any) -> bytes:
    return json.dumps(value).encode()


def held_of(new: Version, base: Version | None, service: Service) -> Held:
    """A version as the service's resources; what is as it was keeps the version that it came with."""
    found: Held = {url: {} for url in TYPES.values()}
    for key, spec in new.content.items():
        part, name = key
        old = service.resources[TYPES[part]].get(name)
        same = old is not None and base is not None and base.content.get(key) == spec
        found[TYPES[part]][name] = old if old is not None and same else (new.version, new.packed[key])
    return found


async def read_door(where: Address) -> tuple[str, NodeMetrics | None]:
    """A node's name and figures, as its door tells them; ('', None) if it says nothing that can be read."""

    async def page(target: str) -> tuple[int, bytes]:
        found = await ask(where, target, DOOR_S)
        return (found.status, found.body) if found.how == "answer" else (0, b"")

    status, body = await page("/-/control")
    try:
        name = str(json.loads(body)["node"]) if status == 200 else ""
    except (ValueError, KeyError, TypeError):
        name = ""
    ready, _ = await page("/-/ready")
    status, body = await page("/-/metrics")
    if not name or status != 200:
        return name, None
    good = failed = 0
    for line in body.decode("ascii", "replace").splitlines():
        key, _, value = line.partition("=")
        if key.startswith("node.calls.") and value.isdigit():
            good += int(value) if key.endswith(".success") else 0
            failed += int(value) if key.endswith((".failure", ".busy")) else 0
    return name, NodeMetrics(ready == 200, good, failed)


class RolloutService:
    """Takes pushes, one at a time, to the nodes of a stand-in service."""

    def __init__(self, service: Service, base: Version) -> None:
        self._service = service
        self.base = base
        self.rollout: Rollout | None = None
        self._new: Held = {}
        self._pushed: Version | None = None
        self._lines: asyncio.Queue[dict[str, Any]] = asyncio.Queue(MAX_LINES)
        service.resources = held_of(base, None, service)
        service.label = base.version
        service.on_answer = self._on_answer
        service.handlers = (*service.handlers, self._handler())

    def _handler(self) -> Any:
        methods = {
            "Push": grpc.unary_stream_rpc_method_handler(self.push, _plain, _bytes),
            "Held": grpc.unary_unary_rpc_method_handler(self.held, _plain, _bytes),
        }
        return grpc.method_handlers_generic_handler(NAME, methods)

    async def held(self, _: Any, context: Any) -> dict[str, Any]:
        """What the service holds, the nodes with a stream, and the rollout that is on."""
        return {
            "content": self.base.form(),
            "nodes": sorted({line.node for line in self._service.lines}),
            "rollout": self.rollout.status() if self.rollout is not None else None,
        }

    async def push(self, request: Any, context: Any) -> AsyncIterator[dict[str, Any]]:
        """Take a version to the nodes, a wave at a time; a line for each step."""
        try:
            new, plan, doors = self._read(request)
        except (VersionFileError, SettingsFormatError, ValueError, AttributeError, TypeError) as problem:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(problem)[:500])
            return
        if self.rollout is not None and not self.rollout.ended:
            busy = f"a push of {self.rollout.plan.version} is on"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, busy)
        rollout = self.rollout = Rollout(plan)
        self._pushed, self._new = new, held_of(new, self.base, self._service)
        self._lines = asyncio.Queue(MAX_LINES)
        looking = asyncio.get_running_loop().create_task(self._look(rollout, doors))
        try:
            while not rollout.ended or not self._lines.empty():
                yield await self._lines.get()
        finally:
            if not rollout.ended:  # whoever pushed has gone: nobody would see how it goes on
                self._do(rollout, Abort("whoever pushed it has gone"))
            else:
                looking.cancel()

    def _read(self, request: Any) -> tuple[Version, Plan, list[Address]]:
        new = from_form(get(request, "file", dict))
        if new.version == self.base.version:
            raise VersionFileError(f"'version': {new.version!r} is what the service holds")
        doors = [parse_address(one) for one in get_optional(request, "doors", list, [])]
        if len(doors) > MAX_DOORS:
            raise VersionFileError(f"{len(doors)} doors, {MAX_DOORS} at most")
        plan = Plan(
            new.version,
            get(request, "canary", int),
            float(request.get("widen", 4.0)),
            float(request.get("watch_s", 10.0)) * 1000.0,
            int(request.get("least", 20)),
            bool(doors),
        )
        return new, plan, doors

    def _affected(self) -> tuple[str, ...]:
        """The nodes with a stream that the version means something else to."""
        service = self._service
        return tuple(
            sorted(
                {
                    line.node
                    for line in service.lines
                    if service.wanted(line, self._new) != service.wanted(line, service.resources)
                }
            )
        )

    async def _look(self, rollout: Rollout, doors: list[Address]) -> None:
        gate = asyncio.Semaphore(AT_ONCE)
        names: dict[Address, str] = {}

        async def read(where: Address) -> None:
            async with gate:
                name, reading = await read_door(where)
            names[where] = name or names.get(where, "")
            if names[where]:
                self._do(rollout, NodeObserved(names[where], reading))

        await asyncio.gather(*(read(where) for where in doors))
        unknown = [f"{at[0]}:{at[1]}" for at in doors if not names.get(at)]
        if unknown:
            self._tell(rollout.state, f"{len(unknown)} doors say nothing, such as {unknown[0]}")
        self._do(rollout, Start(self._affected()))
        while not rollout.ended:
            await asyncio.sleep(TICK_MS / 1000.0)
            self._do(rollout, StreamsChanged(frozenset(line.node for line in self._service.lines)))
            await asyncio.gather(*(read(where) for where in doors))
            self._do(rollout, Tick())

    def _on_answer(self, answer: NodeAnswer) -> None:
        if self.rollout is not None and answer.label:
            self._do(self.rollout, NodeAnswered(answer.node, answer.label, answer.reason))

    def _tell(self, state: State, text: str) -> None:
        with contextlib.suppress(asyncio.QueueFull):  # nobody reads any more
            self._lines.put_nowait({"state": state.value, "text": text})

    def _do(self, rollout: Rollout, event: Any) -> None:
        service = self._service
        for action in rollout.handle(event, now_ms()):
            match action:
                case Offer():
                    service.views |= dict.fromkeys(action.nodes, self._new)
                    service.label = rollout.plan.version
                case Withdraw():
                    for node in action.nodes:
                        service.views.pop(node, None)
                    service.label = self.base.version
                case Accept():
                    assert self._pushed is not None
                    service.resources = self._new
                    self.base = self._pushed
                    service.views.clear()
                case Report():
                    self._tell(action.state, action.text)
                    continue
            service.update()


async def call(where: Address, method: str, request: dict[str, Any], wait_s: float) -> AsyncIterator[Any]:
    """One call of the service, its answers one by one; `grpc.RpcError` with its reason where it refuses."""
    async with grpc.aio.insecure_channel(f"{where[0]}:{where[1]}") as channel:
        path = f"/{NAME}/{method}"
        if method == "Push":
            stream = channel.unary_stream(path, _bytes, _plain)(request, timeout=wait_s)
            async for found in stream:
                yield found
        else:
            yield await channel.unary_unary(path, _bytes, _plain)(request, timeout=wait_s)

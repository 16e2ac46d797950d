"""The operators' interface of the stand-in service: roll out a version, and fetch the current one.

Two gRPC methods at the address of the service, with messages in JSON: `Push` starts a rollout and streams a
message for each of its steps until it ends; `Held` returns the current version. All decisions are made by
`orchidferry.balancing.rollout`. A rollout belongs to the call that started it: if the call ends early, the
version is rolled back.
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
from orchidferry.testkit.control.files import Version, VersionFileError, version_from_json
from orchidferry.testkit.control.service import NodeAnswer, ResourcesByType, Service
from orchidferry.testkit.wire import get as http_get

NAME = "orchidferry.standin.v1.Rollout"
ADMIN_TIMEOUT_S = 1.0  # time limit for a node to answer a request at its admin address
MAX_ADMIN_ADDRESSES = 10_000
MAX_CONCURRENT_REQUESTS = 64
MAX_UNREAD_STEPS = 10_000  # steps of one rollout that the client has not read yet


def now_ms() -> float:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0


def _decode(data: bytes) -> Any:
    return json.loads(data)


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()


def resources_of(new: Version, current: Version | None, service: Service) -> ResourcesByType:
    """Return the resources of a new version.

    :param current: the version that the service has; None: it has none yet.
    :returns: the resources; those that are unchanged since the current version keep their own version, so
        that they are not sent again.
    """
    resources: ResourcesByType = {url: {} for url in TYPES.values()}
    for key, spec in new.content.items():
        part, name = key
        old = service.resources[TYPES[part]].get(name)
        same = old is not None and current is not None and current.content.get(key) == spec
        resources[TYPES[part]][name] = old if old is not None and same else (new.version, new.packed[key])
    return resources


async def read_admin_pages(address: Address) -> tuple[str, NodeMetrics | None]:
    """Read the name and the metrics of the node at an admin address.

    :returns: the node's name, or an empty text if it can't be read; and its metrics, or None if they or the
        name can't be read.
    """

    async def page(target: str) -> tuple[int, bytes]:
        outcome = await http_get(address, target, ADMIN_TIMEOUT_S)
        return (outcome.status, outcome.body) if outcome.how == "answer" else (0, b"")

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
    """Rolls versions out to the nodes of a stand-in service, one at a time."""

    def __init__(self, service: Service, current: Version) -> None:
        self._service = service
        self.current = current
        self.rollout: Rollout | None = None
        self._new_resources: ResourcesByType = {}
        self._new_version: Version | None = None
        self._steps: asyncio.Queue[dict[str, Any]] = asyncio.Queue(MAX_UNREAD_STEPS)
        service.resources = resources_of(current, None, service)
        service.label = current.version
        service.on_answer = self._on_answer
        service.handlers = (*service.handlers, self._handler())

    def _handler(self) -> Any:
        methods = {
            "Push": grpc.unary_stream_rpc_method_handler(self.push, _decode, _encode),
            "Held": grpc.unary_unary_rpc_method_handler(self.held, _decode, _encode),
        }
        return grpc.method_handlers_generic_handler(NAME, methods)

    async def held(self, _: Any, context: Any) -> dict[str, Any]:
        """Return the current version, the nodes that have a stream, and the status of the newest rollout."""
        return {
            "content": self.current.to_json(),
            "nodes": sorted({stream.node for stream in self._service.streams}),
            "rollout": self.rollout.status() if self.rollout is not None else None,
        }

    async def push(self, request: Any, context: Any) -> AsyncIterator[dict[str, Any]]:
        """Roll a version out to the nodes, wave by wave; yield a message for each step."""
        try:
            new, plan, admin_addresses = self._read(request)
        except (VersionFileError, SettingsFormatError, ValueError, AttributeError, TypeError) as problem:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(problem)[:500])
            return
        if self.rollout is not None and not self.rollout.ended:
            busy = f"a push of {self.rollout.plan.version} is in progress"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, busy)
        rollout = self.rollout = Rollout(plan)
        self._new_version, self._new_resources = new, resources_of(new, self.current, self._service)
        self._steps = asyncio.Queue(MAX_UNREAD_STEPS)
        observing = asyncio.get_running_loop().create_task(self._observe(rollout, admin_addresses))
        try:
            while not rollout.ended or not self._steps.empty():
                yield await self._steps.get()
        finally:
            if not rollout.ended:  # the client has disconnected, so no one would see the rollout fail
                self._handle(rollout, Abort("the client that pushed it has gone"))
            else:
                observing.cancel()

    def _read(self, request: Any) -> tuple[Version, Plan, list[Address]]:
        new = version_from_json(get(request, "file", dict))
        if new.version == self.current.version:
            raise VersionFileError(f"'version': {new.version!r} is the version that the service has")
        admin_addresses = [parse_address(text) for text in get_optional(request, "doors", list, [])]
        if len(admin_addresses) > MAX_ADMIN_ADDRESSES:
            raise VersionFileError(f"{len(admin_addresses)} admin addresses, {MAX_ADMIN_ADDRESSES} at most")
        plan = Plan(
            new.version,
            get(request, "canary", int),
            float(request.get("widen", 4.0)),
            float(request.get("watch_s", 10.0)) * 1000.0,
            int(request.get("least", 20)),
            bool(admin_addresses),
        )
        return new, plan, admin_addresses

    def _affected(self) -> tuple[str, ...]:
        """Return the nodes with a stream for which the new version changes a resource."""
        service = self._service
        return tuple(
            sorted(
                {
                    stream.node
                    for stream in service.streams
                    if service.subscribed(stream, self._new_resources)
                    != service.subscribed(stream, service.resources)
                }
            )
        )

    async def _observe(self, rollout: Rollout, admin_addresses: list[Address]) -> None:
        """Start a rollout, and pass it the state of the nodes' streams and metrics until it ends."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        names: dict[Address, str] = {}

        async def read(address: Address) -> None:
            async with semaphore:
                name, metrics = await read_admin_pages(address)
            names[address] = name or names.get(address, "")
            if names[address]:
                self._handle(rollout, NodeObserved(names[address], metrics))

        await asyncio.gather(*(read(address) for address in admin_addresses))
        unknown = [f"{address[0]}:{address[1]}" for address in admin_addresses if not names.get(address)]
        if unknown:
            self._report(rollout.state, f"no answer at {len(unknown)} admin addresses, such as {unknown[0]}")
        self._handle(rollout, Start(self._affected()))
        while not rollout.ended:
            await asyncio.sleep(TICK_MS / 1000.0)
            self._handle(rollout, StreamsChanged(frozenset(stream.node for stream in self._service.streams)))
            await asyncio.gather(*(read(address) for address in admin_addresses))
            self._handle(rollout, Tick())

    def _on_answer(self, answer: NodeAnswer) -> None:
        if self.rollout is not None and answer.label:
            self._handle(self.rollout, NodeAnswered(answer.node, answer.label, answer.reason))

    def _report(self, state: State, text: str) -> None:
        with contextlib.suppress(asyncio.QueueFull):  # the client does not read the steps
            self._steps.put_nowait({"state": state.value, "text": text})

    def _handle(self, rollout: Rollout, event: Any) -> None:
        service = self._service
        for action in rollout.handle(event, now_ms()):
            match action:
                case Offer():
                    service.node_resources |= dict.fromkeys(action.nodes, self._new_resources)
                    service.label = rollout.plan.version
                case Withdraw():
                    for node in action.nodes:
                        service.node_resources.pop(node, None)
                    service.label = self.current.version
                case Accept():
                    assert self._new_version is not None
                    service.resources = self._new_resources
                    self.current = self._new_version
                    service.node_resources.clear()
                case Report():
                    self._report(action.state, action.text)
                    continue
            service.update()


async def call(address: Address, method: str, request: dict[str, Any], wait_s: float) -> AsyncIterator[Any]:
    """Call a method of the service, and yield its answers.

    :param wait_s: the time limit of the call, in seconds.
    :raises grpc.RpcError: if the service refuses the call or can't be reached.
    """
    async with grpc.aio.insecure_channel(f"{address[0]}:{address[1]}") as channel:
        path = f"/{NAME}/{method}"
        if method == "Push":
            answers = channel.unary_stream(path, _encode, _decode)(request, timeout=wait_s)
            async for answer in answers:
                yield answer
        else:
            yield await channel.unary_unary(path, _encode, _decode)(request, timeout=wait_s)

"""The stream to the control service: xDS v3, aggregated and incremental (delta ADS), over gRPC.

It knows streams, nonces and resources, and nothing of what a version means: each response becomes an
`Offered` for `orchidferry.balancing.versions`, each `Answer` an ACK or NACK. A stream that breaks is opened
again
after a back-off with full jitter, with the versions held (`initial_resource_versions`), so that the service
sends only what has changed.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable
from typing import Any

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from orchidferry.balancing.configuration import Content, Part, Pools
from orchidferry.balancing.version_events import Answer, Offered
from orchidferry.node.control.messages import PARTS, TYPES, ResourceDecodeError, read_node, read_pool
from orchidferry.node.control.settings import Control, read_tls

MAX_MESSAGE = 16 * 1024 * 1024  # bytes: some 40,000 members
MAX_RESOURCES = 128  # of one response
MAX_UNANSWERED = 1_024  # nonces of a part that wait for an answer; a stream with more is ended
# full jitter: a random part of a limit that doubles
BACK_OFF_S = 0.5
MAX_BACK_OFF_S = 30.0
STEADY_S = 5.0  # a stream that stood for so long begins the back-off anew
# a service that vanished says nothing; a ping shows it
KEEPALIVE_MS = 10_000
KEEPALIVE_WAIT_MS = 5_000
INVALID_ARGUMENT = 3  # google.rpc.Code, of a NACK's error_detail

log = logging.getLogger("orchidferry")

Hear = Callable[[Offered], None]
Named = dict[str, tuple[str, Any]]  # resources by name: version and what was read


def back_off_s(tries: int, chance: float) -> float:
    """How long to wait before the next stream after so many in a row that failed; `chance` from 0 to 1."""
    return chance * min(MAX_BACK_OFF_S, BACK_OFF_S * 2.0 ** min(tries, 16))


class Resources:
    """What the stream's resources are, as far as offered: a delta names only what has changed."""

    def __init__(self) -> None:
        self.held: dict[Part, Named] = {part: {} for part in Part}  # taken by the node
        self._offered: dict[Part, Named] = {part: {} for part in Part}  # and with what was sent since
        # By nonce, in order: what the part is with that response.
        self._unanswered: dict[Part, dict[str, Named]] = {part: {} for part in Part}
        self._last: dict[Part, str] = {}  # nonces
        self._refused: dict[Part, tuple[str, Named]] = {}  # the last: it may fit once the other part has come

    def restart(self) -> None:
        """A new stream: what was offered and not taken is forgotten."""
        for part in Part:
            self._offered[part] = dict(self.held[part])
            self._unanswered[part].clear()
        self._refused.clear()
        self._last.clear()

    def versions(self, part: Part) -> dict[str, str]:
        """Of the resources held, by name."""
        return {name: version for name, (version, _) in self.held[part].items()}

    def _read(self, part: Part, response: Any) -> Named | str:
        """What a response holds, or why it can't be read."""
        if len(response.resources) > MAX_RESOURCES:
            return f"{len(response.resources)} resources, {MAX_RESOURCES} at most"
        found: Named = {}
        try:
            for resource in response.resources:
                name = resource.name
                packed = resource.resource
                if part is Part.MEMBERS:
                    _, known = self.held[part].get(name, ("", ()))
                    found[name] = resource.version, read_pool(name, packed, known)
                else:
                    found[name] = resource.version, read_node(name, packed)
        except ResourceDecodeError as problem:
            return str(problem)
        return found

    def take(self, part: Part, response: Any) -> Offered | None:
        """A response as an offer of the whole part; None for one that came before."""
        read = self._read(part, response)
        nonces = self._unanswered[part]
        if response.nonce == self._last.get(part):
            return None
        self._last[part] = response.nonce
        if len(nonces) >= MAX_UNANSWERED:
            raise ResourceDecodeError(f"{len(nonces)} responses unanswered")
        changed = dict(self._offered[part])
        problem = read if isinstance(read, str) else ""
        if not isinstance(read, str):
            changed |= read
            for name in response.removed_resources:
                changed.pop(name, None)
        version = response.system_version_info or ",".join(
            f"{name}={found}" for name, (found, _) in sorted(changed.items())
        )
        content: Content | None = None
        nonces[response.nonce] = self._offered[part] if problem else changed
        if not problem:
            self._offered[part] = changed
            if part is Part.MEMBERS:
                content = Pools({name: members for name, (_, members) in changed.items()})
            elif len(changed) == 1:
                [(_, content)] = changed.values()
            else:
                problem = "no settings" if not changed else f"{len(changed)} resources of settings"
        return Offered(part, version, response.nonce, content, problem)

    def answered(self, answer: Answer) -> list[str]:
        """What the node said of an offer; the nonces that this answers, the superseded ones too."""
        part = answer.part
        nonces = self._unanswered[answer.part]
        if answer.nonce not in nonces:  # of another stream; or of a part that was refused, and fits by now
            nonce, named = self._refused.get(part, ("", {}))
            if nonce != answer.nonce or answer.reason:
                return []
            self.held[part] = named
            if not nonces:
                self._offered[part] = dict(named)
            return [nonce]
        done = []
        for nonce in list(nonces):
            named = nonces.pop(nonce)
            done.append(nonce)
            if nonce == answer.nonce:
                break
        if not answer.reason:
            self.held[part] = named
        else:
            self._refused[part] = answer.nonce, named
            if not nonces:  # else what came since was meant on top of it
                self._offered[part] = dict(self.held[part])
        return done


class Channel:
    """Keeps a stream; `hear` gets each offer, `stream` whether one is up."""

    def __init__(
        self, control: Control, hear: Hear, stream: Callable[[bool], None], rng: random.Random | None = None
    ) -> None:
        """`ConfigError` if a certificate can't be read."""
        self._control = control
        self._hear = hear
        self._stream = stream
        self._rng = rng or random.Random()
        self.resources = Resources()
        self.up = False
        self.tries = 0  # streams in a row that did not stand
        self._out: asyncio.Queue[Any] | None = None  # requests of the stream that is up
        self._task: asyncio.Task[None] | None = None
        tls = read_tls(control)
        self._credentials = grpc.ssl_channel_credentials(*tls) if tls is not None else None

    def start(self) -> None:
        """Keep a stream from now on."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop for good."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def answer(self, answer: Answer) -> None:
        """Tell the service what became of an offer, if its stream still stands."""
        for nonce in self.resources.answered(answer):
            if self._out is None:
                continue
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=TYPES[answer.part], response_nonce=nonce)
            if answer.reason:
                request.error_detail.code = INVALID_ARGUMENT
                request.error_detail.message = answer.reason
            self._out.put_nowait(request)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            try:
                await self._one_stream()
                why = "it ended the stream"
            except grpc.RpcError as problem:
                code = getattr(problem, "code", None)
                details = getattr(problem, "details", None)
                why = f"{code().name if code else problem}: {(details() or '') if details else ''}"
            except ResourceDecodeError as problem:
                why = str(problem)
            except Exception as problem:  # whatever came, the node serves on
                log.exception("the control channel")
                why = type(problem).__name__
            finally:
                self._out = None
                if self.up:
                    self.up = False
                    self._stream(False)
            self.tries = 0 if loop.time() - began > STEADY_S else self.tries + 1
            wait_s = back_off_s(self.tries, self._rng.random())
            log.warning("control service: %s; again in %.1f s", why[:200], wait_s)
            await asyncio.sleep(wait_s)

    async def _one_stream(self) -> None:
        control = self._control
        target = f"{control.service[0]}:{control.service[1]}"
        options = [
            ("grpc.max_receive_message_length", MAX_MESSAGE),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
            ("grpc.keepalive_timeout_ms", KEEPALIVE_WAIT_MS),
            ("grpc.keepalive_permit_without_calls", 1),
            ("grpc.enable_retries", 0),  # one layer's back-off: this one's
            ("grpc.use_local_subchannel_pool", 1),
        ]
        made = (
            grpc.aio.secure_channel(target, self._credentials, options)
            if self._credentials is not None
            else grpc.aio.insecure_channel(target, options)
        )
        async with made as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources()
            out = self._out = asyncio.Queue()
            self.resources.restart()
            for part, names in ((Part.MEMBERS, control.pools), (Part.SETTINGS, (control.settings,))):
                request = discovery_pb2.DeltaDiscoveryRequest(
                    type_url=TYPES[part],
                    resource_names_subscribe=names,
                    initial_resource_versions=self.resources.versions(part),
                )
                request.node.id = control.node
                request.node.cluster = control.cluster
                request.node.user_agent_name = "orchidferry"
                out.put_nowait(request)
            writer = asyncio.get_running_loop().create_task(self._write(call, out))
            try:
                while (response := await call.read()) is not grpc.aio.EOF:
                    self._came_up()
                    known = PARTS.get(response.type_url)
                    if known is None:
                        log.warning("control service: sent a %.100r that nobody asked for", response.type_url)
                        continue
                    offer = self.resources.take(known, response)
                    if offer is not None:
                        self._hear(offer)
                # Its status: an end without an error is one too.
                await call.code()
                if (code := await call.code()) is not grpc.StatusCode.OK:
                    raise ResourceDecodeError(f"{code.name}: {await call.details()}")
            finally:
                writer.cancel()
                call.cancel()
                with contextlib.suppress(asyncio.CancelledError, grpc.RpcError, asyncio.InvalidStateError):
                    await writer

    def _came_up(self) -> None:
        if not self.up:
            self.up = True
            self._stream(True)

    async def _write(self, call: Any, out: asyncio.Queue[Any]) -> None:
        await call.write(await out.get())
        await call.initial_metadata()  # a service that has nothing new still says hello
        self._came_up()
        while True:
            await call.write(await out.get())

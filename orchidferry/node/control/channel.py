"""The stream to the control service: xDS v3, aggregated and incremental (delta ADS), over gRPC.

It handles streams, nonces and resources, and not what a version means: each response becomes an `Offered` for
`orchidferry.balancing.versions`, each `Answer` an ACK or NACK. A stream that fails is opened again after a
backoff with full jitter, with the versions that are applied (`initial_resource_versions`), so that the
service sends only what has changed.
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
MAX_UNANSWERED = 1_024  # nonces of a part; a stream with more of them is ended

# Backoff with full jitter: a random share of a limit that doubles with each failure
BACK_OFF_S = 0.5
MAX_BACK_OFF_S = 30.0
MAX_DOUBLINGS = 16
STEADY_S = 5.0  # a stream that was open for so long resets the backoff

# Pings, as a service that vanished is silent
KEEPALIVE_MS = 10_000
KEEPALIVE_WAIT_MS = 5_000
INVALID_ARGUMENT = 3  # google.rpc.Code, of a NACK's error_detail

log = logging.getLogger("orchidferry")

Named = dict[str, tuple[str, Any]]  # resources by name: version and decoded content


def back_off_s(failures: int, chance: float) -> float:
    """Return how long to wait before the next stream, in seconds.

    :param failures: streams in a row that failed.
    :param chance: a random number from 0 to 1.
    """
    return chance * min(MAX_BACK_OFF_S, BACK_OFF_S * 2.0 ** min(failures, MAX_DOUBLINGS))


class Resources:
    """The resources of a stream; a response names only those that have changed."""

    def __init__(self) -> None:
        self.held: dict[Part, Named] = {part: {} for part in Part}  # acknowledged
        self._offered: dict[Part, Named] = {part: {} for part in Part}  # with what was sent since
        # By nonce, in order: the part as it is with that response.
        self._unanswered: dict[Part, dict[str, Named]] = {part: {} for part in Part}
        self._last: dict[Part, str] = {}  # the newest nonce
        self._refused: dict[
            Part, tuple[str, Named]
        ] = {}  # the newest; it may be accepted once the other part has come

    def restart(self) -> None:
        """Forget what was not acknowledged, for a new stream."""
        for part in Part:
            self._offered[part] = dict(self.held[part])
            self._unanswered[part].clear()
        self._refused.clear()
        self._last.clear()

    def versions(self, part: Part) -> dict[str, str]:
        """Return the versions of the acknowledged resources, by name."""
        return {name: version for name, (version, _) in self.held[part].items()}

    def _read(self, part: Part, response: Any) -> Named | str:
        """Return the resources in a response, or why they can't be read."""
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
        """Return a response as an offer of a complete part; None if it is a repeat.

        :raises ResourceDecodeError: if too many responses are unanswered.
        """
        read = self._read(part, response)
        nonces = self._unanswered[part]
        if response.nonce == self._last.get(part):
            return None
        self._last[part] = response.nonce
        if len(nonces) >= MAX_UNANSWERED:
            raise ResourceDecodeError(f"{len(nonces)} responses unanswered")
        before = self._offered[part]
        changed = dict(before)
        if isinstance(read, str):
            nonces[response.nonce] = before
            version = response.system_version_info or _joined_versions(changed)
            return Offered(part, version, response.nonce, None, read)
        changed |= read
        for name in response.removed_resources:
            changed.pop(name, None)
        nonces[response.nonce] = changed
        self._offered[part] = changed
        content, problem = _content(part, changed)
        version = response.system_version_info or _joined_versions(changed)
        return Offered(part, version, response.nonce, content, problem)

    def answered(self, answer: Answer) -> list[str]:
        """Take the answer to an offer.

        :returns: the nonces that it answers, with those of offers that were superseded.
        """
        part = answer.part
        nonces = self._unanswered[answer.part]
        if answer.nonce not in nonces:  # of another stream; or it was refused before, and is accepted now
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
            if not nonces:  # else what came since is based on it
                self._offered[part] = dict(self.held[part])
        return done


def _joined_versions(resources: Named) -> str:
    """Return a version for resources whose response has none."""
    return ",".join(f"{name}={version}" for name, (version, _) in sorted(resources.items()))


def _content(part: Part, resources: Named) -> tuple[Content | None, str]:
    """Return the content of a part, or None and what is wrong with it."""
    if part is Part.MEMBERS:
        return Pools({name: members for name, (_, members) in resources.items()}), ""
    if not resources:
        return None, "no settings"
    if len(resources) > 1:
        return None, f"{len(resources)} resources of settings"
    [(_, content)] = resources.values()
    return content, ""


class Channel:
    """Keeps a stream to the control service."""

    def __init__(
        self,
        control: Control,
        on_offer: Callable[[Offered], None],
        on_stream: Callable[[bool], None],
        rng: random.Random | None = None,
    ) -> None:
        """Create a `Channel`.

        :param on_offer: called with each offer.
        :param on_stream: called with whether a stream is open, when that changes.
        :raises ConfigError: if a certificate can't be read.
        """
        self._control = control
        self._on_offer = on_offer
        self._on_stream = on_stream
        self._rng = rng or random.Random()
        self.resources = Resources()
        self.up = False
        self.failures = 0  # streams in a row that ended soon
        self._requests: asyncio.Queue[Any] | None = None  # to be sent on the open stream
        self._task: asyncio.Task[None] | None = None
        tls = read_tls(control)
        self._credentials = grpc.ssl_channel_credentials(*tls) if tls is not None else None

    def start(self) -> None:
        """Keep a stream from now on."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """End the stream."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def answer(self, answer: Answer) -> None:
        """Send the service an ACK or NACK, if the stream of the offer is open."""
        for nonce in self.resources.answered(answer):
            if self._requests is None:
                continue
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=TYPES[answer.part], response_nonce=nonce)
            if answer.reason:
                request.error_detail.code = INVALID_ARGUMENT
                request.error_detail.message = answer.reason
            self._requests.put_nowait(request)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            try:
                await self._run_stream()
                reason = "it ended the stream"
            except grpc.RpcError as problem:
                code = getattr(problem, "code", None)
                details = getattr(problem, "details", None)
                reason = f"{code().name if code else problem}: {(details() or '') if details else ''}"
            except ResourceDecodeError as problem:
                reason = str(problem)
            except Exception as problem:  # whatever came, the node serves on
                log.exception("the control channel")
                reason = type(problem).__name__
            finally:
                self._requests = None
                if self.up:
                    self.up = False
                    self._on_stream(False)
            self.failures = 0 if loop.time() - began_s > STEADY_S else self.failures + 1
            wait_s = back_off_s(self.failures, self._rng.random())
            log.warning("control service: %s; again in %.1f s", reason[:200], wait_s)
            await asyncio.sleep(wait_s)

    async def _run_stream(self) -> None:
        """Open a stream and handle its responses until it ends.

        :raises grpc.RpcError: if it fails.
        :raises ResourceDecodeError: if it ends with another status than OK.
        """
        async with self._open_channel() as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources()
            requests = self._requests = asyncio.Queue()
            self._subscribe(requests)
            writer = asyncio.get_running_loop().create_task(self._write(call, requests))
            try:
                while (response := await call.read()) is not grpc.aio.EOF:
                    self._set_up()
                    self._receive(response)
                # An end without an error is a status too.
                await call.code()
                if (code := await call.code()) is not grpc.StatusCode.OK:
                    raise ResourceDecodeError(f"{code.name}: {await call.details()}")
            finally:
                writer.cancel()
                call.cancel()
                with contextlib.suppress(asyncio.CancelledError, grpc.RpcError, asyncio.InvalidStateError):
                    await writer

    def _open_channel(self) -> Any:
        host, port = self._control.service
        target = f"{host}:{port}"
        options = [
            ("grpc.max_receive_message_length", MAX_MESSAGE),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
            ("grpc.keepalive_timeout_ms", KEEPALIVE_WAIT_MS),
            ("grpc.keepalive_permit_without_calls", 1),
            ("grpc.enable_retries", 0),  # the backoff is this module's
            ("grpc.use_local_subchannel_pool", 1),
        ]
        if self._credentials is not None:
            return grpc.aio.secure_channel(target, self._credentials, options)
        return grpc.aio.insecure_channel(target, options)

    def _subscribe(self, requests: asyncio.Queue[Any]) -> None:
        """Queue the first requests of a stream."""
        control = self._control
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
            requests.put_nowait(request)

    def _receive(self, response: Any) -> None:
        part = PARTS.get(response.type_url)
        if part is None:
            log.warning("control service: sent a %.100r that nobody asked for", response.type_url)
            return
        offer = self.resources.take(part, response)
        if offer is not None:
            self._on_offer(offer)

    def _set_up(self) -> None:
        if not self.up:
            self.up = True
            self._on_stream(True)

    async def _write(self, call: Any, requests: asyncio.Queue[Any]) -> None:
        await call.write(await requests.get())
        await call.initial_metadata()  # a service that has nothing new still sends its headers
        self._set_up()
        while True:
            await call.write(await requests.get())

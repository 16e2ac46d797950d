"""The stream to the control service: xDS v3, aggregated and incremental (delta ADS), over gRPC.

This module handles streams, nonces and resources, but doesn't judge versions: each response becomes an
`Offered` for `orchidferry.balancing.versions`, and each `Answer` becomes an ACK or NACK. A stream that fails
is reopened after a backoff with full jitter. Its first requests name the versions that are acknowledged
(`initial_resource_versions`), so that the service sends only resources that have changed.
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

MAX_MESSAGE = 16 * 1024 * 1024  # bytes of a response: enough for some 40,000 members
MAX_RESOURCES = 128  # resources in one response
MAX_UNANSWERED = 1_024  # unanswered responses of one part; a stream with more of them is ended

# Backoff with full jitter: a random share of a limit that doubles with each failure
BACK_OFF_S = 0.5
MAX_BACK_OFF_S = 30.0
MAX_DOUBLINGS = 16
RESET_BACK_OFF_AFTER_S = 5.0  # a stream that was open for longer than this resets the backoff

# HTTP/2 pings, because a service that disappears without closing the connection sends no error
KEEPALIVE_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 5_000
INVALID_ARGUMENT = 3  # the google.rpc.Code in the error_detail of a NACK

log = logging.getLogger("orchidferry")

NamedResources = dict[str, tuple[str, Any]]  # the version and the decoded content of resources, by name


def back_off_s(failures: int, chance: float) -> float:
    """Return the delay before the next stream is opened, in seconds.

    :param failures: the number of consecutive streams that failed.
    :param chance: a random number from 0 to 1.
    """
    return chance * min(MAX_BACK_OFF_S, BACK_OFF_S * 2.0 ** min(failures, MAX_DOUBLINGS))


class Resources:
    """The resources of a stream, assembled from responses that contain only the changed ones."""

    def __init__(self) -> None:
        self.acknowledged: dict[Part, NamedResources] = {part: {} for part in Part}
        # The acknowledged resources with the changes of all later responses.
        self._offered: dict[Part, NamedResources] = {part: {} for part in Part}
        # By nonce, in the order of the responses: all resources of the part after that response.
        self._unanswered: dict[Part, dict[str, NamedResources]] = {part: {} for part in Part}
        self._last_nonce: dict[Part, str] = {}  # the nonce of the newest response
        # The nonce and resources of the newest refused offer; it may be accepted after all once the other
        # part has changed.
        self._refused: dict[Part, tuple[str, NamedResources]] = {}

    def restart(self) -> None:
        """Discard all resources that were not acknowledged, before a new stream is opened."""
        for part in Part:
            self._offered[part] = dict(self.acknowledged[part])
            self._unanswered[part].clear()
        self._refused.clear()
        self._last_nonce.clear()

    def versions(self, part: Part) -> dict[str, str]:
        """Return the versions of the acknowledged resources, by name."""
        return {name: version for name, (version, _) in self.acknowledged[part].items()}

    def _read(self, part: Part, response: Any) -> NamedResources | str:
        """Return the resources in a response, or the reason why they can't be read."""
        if len(response.resources) > MAX_RESOURCES:
            return f"{len(response.resources)} resources, {MAX_RESOURCES} at most"
        resources: NamedResources = {}
        try:
            for resource in response.resources:
                name = resource.name
                packed = resource.resource
                if part is Part.MEMBERS:
                    _, known = self.acknowledged[part].get(name, ("", ()))
                    resources[name] = resource.version, read_pool(name, packed, known)
                else:
                    resources[name] = resource.version, read_node(name, packed)
        except ResourceDecodeError as problem:
            return str(problem)
        return resources

    def receive(self, part: Part, response: Any) -> Offered | None:
        """Take a response, and return it as an offer of the complete part.

        :returns: None if the response repeats the nonce of the one before it.
        :raises ResourceDecodeError: if too many responses are unanswered.
        """
        read = self._read(part, response)
        nonces = self._unanswered[part]
        if response.nonce == self._last_nonce.get(part):
            return None
        self._last_nonce[part] = response.nonce
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

    def record_answer(self, answer: Answer) -> list[str]:
        """Take the answer to an offer.

        :returns: the nonces to answer: that of the offer, after those of the offers that it superseded.
        """
        part = answer.part
        nonces = self._unanswered[answer.part]
        # An unknown nonce belongs to an earlier stream, or to an offer that was refused and is accepted now.
        if answer.nonce not in nonces:
            nonce, named = self._refused.get(part, ("", {}))
            if nonce != answer.nonce or answer.reason:
                return []
            self.acknowledged[part] = named
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
            self.acknowledged[part] = named
        else:
            self._refused[part] = answer.nonce, named
            if not nonces:  # any later offers are based on the refused one
                self._offered[part] = dict(self.acknowledged[part])
        return done


def _joined_versions(resources: NamedResources) -> str:
    """Return a version for a response that has none, made of the versions of the resources."""
    return ",".join(f"{name}={version}" for name, (version, _) in sorted(resources.items()))


def _content(part: Part, resources: NamedResources) -> tuple[Content | None, str]:
    """Return the content of a part, or None and the reason why there is none."""
    if part is Part.MEMBERS:
        return Pools({name: members for name, (_, members) in resources.items()}), ""
    if not resources:
        return None, "no settings"
    if len(resources) > 1:
        return None, f"{len(resources)} resources of settings"
    [(_, content)] = resources.values()
    return content, ""


class Channel:
    """Keeps a stream to the control service open."""

    def __init__(
        self,
        control: Control,
        on_offer: Callable[[Offered], None],
        on_stream: Callable[[bool], None],
        rng: random.Random | None = None,
    ) -> None:
        """Create a `Channel`.

        :param control: the settings of the control channel.
        :param on_offer: called with each offer.
        :param on_stream: called with True when a stream has been opened, and with False when it has ended.
        :param rng: draws the jitter of the backoff.
        :raises ConfigError: if a certificate can't be read.
        """
        self._control = control
        self._on_offer = on_offer
        self._on_stream = on_stream
        self._rng = rng or random.Random()
        self.resources = Resources()
        self.up = False  # whether a stream is open
        self.failures = 0  # consecutive streams that ended within RESET_BACK_OFF_AFTER_S
        self._requests: asyncio.Queue[Any] | None = None  # requests to be sent on the open stream
        self._task: asyncio.Task[None] | None = None
        tls = read_tls(control)
        self._credentials = grpc.ssl_channel_credentials(*tls) if tls is not None else None

    def start(self) -> None:
        """Open a stream, and reopen it whenever it ends."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """End the stream for good."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def answer(self, answer: Answer) -> None:
        """Send the service an ACK or NACK, if the stream of the offer is still open."""
        for nonce in self.resources.record_answer(answer):
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
            started_s = loop.time()
            try:
                await self._run_stream()
                reason = "the service ended the stream"
            except grpc.RpcError as problem:
                code = getattr(problem, "code", None)
                details = getattr(problem, "details", None)
                reason = f"{code().name if code else problem}: {(details() or '') if details else ''}"
            except ResourceDecodeError as problem:
                reason = str(problem)
            except Exception as problem:  # no message of the service may end the channel
                log.exception("control service: the stream failed unexpectedly")
                reason = type(problem).__name__
            finally:
                self._requests = None
                if self.up:
                    self.up = False
                    self._on_stream(False)
            self.failures = 0 if loop.time() - started_s > RESET_BACK_OFF_AFTER_S else self.failures + 1
            wait_s = back_off_s(self.failures, self._rng.random())
            log.warning("control service: %s; reconnecting in %.1f s", reason[:200], wait_s)
            await asyncio.sleep(wait_s)

    async def _run_stream(self) -> None:
        """Open a stream and handle its responses until it ends.

        :raises grpc.RpcError: if the stream fails.
        :raises ResourceDecodeError: if it ends with a status other than OK, or a response can't be taken.
        """
        async with self._open_channel() as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources()
            requests = self._requests = asyncio.Queue()
            self._subscribe(requests)
            writer = asyncio.get_running_loop().create_task(self._write(call, requests))
            try:
                while (response := await call.read()) is not grpc.aio.EOF:
                    self._mark_up()
                    self._receive(response)
                # A stream that ends without an RpcError may still have a status other than OK.
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
            ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
            ("grpc.keepalive_permit_without_calls", 1),
            ("grpc.enable_retries", 0),  # this module does its own backoff
            ("grpc.use_local_subchannel_pool", 1),
        ]
        if self._credentials is not None:
            return grpc.aio.secure_channel(target, self._credentials, options)
        return grpc.aio.insecure_channel(target, options)

    def _subscribe(self, requests: asyncio.Queue[Any]) -> None:
        """Queue the first requests of a stream, one for each part."""
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
            log.warning(
                "control service: ignored a response of type %.100r, not requested", response.type_url
            )
            return
        offer = self.resources.receive(part, response)
        if offer is not None:
            self._on_offer(offer)

    def _mark_up(self) -> None:
        if not self.up:
            self.up = True
            self._on_stream(True)

    async def _write(self, call: Any, requests: asyncio.Queue[Any]) -> None:
        await call.write(await requests.get())
        await call.initial_metadata()  # a service that has no new resources still sends its headers
        self._mark_up()
        while True:
            await call.write(await requests.get())

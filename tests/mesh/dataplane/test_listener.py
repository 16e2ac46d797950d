"""Caller connections: each request gets its own reply, in order, and nothing else can be taken for it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any
from unittest import mock

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane import service_client as module
from orchidferry.mesh.dataplane.listener import CallerConnection, Listener
from orchidferry.mesh.dataplane.messages import (
    ProxiedRequest,
)
from orchidferry.mesh.dataplane.pending_request import PendingRequest
from orchidferry.mesh.dataplane.service_client import ServiceClient
from orchidferry.node.client_connection import ClientConnection
from orchidferry.node.connection_end import EndCause, Owed
from orchidferry.node.connection_stage import Stage
from orchidferry.node.flow import MAX_BUFFERED_BODY, STALL_S, Flow, MemoryPool
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message
from tests.mesh.dataplane.test_service_client import ServiceHarness
from tests.mesh.fakes import Loop, patch_clock, route, server_response

ID = b"Attempt-Id"


QUIET_SOCKET, _OTHER_END = socket.socketpair()  # a socket that never has data to read


class Transport:
    """A transport that records what is sent to the caller."""

    def __init__(self) -> None:
        self.written = b""
        self.ended = False
        self.unsent = 0

    def write(self, data: bytes) -> None:
        assert not self.ended
        self.written += data

    def write_eof(self) -> None:
        self.ended = True

    def is_closing(self) -> bool:
        return self.ended

    def close(self) -> None:
        self.ended = True

    abort = close

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def get_extra_info(self, name: str) -> Any:
        assert name == "socket"
        return QUIET_SOCKET

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


class Sink:
    """A consumer that accepts a complete streamed body."""

    def feed(self, data: bytes) -> None: ...

    def end(self) -> None: ...

    def flow_failed(self) -> None: ...


class AcceptedRequest:
    """A request that the node has accepted and not answered yet."""

    def __init__(self, message: Message, answer: Callable[[Reply], None]) -> None:
        assert isinstance(message, ProxiedRequest)
        self.message = message
        self.answer = answer
        self.disconnected = False
        if message.flow is not None:
            message.flow.attach(Sink())

    def client_disconnected(self) -> None:
        self.disconnected = True

    def reply(self, status: int = 200, flow: Flow | None = None) -> None:
        body = b"" if flow is not None else b"to " + self.message.id.encode()
        self.answer(Reply(status, body, flow=flow, more=[(ID, self.message.id.encode())]))


class Source:
    """The source of a streamed response."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def flow_cancelled(self) -> None: ...


class CallerHarness:
    """A caller's connection to a node whose replies the test controls."""

    def __init__(self, accept: Callable[[Message, Callable[[Reply], None]], Any] | None = None) -> None:
        loop: Any = Loop()
        self.loop = loop
        self.listener = Listener(accept or self._accept, 9, MemoryPool(1 << 20), lambda: True)
        self.listener._loop = loop
        self.listener.set_timeouts(5.0, 3.0)
        self.listener._sweep()
        self.accepted: list[AcceptedRequest] = []
        self.caller = CallerConnection(self.listener)
        self.transport = Transport()
        self.caller.connection_made(self.transport)  # type: ignore[arg-type]

    def _accept(self, message: Message, answer: Callable[[Reply], None]) -> AcceptedRequest:
        self.accepted.append(AcceptedRequest(message, answer))
        return self.accepted[-1]

    def send(self, data: bytes) -> None:
        if not self.transport.ended:
            self.caller.data_received(data)

    @property
    def open(self) -> list[AcceptedRequest]:
        return self.accepted[-1:] if self.caller._busy else []

    def answers(self) -> list[tuple[int, bytes, bool]]:
        """Parse the sent bytes as a caller does; return the status, id and completeness of each response."""
        reader = Reader()
        parser = httptools.HttpResponseParser(reader)
        reader.parser = parser
        parser.feed_data(self.transport.written)
        return reader.answers


class Reader:
    """Callbacks of a caller's response parser."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes, bool]] = []
        self.parser: Any = None
        self.id = b""

    def on_message_begin(self) -> None:
        self.id = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self.id = value if name == ID else self.id

    def on_headers_complete(self) -> None:
        self.answers.append((self.parser.get_status_code(), self.id, False))

    def on_message_complete(self) -> None:
        self.answers[-1] = (*self.answers[-1][:2], True)


def request(id: bytes, method: bytes = b"GET", more: bytes = b"", body: bytes = b"") -> bytes:
    return b"%b /x/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: %b\r\n%b\r\n%b" % (method, id, more, body)


def upload(id: bytes) -> bytes:
    """Return a request whose body is too long to be buffered; its last 9 bytes are missing."""
    size = 2 * MAX_BUFFERED_BODY
    return request(id, b"POST", b"Content-Length: %d\r\n" % (size + 9), b"x" * size)


GARBAGE = b"\x00no request\r\n\r\n"


def test_the_error_for_a_malformed_request_waits_for_earlier_replies() -> None:
    harness = CallerHarness()
    harness.send(request(b"a") + request(b"b") + GARBAGE)
    assert harness.transport.written == b""
    harness.open[0].reply()
    harness.open[0].reply()
    assert harness.answers() == [(200, b"a", True), (200, b"b", True), (400, b"", True)]
    assert harness.transport.ended


@pytest.mark.parametrize("length", [10, None])
def test_the_error_for_a_malformed_request_is_not_written_into_a_streamed_reply(length: int | None) -> None:
    harness = CallerHarness()
    harness.send(request(b"a"))
    flow = Flow(Source(), length, 0.0)
    harness.open[0].reply(flow=flow)
    flow.push(b"12345", 0.0)
    harness.send(GARBAGE)
    flow.push(b"67890", 0.0)
    flow.finish()
    assert harness.answers() == [(200, b"a", True), (400, b"", True)]


@pytest.mark.parametrize("length", [10, None])
def test_a_truncated_reply_does_not_appear_complete(length: int | None) -> None:
    harness = CallerHarness()
    harness.send(request(b"a"))
    flow = Flow(Source(), length, 0.0)
    harness.open[0].reply(flow=flow)
    flow.push(b"12345", 0.0)
    flow.fail()
    assert harness.answers() == [(200, b"a", False)] and harness.transport.ended


def test_a_stalled_request_does_not_take_the_reply_before_it() -> None:
    harness = CallerHarness()
    harness.send(request(b"a") + request(b"b", b"POST", b"Content-Length: 9\r\n", b"abc"))
    harness.loop.pass_ms(4_000.0)
    assert harness.transport.written == b"" and [accepted.message.id for accepted in harness.accepted] == [
        "a"
    ]
    harness.open[0].reply()
    harness.loop.pass_ms(4_000.0)
    assert harness.answers() == [(200, b"a", True), (408, b"", True)]
    assert [accepted.message.id for accepted in harness.accepted] == ["a"] and harness.transport.ended


def test_garbage_after_an_early_reply_gets_no_second_reply() -> None:
    test_a_body_that_continues_after_an_early_reply_gets_no_second_reply(GARBAGE)


@pytest.mark.parametrize("rest", [b"", GARBAGE])
def test_a_body_that_continues_after_an_early_reply_gets_no_second_reply(rest: bytes) -> None:
    harness = CallerHarness()
    harness.send(
        upload(b"a")
        .replace(b"Content-Length: 131081", b"Transfer-Encoding: chunked")
        .replace(b"\r\n\r\n", b"\r\n\r\n%x\r\n" % (2 * MAX_BUFFERED_BODY))
    )
    harness.open[0].reply(404)
    harness.send(rest)
    harness.loop.pass_ms(4_000.0)
    assert harness.answers() == [(404, b"a", True)] and harness.transport.ended


def test_a_stalled_upload_that_was_partly_sent_gets_no_not_run_status() -> None:
    harness = CallerHarness()
    harness.send(upload(b"a"))
    harness.loop.pass_ms(4_000.0)
    assert [status for status, _, _ in harness.answers()] == [502] and harness.accepted[0].disconnected


@pytest.mark.parametrize("streamed", [False, True], ids=["buffered reply", "streamed reply"])
def test_a_reply_does_not_end_the_body_of_the_request_behind_it(streamed: bool) -> None:
    """The request behind lost the rest of its body, got an error, and its connection was closed."""
    harness = CallerHarness()
    harness.send(request(b"a") + upload(b"b"))
    flow = Flow(Source(), 5, 0.0) if streamed else None
    harness.open[0].reply(flow=flow)
    if flow is not None:
        flow.push(b"12345", 0.0)
        flow.finish()
    body = harness.accepted[-1].message.flow
    assert body is not None and not body.over
    harness.send(b"last 9 by")
    assert body.complete and not body.over
    harness.open[0].reply()
    harness.send(request(b"c"))
    harness.open[0].reply()
    assert harness.answers() == [(200, b"a", True), (200, b"b", True), (200, b"c", True)]
    assert harness.caller._current is None  # an idle connection keeps no request in memory


@pytest.mark.parametrize("time_remaining_s", [0, 15, 60])
def test_a_streamed_reply_whose_server_is_silent_ends_after_its_deadline(
    time_remaining_s: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Such a connection had no limit in time, and was never closed for a new one."""
    harness = CallerHarness()
    patch_clock(monkeypatch, harness.loop.now_ms)
    harness.send(request(b"a", more=b"Time-Remaining: %d000\r\n" % time_remaining_s))
    flow = Flow(Source(), 10, harness.loop.time())
    harness.open[0].reply(flow=flow)
    flow.push(b"12345", harness.loop.time())
    harness.loop.pass_ms(1_000.0 * max(STALL_S, time_remaining_s - 1.0))
    assert not harness.transport.ended
    harness.loop.pass_ms(3_000.0 * STALL_S)
    assert harness.transport.ended and flow.over
    assert harness.answers() == [(200, b"a", False)]
    assert harness.listener.incomplete_ends == {(EndCause.RESPONSE_FAILED, Owed.REST_OF_RESPONSE): 1}


@pytest.mark.parametrize("moving", ["server sends", "caller reads"])
def test_a_streamed_reply_goes_on_as_long_as_bytes_move(moving: str) -> None:
    harness = CallerHarness()
    harness.send(request(b"a"))
    flow = Flow(Source(), None, harness.loop.time())
    harness.transport.unsent = 1_000_000
    harness.open[0].reply(flow=flow)
    for _ in range(12):
        if moving == "server sends":
            flow.push(b"x", harness.loop.time())
        else:
            harness.transport.unsent -= 1_000
        harness.loop.pass_ms(500.0 * STALL_S)
    flow.finish()
    assert harness.answers() == [(200, b"a", True)] and not harness.transport.ended


@pytest.mark.parametrize("end", ["answered", "caller gone", "caller gone before", "malformed"])
def test_the_memory_of_a_complete_body_is_given_back(end: str) -> None:
    """Memory that was reserved for a retry stayed reserved when its request had been answered or dropped."""
    harness = CallerHarness()
    pool = harness.listener.pool
    pool_bytes = pool.available
    if end != "answered":
        harness.send(request(b"before"))
    if end == "caller gone":
        harness.open[0].reply()
    harness.send(upload(b"a") + b"last 9 by")
    assert pool.available < pool_bytes
    match end:
        case "answered":
            harness.open[0].reply()
        case "malformed":
            harness.send(GARBAGE)
            for _ in range(2):
                harness.open[0].reply()
        case _:
            harness.caller.connection_lost(None)
    assert pool.available == pool_bytes


def test_a_reply_to_head_has_no_body() -> None:
    harness = CallerHarness()
    harness.send(request(b"a", b"HEAD"))
    harness.open[0].reply(404)
    assert harness.transport.written.endswith(b"\r\n\r\n") and b"to a" not in harness.transport.written
    harness.send(request(b"b"))
    harness.open[0].reply()
    assert harness.answers()[-1] == (200, b"b", True)


def test_a_caller_may_use_the_longest_idle_timeout_that_it_knows() -> None:
    harness = CallerHarness()
    harness.listener.set_timeouts(5.0, 3.0)
    for id, wait_ms in ((b"a", 0.0), (b"b", 4_000.0), (b"c", 5_000.0), (b"d", 4_000.0)):
        harness.loop.pass_ms(wait_ms)
        if id == b"d":
            assert not harness.transport.ended
        harness.send(request(id))
        harness.open[0].reply()
        if id == b"c":
            harness.listener.set_timeouts(1.0, 3.0)  # callers may not know of the shorter timeout
    assert [id for _, id, _ in harness.answers()] == [b"a", b"b", b"c", b"d"]
    harness.loop.pass_ms(6_500.0)
    assert harness.transport.ended and harness.listener.limits_s[Stage.IDLE] == 2.0


@pytest.mark.parametrize("limits", [(1.0,), (1.0, 2.0), (1.0, 5.0, 1.0), (2.0, 1.0, 2.0)])
def test_timeouts_set_in_quick_succession_keep_the_longest_for_callers(
    limits: tuple[float, ...],
) -> None:
    harness = CallerHarness()  # 5 s
    harness.send(request(b"a"))
    harness.open[0].reply()
    for idle_s in limits:
        harness.loop.pass_ms(1_300.0 / len(limits))
        harness.listener.set_timeouts(idle_s, 3.0)
    harness.loop.pass_ms(2_700.0)  # four fifths of 5 s in all
    harness.send(request(b"b"))
    harness.open[0].reply()
    assert [id for _, id, _ in harness.answers()] == [b"a", b"b"]
    harness.loop.pass_ms(8_000.0)
    assert harness.transport.ended and harness.listener.limits_s[Stage.IDLE] == limits[-1] + 1.0


MIB = 1024 * 1024


@pytest.mark.parametrize(
    ("head", "body", "head_size", "body_size", "status"),
    [
        (16_384, 64 * MIB, 16_000, 60 * MIB, None),
        (32_768, 64 * MIB, 30_000, 3, None),
        (32_768, 64 * MIB, 33_000, 3, 431),
        (16_384, 64 * MIB, 10, 65 * MIB, 413),
        (4_096, MIB, 5_000, 3, 431),
        (4_096, MIB, 10, MIB + 1, 413),
    ],
)
def test_size_limits_bound_what_a_caller_may_send(
    head: int, body: int, head_size: int, body_size: int, status: int | None
) -> None:
    """A request within the limits is valid and must not be rejected."""
    harness = CallerHarness()
    harness.listener.set_size_limits(head, body)
    more = b"Kind: %b\r\nContent-Length: %d\r\n" % (b"x" * head_size, body_size)
    harness.send(request(b"a", b"POST", more, b"y" * min(body_size, 2 * MAX_BUFFERED_BODY)))
    if status is None:
        assert [accepted.message.id for accepted in harness.accepted] == [
            "a"
        ] and harness.transport.written == b""
    else:
        assert [answer[0] for answer in harness.answers()] == [status] and not harness.accepted


def test_size_limits_bound_a_chunked_body() -> None:
    harness = CallerHarness()
    harness.listener.set_size_limits(4_096, 3 * MAX_BUFFERED_BODY)
    piece = b"%x\r\n%b\r\n" % (MAX_BUFFERED_BODY, b"y" * MAX_BUFFERED_BODY)
    harness.send(request(b"a", b"POST", b"Transfer-Encoding: chunked\r\n", 3 * piece))
    assert harness.transport.written == b"" and len(harness.accepted) == 1
    harness.send(piece)
    assert [answer[0] for answer in harness.answers()] == [413] and harness.accepted[0].disconnected


KINDS: dict[str, Callable[[bytes], bytes]] = {
    "get": lambda id: request(id),
    "head": lambda id: request(id, b"HEAD"),
    "post": lambda id: request(id, b"POST", b"Content-Length: 3\r\n", b"abc"),
    "long": lambda id: upload(id) + b"x" * 9,
    "chunks": lambda id: request(
        id, b"POST", b"Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n0\r\nA: b\r\n\r\n"
    ),
    "stalls": upload,
    "garbage": lambda id: GARBAGE,
    "no id": lambda id: b"GET /x/ HTTP/1.1\r\nHost: h\r\n\r\n",
    "two lengths": lambda id: request(
        id, b"POST", b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", b"abc"
    ),
}


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.sampled_from(sorted(KINDS)), min_size=1, max_size=4),
    st.lists(st.integers(0, 400_000), max_size=6),
    st.lists(st.integers(0, 3), min_size=1, max_size=12),
)
def test_any_pipelined_requests(kinds: list[str], cuts: list[int], acts: list[int]) -> None:
    """A caller matches responses to its requests by their order, so each must be that of its request."""
    harness = CallerHarness()
    ids = [b"r%d" % n for n in range(len(kinds))]
    data = b"".join(KINDS[kind](id) for kind, id in zip(kinds, ids, strict=True))
    at = 0
    flow = None
    acts = list(acts)
    for cut in [*sorted({c % (len(data) + 1) for c in cuts}), len(data), None]:
        if cut is not None:
            harness.send(data[at:cut])
            at = cut
        act = acts.pop(0) if acts else 0
        if act == 3:
            harness.loop.pass_ms(4_000.0)
        elif flow is not None:
            if not flow.over:
                flow.push(b"HTTP/1.1 200 OK\r\n", 0.0)
                flow.finish() if act else flow.fail()
            flow = None
        elif harness.open and act == 2 and harness.open[0].message.method != b"HEAD":
            flow = Flow(Source(), None, 0.0)
            harness.open[0].reply(flow=flow)
        elif harness.open and act:
            harness.open[0].reply()
    if flow is not None and not flow.over:
        flow.finish()
    while harness.open and not harness.transport.ended:
        harness.open[0].reply()
    check_order(harness, kinds, ids)


def check_order(harness: CallerHarness, kinds: list[str], ids: list[bytes]) -> None:
    if "head" in kinds:  # the parser doesn't know which responses have no body
        answered = [part.partition(b"\r\n")[0] for part in harness.transport.written.split(ID + b": ")[1:]]
        assert answered == ids[: len(answered)]
        return
    answers = harness.answers()
    for n, (status, id, whole) in enumerate(answers):
        if id:
            assert id == ids[n], "the response to another request"
        else:  # an error for input that can't be read; it must be the last response
            assert n == len(answers) - 1 and harness.transport.ended and status in (400, 408, 502)
        assert whole or (n == len(answers) - 1 and harness.transport.ended)


class Delivery:
    """The production service client behind a caller's connection; the test ends the attempts."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        unsafe_route = route("non_idempotent", 2)
        self.service_harness = ServiceHarness(patch, unsafe_route)

        def accept(message: Message, answer: Callable[[Reply], None]) -> PendingRequest:
            assert isinstance(message, ProxiedRequest)
            deadline_ms = self.service_harness.loop.now_ms() + 500.0
            request: PendingRequest = self.service_harness.service.accept(
                message, unsafe_route, deadline_ms, answer
            )
            return request

        self.harness = CallerHarness(accept)

    def run(self) -> list[tuple[int, bytes, bool]]:
        """Send two requests on one connection; the response to the first arrives after its deadline."""
        self.harness.send(request(b"a"))
        [attempt] = self.service_harness.open_attempts()
        attempt.on_sent()
        attempt.extend_timeout(60.0)
        self.service_harness.loop.pass_ms(501.0)
        self.harness.send(request(b"b"))
        attempt.end(Result.SERVED, server_response(attempt_id=b"a"))
        [second] = self.service_harness.attempts_of("b")
        second.on_sent()
        second.end(Result.SERVED, server_response(attempt_id=b"b"))
        return self.harness.answers()


def finish_always(self: ServiceClient, pending: PendingRequest, reply: Reply, *cause: object) -> None:
    pending.answer(reply)


def test_a_late_response_is_discarded(monkeypatch: pytest.MonkeyPatch) -> None:
    assert Delivery(monkeypatch).run() == [(504, b"a", True), (200, b"b", True)]


def test_delivery_of_a_late_response_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    with mock.patch.object(module.ServiceClient, "finish", finish_always):
        assert Delivery(monkeypatch).run() != [(504, b"a", True), (200, b"b", True)]


@pytest.mark.parametrize(
    "test",
    [
        test_the_error_for_a_malformed_request_waits_for_earlier_replies,
        test_garbage_after_an_early_reply_gets_no_second_reply,
        test_a_stalled_upload_that_was_partly_sent_gets_no_not_run_status,
    ],
)
def test_an_error_out_of_order_is_detected(test: Callable[[], None]) -> None:
    seen = pytest.raises((AssertionError, httptools.HttpParserError))
    with mock.patch.object(CallerConnection, "_close_with_error", ClientConnection._close_with_error), seen:
        test()


def test_a_disconnected_caller_gets_no_reply() -> None:
    harness = CallerHarness()
    harness.send(request(b"a") + request(b"b"))
    harness.transport.ended = True
    harness.caller.connection_lost(None)
    assert harness.accepted[0].disconnected and len(harness.accepted) == 1
    harness.accepted[0].reply()
    assert harness.transport.written == b"" and len(harness.accepted) == 1

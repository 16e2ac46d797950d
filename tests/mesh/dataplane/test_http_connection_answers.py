"""The matching of responses to attempts on reused connections, with responses split at every byte."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.http_connection import MAX_BUFFERED_RESPONSE, HttpConnection
from orchidferry.mesh.dataplane.messages import (
    ServerResponse,
)
from orchidferry.node.attempt import UpstreamResponse
from orchidferry.node.flow import Flow
from orchidferry.node.upstream_connection import Connection
from tests.mesh.fakes import proxied_request
from tests.mesh.wire_fakes import Peer, RecordedAttempt, close_all, loop_and_pool


@dataclass(frozen=True)
class Script:
    """What a server sends on a connection for one request: its response and any extra bytes."""

    make: Callable[[bytes, bytes], bytes]  # from the request's id and the body to send
    result: Result | None  # None: the attempt does not end
    clean: bool = True  # whether the connection may carry another request
    ends: bool = False  # the server closes the connection afterwards


def answer(
    id: bytes, body: bytes, status: bytes = b"200 OK", more: bytes = b"", version: bytes = b"1.1"
) -> bytes:
    return b"HTTP/%b %b\r\nAttempt-Id: %b\r\nServer-Seal: x\r\n%bContent-Length: %d\r\n\r\n%b" % (
        version,
        status,
        id,
        more,
        len(body),
        body,
    )


def chunked(id: bytes, body: bytes, trailers: bytes = b"") -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Seal: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\n%b\r\n" % (id, len(body), body, trailers)
    )


def bare(id: bytes, status: bytes) -> bytes:
    return b"HTTP/1.1 %b\r\nAttempt-Id: %b\r\nServer-Seal: x\r\n\r\n" % (status, id)


OTHER = answer(b"other", b"other's")
NO_ID = b"HTTP/1.1 200 OK\r\nServer-Seal: x\r\nContent-Length: 5\r\n\r\nabcde"
SCRIPTS: dict[str, Script] = {
    "length": Script(answer, Result.SERVED),
    "chunked": Script(chunked, Result.SERVED),
    "trailers": Script(lambda i, b: chunked(i, b, b"Kind: x\r\n"), Result.SERVED),
    "trailers that contradict": Script(
        lambda i, b: chunked(i, b, b"Attempt-Id: t9\r\nConnection: close\r\n"), Result.SERVED, False, True
    ),
    "a length in a trailer": Script(
        lambda i, b: chunked(i, b, b"Content-Length: 1\r\n"), Result.ERROR, False
    ),
    "seal in a trailer": Script(
        lambda i, b: chunked(i, b, b"Server-Seal: y\r\n").replace(b"Server-Seal: x\r\n", b""), Result.ERROR
    ),
    "204": Script(lambda i, b: bare(i, b"204 No Content"), Result.SERVED),
    "304": Script(lambda i, b: bare(i, b"304 Not Modified"), Result.SERVED),
    "interim": Script(
        lambda i, b: b"HTTP/1.1 103 Early\r\nAttempt-Id: other\r\n\r\n" * 2 + answer(i, b),
        Result.SERVED,
        False,
    ),
    "interim without id": Script(lambda i, b: b"HTTP/1.1 100 Continue\r\n\r\n" + answer(i, b), Result.SERVED),
    "500": Script(lambda i, b: answer(i, b, b"500 Broken"), Result.ERROR),
    "404": Script(lambda i, b: answer(i, b, b"404 None"), Result.SERVED),
    "not executed": Script(lambda i, b: answer(i, b, b"503 Full", b"Not-Executed: 1\r\n"), Result.REFUSED),
    "421": Script(lambda i, b: answer(i, b, b"421 Other"), Result.MOOT),
    "connection: close": Script(
        lambda i, b: answer(i, b, more=b"Connection: close\r\n"), Result.SERVED, False, True
    ),
    "HTTP/1.0": Script(lambda i, b: answer(i, b, version=b"1.0"), Result.SERVED, False, True),
    "until the close": Script(
        lambda i, b: bare(i, b"200 OK").replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") + b,
        Result.SERVED,
        False,
        True,
    ),
    "until the close, unsaid": Script(lambda i, b: bare(i, b"200 OK") + b, Result.SERVED, False, True),
    "until the close, HTTP/1.0": Script(
        lambda i, b: bare(i, b"200 OK").replace(b"1.1", b"1.0") + b, Result.SERVED, False, True
    ),
    "of another request before": Script(lambda i, b: OTHER + answer(i, b), Result.SERVED, False),
    "of another request after": Script(lambda i, b: answer(i, b) + OTHER, Result.SERVED, False),
    "twice": Script(lambda i, b: answer(i, b) * 2, Result.SERVED, False),
    "refused twice": Script(
        lambda i, b: answer(i, b, b"503 Full", b"Not-Executed: 1\r\n") * 2, Result.REFUSED, False
    ),
    "a line end after": Script(lambda i, b: answer(i, b) + b"\r\n", Result.SERVED, False),
    "a line end before": Script(lambda i, b: b"\r\n" + answer(i, b), Result.SERVED, False),
    "a byte after": Script(lambda i, b: answer(i, b) + b"x", Result.SERVED, False),
    "an upgrade after": Script(
        lambda i, b: answer(i, b) + b"HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        Result.SERVED,
        False,
    ),
    "length too short": Script(
        lambda i, b: answer(i, b).replace(b"\r\n\r\n" + b, b"\r\n\r\n" + b + b"more"), Result.SERVED, False
    ),
    "length too long": Script(lambda i, b: answer(i, b + b"yyyy")[:-4], Result.RESET, False, True),
    "truncated chunks": Script(lambda i, b: chunked(i, b)[:-5], Result.RESET, False, True),
    "truncated trailers": Script(
        lambda i, b: chunked(i, b, b"Connection: close\r\nKind: x\r\n")[:-4], Result.RESET, False, True
    ),
    "no id": Script(lambda i, b: NO_ID, Result.ERROR, False),
    "gate outcome without id": Script(
        lambda i, b: b"HTTP/1.1 503 No\r\nOrchid-Gate: unrun\r\nContent-Length: 0\r\n\r\n",
        Result.ERROR,
        False,
    ),
    "two ids": Script(lambda i, b: answer(i, b, more=b"Attempt-Id: other\r\n"), Result.ERROR, False),
    "two ids, ours last": Script(
        lambda i, b: answer(b"other", b, more=b"Attempt-Id: %b\r\n" % i), Result.ERROR, False
    ),
    "101": Script(lambda i, b: bare(i, b"101 Go"), Result.ERROR, False),
    "101 with upgrade": Script(
        lambda i, b: b"HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", Result.ERROR, False
    ),
    "garbage": Script(lambda i, b: b"\x00\xff\r\n\r\n", Result.ERROR, False),
    "two lengths": Script(
        lambda i, b: answer(i, b, more=b"Transfer-Encoding: chunked\r\n"), Result.ERROR, False
    ),
}


class Exchange:
    """Consecutive requests through the production pool, and the bytes that a server sends in return."""

    def __init__(self) -> None:
        self.loop, self.pool = loop_and_pool()
        self.attempts: list[RecordedAttempt] = []
        self.unclean: set[int] = set()  # ids of connections that must not carry another request
        self.served: dict[int, Peer] = {}

    def __enter__(self) -> Exchange:
        return self

    def __exit__(self, *what: object) -> None:
        close_all(self.pool)

    def ask(self, id: str, method: bytes = b"GET") -> tuple[RecordedAttempt, Peer]:
        """Send one request and check that it does not use an unclean connection."""
        message = proxied_request(id)
        message.method = method
        sent = RecordedAttempt(message)
        before = {id_of(peer): len(peer.transport.written) for peer in self.pool.peers}
        self.pool.send(sent)
        self.attempts.append(sent)
        [peer] = [p for p in self.pool.peers if len(p.transport.written) > before.get(id_of(p), 0)]
        assert id_of(peer) not in self.unclean, "a request went out on a connection that was not clean"
        return sent, peer

    def check(self) -> None:
        """Check that each attempt got only a response with its id and its body."""
        for number, attempt in enumerate(self.attempts):
            assert len(attempt.ends) <= 1
            for result, response in attempt.ends:
                if isinstance(response, ServerResponse) and result in (
                    Result.SERVED,
                    Result.REFUSED,
                    Result.MOOT,
                ):
                    assert response.attempt_id == attempt.message.id.encode()
                    assert response.body in (b"", tag(number)), "the body of another request"


def id_of(peer: Peer) -> int:
    return id(peer)


def tag(number: int) -> bytes:
    return b"body of %d" % number


IDS = ("t1", "t2", "t3")
# When extra bytes arrive.
LATER = 0  # after the next request was written
UNREAD = 1  # before the next request, but the connection has not read them
READ = 2  # before the next request


def run_scripts(
    exchange: Exchange, names: list[str], ids: list[str], splits: list[int], timings: list[int]
) -> None:
    """Answer each request with its script, in chunks; extra bytes arrive according to `timings`."""
    late: list[tuple[Peer, bytes]] = []
    for number, (name, id) in enumerate(zip(names, ids, strict=True)):
        script = SCRIPTS[name]
        sent, peer = exchange.ask(id)
        disturbed = False
        for other, data in late:
            other.send_bytes(data)
            other.read()
            exchange.unclean.add(id_of(other))
            disturbed = disturbed or other is peer
        late = []
        data = script.make(id.encode(), tag(number))
        at = 0
        for split in [*sorted({c % (len(data) + 1) for c in splits}), len(data)]:
            chunk = data[at:split]
            at = split
            timing = timings[split % len(timings)]
            if sent.ends and chunk and (timing == LATER or late):
                late.append((peer, chunk))
                continue
            peer.send_bytes(chunk)
            if sent.ends and chunk:
                exchange.unclean.add(id_of(peer))
            if not sent.ends or timing == READ:
                peer.read()
        if not late:
            if script.ends:
                peer.lose()
            if not script.clean:
                exchange.unclean.add(id_of(peer))
        exchange.check()
        if not disturbed:
            assert [result for result, _ in sent.ends] == [script.result], name
        elif not sent.ends:
            peer.lose()


@pytest.mark.parametrize("first", SCRIPTS)
def test_two_responses_split_at_every_byte(first: str) -> None:
    """Each script in two chunks, split at every byte, then a plain response."""
    size = len(SCRIPTS[first].make(b"t1", tag(0)))
    for split in range(size + 1):
        for timing in (LATER, UNREAD, READ):
            with Exchange() as exchange:
                run_scripts(exchange, [first, "length"], ["t1", "t2"], [split], [timing])


class Reader:
    """A consumer of a streamed body that records how the body ends."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def feed(self, data: bytes) -> None: ...

    def end(self) -> None:
        self.events.append("end")

    def flow_failed(self) -> None:
        self.events.append("flow_failed")


@settings(max_examples=400, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(sorted(SCRIPTS)), st.sampled_from(IDS)), min_size=2, max_size=5),
    st.lists(st.integers(0, 300), max_size=6),
    st.lists(st.integers(0, 2), min_size=1, max_size=4),
)
def test_any_responses_in_any_chunks(
    exchanges: list[tuple[str, str]], splits: list[int], timings: list[int]
) -> None:
    with Exchange() as exchange:
        run_scripts(exchange, [name for name, _ in exchanges], [id for _, id in exchanges], splits, timings)


def test_a_streamed_response_with_a_blocked_reader_leaves_its_connection_readable() -> None:
    with Exchange() as exchange:
        sent, peer = exchange.ask("t1")
        sent.message.long_answer = True
        body = b"x" * (MAX_BUFFERED_RESPONSE + 1)
        peer.connection.data_received(answer(b"t1", body)[:-1])
        [(result, response)] = sent.ends
        assert result is Result.SERVED and response.flow is not None
        response.flow.attach(Reader())
        response.flow.block()
        peer.connection.data_received(body[-1:])
        assert exchange.ask("t2") and exchange.attempts[1].ends == []
        peer.send_bytes(answer(b"t2", tag(1)))
        peer.read()
        exchange.check()
        assert exchange.pool.peers == [peer] and exchange.attempts[1].ends[0][0] is Result.SERVED


@pytest.mark.parametrize("make", [answer, chunked])
@pytest.mark.parametrize("exc", [None, ConnectionResetError()])
def test_a_truncated_streamed_response_is_not_ended(make: Callable[[bytes, bytes], bytes], exc: Any) -> None:
    with Exchange() as exchange:
        sent, peer = exchange.ask("t1")
        sent.message.long_answer = True
        peer.connection.data_received(make(b"t1", b"x" * (MAX_BUFFERED_RESPONSE + 9))[:-8])
        reader, [(_, response)] = Reader(), sent.ends
        response.flow.attach(reader)
        peer.lose(exc)
        assert reader.events == ["flow_failed"]


@pytest.mark.parametrize("said_close", [b"", b"Connection: close\r\n"])
@pytest.mark.parametrize("size", [3, MAX_BUFFERED_RESPONSE + 9])
@pytest.mark.parametrize("exc", [None, ConnectionResetError()])
def test_a_response_without_length_is_complete_only_at_a_clean_close(
    said_close: bytes, size: int, exc: Any
) -> None:
    with Exchange() as exchange:
        sent, peer = exchange.ask("t1")
        sent.message.long_answer = True
        head = bare(b"t1", b"200 OK").replace(b"\r\n\r\n", b"\r\n%b\r\n" % said_close)
        peer.connection.data_received(head + b"x" * size)
        reader = Reader()
        if size > MAX_BUFFERED_RESPONSE:
            sent.ends[0][1].flow.attach(reader)
        peer.lose(exc)
        [(result, response)] = sent.ends
        if size > MAX_BUFFERED_RESPONSE:
            assert (result, reader.events) == (Result.SERVED, ["end" if exc is None else "flow_failed"])
        elif exc is None:
            assert (result, response.body) == (Result.SERVED, b"xxx")
        else:
            assert (result, response) == (Result.RESET, None)


def test_an_early_response_is_used_and_its_connection_closed() -> None:
    """The response arrives before the request is sent completely."""
    with Exchange() as exchange:
        sent = RecordedAttempt(proxied_request("t1"))
        sent.message.flow = Flow(mock.Mock(), None, 0.0)
        exchange.pool.send(sent)
        [peer] = exchange.pool.peers
        peer.connection.data_received(answer(b"t1", b"early"))
        assert sent.ends[0][0] is Result.SERVED and peer.transport.closed


def test_a_response_to_head_has_no_body_and_closes_its_connection() -> None:
    with Exchange() as exchange:
        sent, peer = exchange.ask("t1", b"HEAD")
        peer.send_bytes(answer(b"t1", b"a body that never comes").partition(b"a body")[0])
        peer.read()
        assert [(r, a.body) for r, a in sent.ends] == [(Result.SERVED, b"")]
        _, other = exchange.ask("t2")
        assert other is not peer


def reuse_always(
    self: Connection, result: Result, reuse: bool, answer: UpstreamResponse | None = None
) -> None:
    FINISH_ATTEMPT(self, result, True, answer)


FINISH_ATTEMPT = Connection._finish_attempt
# Deliberate faults that the tests must detect: the owner of a method, the method, its faulty version, and the
# scripts, request ids and timing that reveal it.
BREAKS: dict[str, tuple[type, str, object, list[str], list[str], int]] = {
    "reuse-after-surplus": (
        Connection,
        "_finish_attempt",
        reuse_always,
        ["of another request after", "length"],
        ["t1", "t2"],
        READ,
    ),
    "reuse-unread": (
        Connection,
        "is_reusable",
        lambda self: True,
        ["of another request after", "length"],
        ["t1", "t2"],
        UNREAD,
    ),
    "id-not-checked": (
        HttpConnection,
        "_is_for_other",
        lambda self, attempt: False,
        ["of another request before", "length"],
        ["t1", "t2"],
        READ,
    ),
    "same-id-again": (
        HttpConnection,
        "has_carried",
        lambda self, id: False,
        ["refused twice", "length"],
        ["t1", "t1"],
        LATER,
    ),
}


@pytest.mark.parametrize("name", BREAKS)
def test_a_deliberate_fault_is_detected(name: str) -> None:
    owner, method, broken, names, ids, timing = BREAKS[name]
    split = len(
        answer(b"t1", tag(0), b"503 Full", b"Not-Executed: 1\r\n")
        if "refused" in names[0]
        else answer(b"t1", tag(0))
    )
    splits = [] if timing == READ else [split]
    with Exchange() as exchange:
        run_scripts(exchange, names, ids, splits, [timing])
    with mock.patch.object(owner, method, broken), Exchange() as exchange, pytest.raises(AssertionError):
        run_scripts(exchange, names, ids, splits, [timing])

"""HTTP/3 to servers: which failures prove that a request did not run, and TCP where QUIC fails."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from aioquic.h3.connection import ErrorCode, FrameType, encode_frame

from orchidferry.balancing import logic, transports
from orchidferry.balancing.interface import Result
from orchidferry.balancing.transports import State
from orchidferry.node.h3 import upstream
from orchidferry.testkit.quic.faults import PathConditions
from tests.node.h3.environment import (
    H3ScriptedServer,
    certificate_files,
    h3_environment,
    h3_upstream,
    quic_environment,
    record_results,
    transport_state,
    upstream_connection,
    warm_up,
)
from tests.node.peers import EFFECTS, Server, effects, patient, run, until


def test_the_first_request_takes_tcp_and_later_ones_quic(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            for n, cls in enumerate(("read", "save", "pay")):
                response = await env.world.ask(f"{n}", cls, body=b"" if cls == "read" else b"x" * 30_000)
                assert (response.status, response.body) == (200, b"by quic")
            assert [len(request.body) for _, request in h3_server.seen] == [0, 30_000, 30_000]
            fields = h3_server.seen[1][1].headers
            assert fields["idempotency-key"] == "key-1" and float(fields["x-budget"]) > 0.0
            [server] = env.world.servers
            assert len(server.seen) == 1 and env.no_state_left()
            assert h3_upstream(env).count() == 3  # one of a TCP connection, and two of a datagram socket

    run(test())


def test_where_udp_is_dropped_no_request_waits_and_quic_is_retried_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "HANDSHAKE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(upstream, "SWEEP_S", 0.02)
    monkeypatch.setattr(transports, "BASE_BACKOFF_MS", 200.0)

    async def test() -> None:
        server, h3_server = Server(name="s0"), H3ScriptedServer()
        address = await h3_server.start()
        h3_server.quic.from_requesters.black_hole = True
        async with h3_environment(tmp_path, server, quic={"s0": address}) as env:
            loop = asyncio.get_running_loop()
            for n in range(5):
                began = loop.time()
                assert (await env.world.ask(f"{n}")).body == b"done"
                assert loop.time() - began < 0.2  # less than the timeout of the handshake
                await asyncio.sleep(0.05)
            await until(lambda: transport_state(env) is State.BACKING_OFF)
            lost = h3_server.quic.from_requesters.lost
            assert lost > 0 and not h3_upstream(env)._connections and not h3_upstream(env).connection_ids
            h3_server.quic.from_requesters.black_hole = False
            tries = 0
            while transport_state(env) is not State.UP:
                assert (await env.world.ask(f"again{tries}")).status == 200
                tries += 1
                await asyncio.sleep(0.05)
            assert (await env.world.ask("last")).body == b"by quic"
        h3_server.stop()

    run(test())


def test_a_connection_that_becomes_silent_is_suspect_and_requests_take_tcp(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "SWEEP_S", 0.02)
    monkeypatch.setattr(transports, "SUSPECT_TIMEOUT_MS", 300.0)

    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            for n in range(30):  # the balancer learns the usual latency, and sets short timeouts
                assert (await env.world.ask(f"w{n}")).status == 200
            results = record_results(env)
            h3_server.quic.to_requesters.black_hole = h3_server.quic.from_requesters.black_hole = True
            assert (await env.world.ask("lost", budget="5")).status == 200  # retried over TCP
            assert results[0] is Result.TIMEOUT and results[-1] is Result.SERVED
            assert transport_state(env) is not State.UP
            assert (await env.world.ask("next")).body == b"done"
            await until(lambda: transport_state(env) is State.BACKING_OFF)
            assert env.no_state_left()

    run(test())


def test_a_suspect_connection_is_used_again_after_its_first_datagram(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, _):
            assert (await env.world.ask("one")).body == b"by quic"
            # The balancer asks for this when idle connections to a server were lost.
            h3_upstream(env).close_idle(upstream_connection(env).server)
            assert transport_state(env) is State.SUSPECT
            await until(lambda: transport_state(env) is State.UP)  # the PING was acknowledged
            assert (await env.world.ask("two")).body == b"by quic"

    run(test())


def reset_with(code: int) -> Any:
    """Return an answer that resets the stream with an error code."""
    return lambda stream: stream.reset(code)


def test_a_rejected_request_did_not_run_and_is_retried_even_if_unsafe(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            results = record_results(env)
            h3_server.answers = [reset_with(ErrorCode.H3_REQUEST_REJECTED)]
            assert (await env.world.ask("pay", "pay")).status == 200
            assert results == [Result.REFUSED, Result.SERVED] and env.no_state_left()

    run(test())


@pytest.mark.parametrize("code", [ErrorCode.H3_INTERNAL_ERROR, ErrorCode.H3_REQUEST_CANCELLED, 0x1234])
def test_a_request_with_any_other_reset_may_have_run_and_is_not_retried_if_unsafe(
    tmp_path: Path, code: int
) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            results = record_results(env)
            h3_server.answers = [reset_with(code)]
            assert (await env.world.ask("pay", "pay")).status == 502
            assert results == [Result.RESET] and len(h3_server.seen) == 1
            h3_server.answers = [reset_with(code)]
            assert (await env.world.ask("read")).status == 200  # safe to repeat
            assert env.no_state_left()

    run(test())


def partial_response(
    status: int, content_length: int, body: bytes, end: bool, code: int | None = None
) -> Any:
    """Return an answer with a `Content-Length` that need not match its body.

    :param end: whether to end the stream.
    :param code: reset the stream with this error code afterwards.
    """

    def answer(stream: Any) -> None:
        http = stream.connection.http
        quic = stream.connection._quic
        headers = [(b":status", b"%d" % status), (b"content-length", b"%d" % content_length)]
        data = encode_frame(FrameType.HEADERS, http._encode_headers(stream.id, headers))
        data += encode_frame(FrameType.DATA, body) if body else b""
        quic.send_stream_data(stream.id, data, end_stream=end)
        stream.connection.transmit()
        if code is not None:
            asyncio.get_running_loop().call_later(0.05, stream.reset, code)

    return answer


@pytest.mark.parametrize(
    ("answer", "result"),
    [
        (
            partial_response(200, 10, b"five!", True),
            Result.ERROR,
        ),  # the body is shorter than the content length
        (
            partial_response(200, 3, b"five!", True),
            Result.ERROR,
        ),  # the body is longer than the content length
        (
            partial_response(200, 10, b"five!", False, ErrorCode.H3_INTERNAL_ERROR),
            Result.RESET,
        ),  # reset within the body
        # Rejected, although the response had begun
        (partial_response(200, 10, b"five!", False, ErrorCode.H3_REQUEST_REJECTED), Result.RESET),
        (partial_response(200, 70_000, b"x" * 66_000, False), Result.ERROR),  # over 64 KiB
        (partial_response(500, 0, b"", True), Result.ERROR),
        (partial_response(103, 0, b"", True), Result.ERROR),  # an interim response, and no final one
    ],
)
def test_an_incomplete_response_is_never_forwarded(tmp_path: Path, answer: Any, result: Result) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            results = record_results(env)
            h3_server.answers = [answer]
            assert (await env.world.ask("pay", "pay")).status == 502
            assert results == [result]
            await until(
                lambda: not upstream_connection(env).attempts if h3_upstream(env)._connections else True
            )
            assert (await env.world.ask("after")).status == 200 and env.no_state_left()

    run(test())


def test_a_reset_after_the_complete_response_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path, classes=patient()) as (env, h3_server):

            def answer_and_reset(stream: Any) -> None:
                stream.answer(200, b"whole")
                stream.connection._quic.reset_stream(stream.id, ErrorCode.H3_INTERNAL_ERROR)
                stream.connection.transmit()

            h3_server.answers = [answer_and_reset]
            results = record_results(env)
            response = await env.world.ask("one", "pay")
            # Both results are valid: the response was handled first, or the reset sent together with it was.
            assert (response.status, results) in ((200, [Result.SERVED]), (502, [Result.RESET]))
            assert (await env.world.ask("two")).status == 200

    run(test())


def test_requests_that_a_goaway_excludes_did_not_run_and_the_others_are_answered(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            results = record_results(env)
            h3_server.gate.clear()
            first = asyncio.create_task(env.world.ask("first", "pay"))
            await until(lambda: len(h3_server.seen) == 1)
            second = asyncio.create_task(env.world.ask("second", "pay"))
            await until(lambda: len(h3_server.seen) == 2)
            stream = h3_server.seen[1][0]
            stream.connection.send_goaway(stream.id)
            assert (await second).body == b"done"  # at once, over TCP
            assert results == [Result.MOOT, Result.SERVED]
            h3_server.gate.set()
            assert (await first).body == b"by quic"
            assert results[-1] is Result.SERVED
            await until(lambda: not h3_upstream(env)._shutting_down)
            # A new connection is opened for later requests.
            assert (await env.world.ask("third")).status == 200
            await until(lambda: transport_state(env) is State.UP)
            assert env.no_state_left()

    run(test())


def test_after_the_loss_of_a_connection_only_repeatable_requests_are_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Ten requests of each class in `EFFECTS`, all open at one server; the other one is in another cell."""
    # No attempt times out for being slower than earlier ones.
    monkeypatch.setattr(logic, "MIN_TIMEOUT_MS", 20_000.0)

    async def test() -> None:
        server, other, h3_server = Server(name="s0"), Server(name="s1", group=1), H3ScriptedServer()
        quic = {"s0": await h3_server.start()}
        async with h3_environment(tmp_path, server, quic=quic, siblings=1, classes=effects()) as env:
            await warm_up(env)
            for n in range(70):  # the balancer admits more requests at once after each response
                assert (await env.world.ask(f"w{n}")).status == 200
            results = record_results(env)
            h3_server.seen.clear()
            h3_server.gate.clear()
            ids = [f"{cls}{n}" for cls in EFFECTS for n in range(10)]
            requests = [asyncio.create_task(env.world.ask(id, id.rstrip("0123456789"))) for id in ids]
            await until(lambda: len(h3_server.seen) == 50)
            await other.start()
            env.world.registry.tell(server.entry(h3=quic["s0"]), other.entry())
            await until(lambda: len(env.node.servers.in_service) == 2)
            next(iter(h3_server.quic.connections)).close(ErrorCode.H3_INTERNAL_ERROR)
            h3_server.gate.set()
            responses = dict(zip(ids, await asyncio.gather(*requests), strict=True))
            assert results.count(Result.RESET) == 50 and env.no_state_left()
            retried = [request.id for request in server.seen + other.seen if request.id in ids]
            retried += [request.headers["x-call-id"] for _, request in h3_server.seen[50:]]
            assert not [id for id in retried if id.startswith("pay")]
            # Requests that may be repeated only within their cell are not sent to the other one.
            assert not [request.id for request in other.seen if request.id.startswith("save-cell")]
            for id, response in responses.items():
                allowed = {"read": (200, 503), "pay": (502,), "save-all": (200, 503)}.get(
                    id.rstrip("0123456789"), (200, 502)
                )
                assert response.status in allowed, id
            await other.stop()
        h3_server.stop()

    run(test())


def test_the_loss_of_a_connection_ends_each_of_its_attempts_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path, siblings=1) as (env, h3_server):
            results = record_results(env)
            h3_server.gate.clear()
            ids = [f"{cls}{n}" for cls in ("read", "save", "pay") for n in range(5)]
            requests = [asyncio.create_task(env.world.ask(id, id.rstrip("0123456789"))) for id in ids]
            await until(lambda: len(h3_server.seen) >= 3)
            await asyncio.sleep(0.05)  # for the other requests that the balancer admits
            running = {request.headers["x-call-id"] for _, request in h3_server.seen}
            connection = next(iter(h3_server.quic.connections))
            connection.close(ErrorCode.H3_INTERNAL_ERROR)
            h3_server.gate.set()
            responses = dict(zip(ids, await asyncio.gather(*requests), strict=True))
            for id in running:
                # A safe request is retried, or rejected if the balancer has no retry left for it.
                assert responses[id].status in ((502,) if id.startswith("pay") else (200, 503))
            pays = [request.headers["x-call-id"] for _, request in h3_server.seen if request.target == "/pay"]
            [server] = env.world.servers
            pays += [request.id for request in server.seen if request.target == "/pay"]
            assert len(pays) == len(set(pays))  # none ran twice
            assert results.count(Result.RESET) == len(running) and env.no_state_left()

    run(test())


def test_a_stateless_reset_closes_the_connection_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            results = record_results(env)
            h3_server.gate.clear()
            request = asyncio.create_task(env.world.ask("pay", "pay"))
            await until(lambda: len(h3_server.seen) == 1)
            connection = next(iter(h3_server.quic.connections))
            token = connection._quic._host_cids[0].stateless_reset_token
            peer = connection._quic.get_peer_address()
            assert h3_server.quic.listener is not None and h3_server.quic.listener._transport is not None
            transport = h3_server.quic.listener._transport
            transport.sendto(b"\x41" + b"n" * 30 + b"0" * 16, peer)  # a forged reset with a guessed token
            await asyncio.sleep(0.05)
            assert not results and upstream_connection(env).up
            transport.sendto(b"\x41" + b"n" * 30 + token, peer)
            assert (await request).status == 502 and results == [Result.RESET]
            assert transport_state(env) is State.BACKING_OFF and not h3_upstream(env).connection_ids
            assert (await env.world.ask("next")).body == b"done"

    run(test())


def test_a_request_that_was_not_sent_completely_did_not_run(tmp_path: Path) -> None:
    """The server's flow-control limit is less than the body, so the last byte can't be sent."""

    async def test() -> None:
        server, h3_server = Server(name="s0"), H3ScriptedServer(max_stream_data=2_000, max_data=1 << 20)
        async with h3_environment(tmp_path, server, quic={"s0": await h3_server.start()}) as env:
            await warm_up(env)
            for connection in h3_server.quic.connections:
                connection._quic._write_stream_limits = lambda **_: None  # type: ignore[method-assign]
            results = record_results(env)
            response = await env.world.ask("big", "pay", budget="1", body=b"x" * 20_000)
            assert results[0] is Result.UNREACHABLE and not h3_server.seen
            assert response.status in (200, 503) and len(server.seen) <= 2
            await until(env.no_state_left)
        h3_server.stop()

    run(test())


def test_a_cancelled_attempt_resets_its_stream_and_keeps_the_connection(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            h3_server.gate.clear()
            assert (await env.world.ask("slow", "pay", budget="0.5")).status == 502
            await until(lambda: h3_server.quic.resets == 1)
            h3_server.gate.set()
            connection = upstream_connection(env)
            assert (await env.world.ask("next")).status == 200
            assert connection.up and not connection.closed and env.no_state_left()

    run(test())


def test_a_server_removed_from_the_list_gets_no_new_requests_and_its_connection_closes(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        server, h3_server, other = Server(name="s0"), H3ScriptedServer(), Server(name="s1")
        async with h3_environment(tmp_path, server, other, quic={"s0": await h3_server.start()}) as env:
            for n in range(4):
                await env.world.ask(f"w{n}")
            await until(lambda: len(h3_upstream(env)._connections) == 1 and upstream_connection(env).up)
            h3_server.gate.clear()
            requests = [asyncio.create_task(env.world.ask(f"h{n}", "pay")) for n in range(2)]
            await until(lambda: len(h3_server.seen) > 0)
            seen = len(h3_server.seen)
            env.world.registry.tell(server.entry(status="left"))
            await until(lambda: len(env.node.servers.in_service) == 1)
            h3_server.gate.set()
            assert [response.status for response in await asyncio.gather(*requests)] == [200, 200]
            for n in range(4):
                assert (await env.world.ask(f"l{n}")).body == b"done"
            assert len(h3_server.seen) == seen
            await until(lambda: not h3_upstream(env)._connections and not h3_upstream(env)._shutting_down)
            assert len(h3_upstream(env).transports) == 0
        h3_server.stop()

    run(test())


def test_requests_to_a_server_with_an_untrusted_certificate_take_tcp(tmp_path: Path) -> None:
    async def test() -> None:
        from orchidferry.testkit.quic import certs

        server, h3_server = Server(name="s0"), H3ScriptedServer()
        h3_server.quic._files = certs.make(tmp_path / "untrusted")
        async with h3_environment(tmp_path, server, quic={"s0": await h3_server.start()}) as env:
            assert (await env.world.ask("one")).body == b"done"
            await until(lambda: transport_state(env) is State.BACKING_OFF)
            assert (await env.world.ask("two")).body == b"done" and certificate_files().ca.is_file()
        h3_server.stop()

    run(test())


def test_an_idle_connection_is_closed_before_the_server_would_close_it_and_opened_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "SWEEP_S", 0.02)

    async def test() -> None:
        server, h3_server = Server(name="s0"), H3ScriptedServer()
        permissions = {"keepalive_ms": 600.0}
        async with h3_environment(
            tmp_path, server, quic={"s0": await h3_server.start()}, permissions=permissions
        ) as env:
            await warm_up(env)
            await until(lambda: not h3_upstream(env)._connections)
            assert (await env.world.ask("one")).status == 200
            await until(lambda: bool(h3_upstream(env)._connections) and upstream_connection(env).up)
            assert (await env.world.ask("two")).body == b"by quic"
        h3_server.stop()

    run(test())


@pytest.mark.parametrize(
    "conditions",
    [
        PathConditions(loss=0.05),
        PathConditions(reorder=0.3),
        PathConditions(duplicate=0.3),
        PathConditions(0.05, 0.1, 0.1, 0.002, 0.005),
    ],
)
def test_over_a_faulty_path_to_servers_no_effect_happens_twice(
    tmp_path: Path, conditions: PathConditions
) -> None:
    async def test() -> None:
        server = Server(name="s0")
        h3_server = H3ScriptedServer(conditions=conditions, seed=3)
        async with h3_environment(
            tmp_path, server, quic={"s0": await h3_server.start()}, classes=patient()
        ) as env:
            await warm_up(env)
            statuses = []
            for n in range(40):
                statuses.append((await env.world.ask(f"{n}", ("save", "pay")[n % 2])).status)
            assert statuses.count(200) >= 38 and set(statuses) <= {200, 502, 503}
            pays = [request.headers["x-call-id"] for _, request in h3_server.seen if request.target == "/pay"]
            [server] = env.world.servers
            pays += [request.id for request in server.seen if request.target == "/pay"]
            assert len(pays) == len(set(pays)) and env.no_state_left()
            assert len(h3_server.seen) > 20  # most of them were sent over QUIC
        h3_server.stop()

    run(test())

"""Servers over QUIC: what proves that a request never ran, what may have run it, and TCP where QUIC fails."""

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


def test_the_first_request_goes_by_tcp_and_the_next_by_quic(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            for n, cls in enumerate(("read", "save", "pay")):
                found = await env.world.ask(f"{n}", cls, body=b"" if cls == "read" else b"x" * 30_000)
                assert (found.status, found.body) == (200, b"by quic")
            assert [len(one.body) for _, one in h3_server.seen] == [0, 30_000, 30_000]
            fields = h3_server.seen[1][1].headers
            assert fields["idempotency-key"] == "key-1" and float(fields["x-budget"]) > 0.0
            [server] = env.world.servers
            assert len(server.seen) == 1 and env.no_state_left()
            assert h3_upstream(env).count() == 3  # a connection over TCP, and a datagram socket's two

    run(test())


def test_where_udp_is_dropped_no_request_waits_and_quic_is_tried_again_later(
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
                assert loop.time() - began < 0.2  # the handshake's time-out was not waited for
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


def test_a_connection_that_goes_silent_is_doubted_and_requests_take_tcp(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "SWEEP_S", 0.02)
    monkeypatch.setattr(transports, "SUSPECT_TIMEOUT_MS", 300.0)

    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            for n in range(30):  # by now the module knows what is usual, and waits no longer than it must
                assert (await env.world.ask(f"w{n}")).status == 200
            ended = record_results(env)
            h3_server.quic.to_requesters.black_hole = h3_server.quic.from_requesters.black_hole = True
            assert (await env.world.ask("lost", budget="5")).status == 200  # again, by TCP
            assert ended[0] is Result.TIMEOUT and ended[-1] is Result.SERVED
            assert transport_state(env) is not State.UP
            assert (await env.world.ask("next")).body == b"done"
            await until(lambda: transport_state(env) is State.BACKING_OFF)
            assert env.no_state_left()

    run(test())


def test_one_that_was_only_slow_is_trusted_again_at_its_first_datagram(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, _):
            assert (await env.world.ask("one")).body == b"by quic"
            ready = h3_upstream(env)
            ready.close_idle(
                upstream_connection(env).server
            )  # as the module says where idle connections were lost
            assert transport_state(env) is State.SUSPECT
            await until(lambda: transport_state(env) is State.UP)  # the ping was answered
            assert (await env.world.ask("two")).body == b"by quic"

    run(test())


def cut(code: int) -> Any:
    return lambda stream: stream.reset(code)


def test_a_rejected_stream_never_ran_and_even_an_unsafe_request_goes_elsewhere(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            ended = record_results(env)
            h3_server.answers = [cut(ErrorCode.H3_REQUEST_REJECTED)]
            assert (await env.world.ask("pay", "pay")).status == 200
            assert ended == [Result.REFUSED, Result.SERVED] and env.no_state_left()

    run(test())


@pytest.mark.parametrize("code", [ErrorCode.H3_INTERNAL_ERROR, ErrorCode.H3_REQUEST_CANCELLED, 0x1234])
def test_any_other_reset_may_have_run_and_an_unsafe_request_is_not_sent_again(
    tmp_path: Path, code: int
) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            ended = record_results(env)
            h3_server.answers = [cut(code)]
            assert (await env.world.ask("pay", "pay")).status == 502
            assert ended == [Result.RESET] and len(h3_server.seen) == 1
            h3_server.answers = [cut(code)]
            assert (await env.world.ask("read")).status == 200  # safe to repeat
            assert env.no_state_left()

    run(test())


def part(status: int, claimed: int, body: bytes, end: bool, code: int | None = None) -> Any:
    """An answer that says it has `claimed` bytes, with `body`; ended, left open, or reset."""

    def act(stream: Any) -> None:
        http = stream.connection.http
        quic = stream.connection._quic
        headers = [(b":status", b"%d" % status), (b"content-length", b"%d" % claimed)]
        data = encode_frame(FrameType.HEADERS, http._encode_headers(stream.id, headers))
        data += encode_frame(FrameType.DATA, body) if body else b""
        quic.send_stream_data(stream.id, data, end_stream=end)
        stream.connection.transmit()
        if code is not None:
            asyncio.get_running_loop().call_later(0.05, stream.reset, code)

    return act


@pytest.mark.parametrize(
    ("act", "result"),
    [
        (part(200, 10, b"five!", True), Result.ERROR),  # less than was claimed
        (part(200, 3, b"five!", True), Result.ERROR),  # more
        (part(200, 10, b"five!", False, ErrorCode.H3_INTERNAL_ERROR), Result.RESET),  # cut within
        (part(200, 10, b"five!", False, ErrorCode.H3_REQUEST_REJECTED), Result.RESET),  # a lie: it had begun
        (part(200, 70_000, b"x" * 66_000, False), Result.ERROR),  # over 64 KiB
        (part(500, 0, b"", True), Result.ERROR),
        (part(103, 0, b"", True), Result.ERROR),  # an interim answer and nothing after it
    ],
)
def test_half_an_answer_is_never_passed_on(tmp_path: Path, act: Any, result: Result) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            ended = record_results(env)
            h3_server.answers = [act]
            assert (await env.world.ask("pay", "pay")).status == 502
            assert ended == [result]
            await until(
                lambda: not upstream_connection(env).attempts if h3_upstream(env)._connections else True
            )
            assert (await env.world.ask("after")).status == 200 and env.no_state_left()

    run(test())


def test_a_reset_after_the_whole_answer_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path, classes=patient()) as (env, h3_server):

            def act(stream: Any) -> None:
                stream.answer(200, b"whole")
                stream.connection._quic.reset_stream(stream.id, ErrorCode.H3_INTERNAL_ERROR)
                stream.connection.transmit()

            h3_server.answers = [act]
            ended = record_results(env)
            found = await env.world.ask("one", "pay")
            # Both ends of it are legal: the answer came first, or the reset overtook it in one flight.
            assert (found.status, ended) in ((200, [Result.SERVED]), (502, [Result.RESET]))
            assert (await env.world.ask("two")).status == 200

    run(test())


def test_what_a_goaway_leaves_out_never_ran_and_the_rest_is_answered(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            ended = record_results(env)
            h3_server.gate.clear()
            first = asyncio.create_task(env.world.ask("first", "pay"))
            await until(lambda: len(h3_server.seen) == 1)
            second = asyncio.create_task(env.world.ask("second", "pay"))
            await until(lambda: len(h3_server.seen) == 2)
            stream = h3_server.seen[1][0]
            stream.connection.send_goaway(stream.id)
            assert (await second).body == b"done"  # at once, by TCP
            assert ended == [Result.MOOT, Result.SERVED]
            h3_server.gate.set()
            assert (await first).body == b"by quic"
            assert ended[-1] is Result.SERVED
            await until(lambda: not h3_upstream(env)._shutting_down)
            # A new connection comes up for what follows.
            assert (await env.world.ask("third")).status == 200
            await until(lambda: transport_state(env) is State.UP)
            assert env.no_state_left()

    run(test())


def test_a_connection_lost_with_fifty_open_sends_again_only_what_may_be(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Ten of each kind of effect, all running at one server; the other one is of another cell."""
    monkeypatch.setattr(logic, "MIN_TIMEOUT_MS", 20_000.0)  # none is cut for being slower than those before

    async def test() -> None:
        server, other, h3_server = Server(name="s0"), Server(name="s1", group=1), H3ScriptedServer()
        quic = {"s0": await h3_server.start()}
        async with h3_environment(tmp_path, server, quic=quic, siblings=1, classes=effects()) as env:
            await warm_up(env)
            for n in range(70):  # the module's window opens with what is answered
                assert (await env.world.ask(f"w{n}")).status == 200
            ended = record_results(env)
            h3_server.seen.clear()
            h3_server.gate.clear()
            kinds = [f"{cls}{n}" for cls in EFFECTS for n in range(10)]
            asked = [asyncio.create_task(env.world.ask(kind, kind.rstrip("0123456789"))) for kind in kinds]
            await until(lambda: len(h3_server.seen) == 50)
            await other.start()
            env.world.registry.tell(server.entry(h3=quic["s0"]), other.entry())
            await until(lambda: len(env.node.servers.in_service) == 2)
            next(iter(h3_server.quic.connections)).close(ErrorCode.H3_INTERNAL_ERROR)
            h3_server.gate.set()
            found = dict(zip(kinds, await asyncio.gather(*asked), strict=True))
            assert ended.count(Result.RESET) == 50 and env.no_state_left()
            again = [one.id for one in server.seen + other.seen if one.id in kinds]
            again += [one.headers["x-call-id"] for _, one in h3_server.seen[50:]]
            assert not [id for id in again if id.startswith("pay")]
            # In another cell only what may repeat there, or everywhere, or in its zone.
            assert not [one.id for one in other.seen if one.id.startswith("save-cell")]
            for kind, answered in found.items():
                may = {"read": (200, 503), "pay": (502,), "save-all": (200, 503)}.get(
                    kind.rstrip("0123456789"), (200, 502)
                )
                assert answered.status in may, kind
            await other.stop()
        h3_server.stop()

    run(test())


def test_a_connection_lost_with_many_open_ends_each_attempt_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path, siblings=1) as (env, h3_server):
            ended = record_results(env)
            h3_server.gate.clear()
            kinds = [f"{cls}{n}" for cls in ("read", "save", "pay") for n in range(5)]
            asked = [asyncio.create_task(env.world.ask(kind, kind.rstrip("0123456789"))) for kind in kinds]
            await until(lambda: len(h3_server.seen) >= 3)
            await asyncio.sleep(0.05)  # what else the module has room for
            running = {one.headers["x-call-id"] for _, one in h3_server.seen}
            connection = next(iter(h3_server.quic.connections))
            connection.close(ErrorCode.H3_INTERNAL_ERROR)
            h3_server.gate.set()
            found = dict(zip(kinds, await asyncio.gather(*asked), strict=True))
            for kind in running:
                # A safe one goes again, or is refused where the module has no retry for it.
                assert found[kind].status in ((502,) if kind.startswith("pay") else (200, 503))
            pays = [one.headers["x-call-id"] for _, one in h3_server.seen if one.target == "/pay"]
            [server] = env.world.servers
            pays += [one.id for one in server.seen if one.target == "/pay"]
            assert len(pays) == len(set(pays))  # none twice
            assert ended.count(Result.RESET) == len(running) and env.no_state_left()

    run(test())


def test_a_stateless_reset_ends_the_connection_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            ended = record_results(env)
            h3_server.gate.clear()
            asked = asyncio.create_task(env.world.ask("pay", "pay"))
            await until(lambda: len(h3_server.seen) == 1)
            connection = next(iter(h3_server.quic.connections))
            token = connection._quic._host_cids[0].stateless_reset_token
            peer = connection._quic.get_peer_address()
            assert h3_server.quic.listener is not None and h3_server.quic.listener._transport is not None
            transport = h3_server.quic.listener._transport
            transport.sendto(b"\x41" + b"n" * 30 + b"0" * 16, peer)  # somebody who only guesses
            await asyncio.sleep(0.05)
            assert not ended and upstream_connection(env).up
            transport.sendto(b"\x41" + b"n" * 30 + token, peer)
            assert (await asked).status == 502 and ended == [Result.RESET]
            assert transport_state(env) is State.BACKING_OFF and not h3_upstream(env).connection_ids
            assert (await env.world.ask("next")).body == b"done"

    run(test())


def test_what_never_went_out_whole_never_ran(tmp_path: Path) -> None:
    """The server grants no room for the body: the last byte can't leave."""

    async def test() -> None:
        server, h3_server = Server(name="s0"), H3ScriptedServer(max_stream_data=2_000, max_data=1 << 20)
        async with h3_environment(tmp_path, server, quic={"s0": await h3_server.start()}) as env:
            await warm_up(env)
            for connection in h3_server.quic.connections:
                connection._quic._write_stream_limits = lambda **_: None  # type: ignore[method-assign]
            ended = record_results(env)
            found = await env.world.ask("big", "pay", budget="1", body=b"x" * 20_000)
            assert ended[0] is Result.UNREACHABLE and not h3_server.seen
            assert found.status in (200, 503) and len(server.seen) <= 2
            await until(env.no_state_left)
        h3_server.stop()

    run(test())


def test_an_attempt_given_up_resets_its_stream_and_spares_the_connection(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            h3_server.gate.clear()
            assert (await env.world.ask("slow", "pay", budget="0.5")).status == 502
            await until(lambda: h3_server.quic.resets == 1)
            h3_server.gate.set()
            kept = upstream_connection(env)
            assert (await env.world.ask("next")).status == 200
            assert kept.up and not kept.closed and env.no_state_left()

    run(test())


def test_a_server_that_is_listed_no_more_gets_no_more_and_its_connection_ends(tmp_path: Path) -> None:
    async def test() -> None:
        server, h3_server, other = Server(name="s0"), H3ScriptedServer(), Server(name="s1")
        async with h3_environment(tmp_path, server, other, quic={"s0": await h3_server.start()}) as env:
            for n in range(4):
                await env.world.ask(f"w{n}")
            await until(lambda: len(h3_upstream(env)._connections) == 1 and upstream_connection(env).up)
            h3_server.gate.clear()
            asked = [asyncio.create_task(env.world.ask(f"h{n}", "pay")) for n in range(2)]
            await until(lambda: len(h3_server.seen) > 0)
            seen = len(h3_server.seen)
            env.world.registry.tell(server.entry(status="left"))
            await until(lambda: len(env.node.servers.in_service) == 1)
            h3_server.gate.set()
            assert [one.status for one in await asyncio.gather(*asked)] == [200, 200]
            for n in range(4):
                assert (await env.world.ask(f"l{n}")).body == b"done"
            assert len(h3_server.seen) == seen
            await until(lambda: not h3_upstream(env)._connections and not h3_upstream(env)._shutting_down)
            assert len(h3_upstream(env).transports) == 0
        h3_server.stop()

    run(test())


def test_a_server_whose_certificate_is_not_trusted_is_spoken_to_by_tcp(tmp_path: Path) -> None:
    async def test() -> None:
        from orchidferry.testkit.quic import certs

        server, h3_server = Server(name="s0"), H3ScriptedServer()
        h3_server.quic._files = certs.make(tmp_path / "stranger")
        async with h3_environment(tmp_path, server, quic={"s0": await h3_server.start()}) as env:
            assert (await env.world.ask("one")).body == b"done"
            await until(lambda: transport_state(env) is State.BACKING_OFF)
            assert (await env.world.ask("two")).body == b"done" and certificate_files().ca.is_file()
        h3_server.stop()

    run(test())


def test_an_idle_connection_is_closed_before_the_server_would_and_comes_up_again(
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
def test_on_a_bad_path_to_servers_no_effect_happens_twice(tmp_path: Path, conditions: PathConditions) -> None:
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
            pays = [one.headers["x-call-id"] for _, one in h3_server.seen if one.target == "/pay"]
            [server] = env.world.servers
            pays += [one.id for one in server.seen if one.target == "/pay"]
            assert len(pays) == len(set(pays)) and env.no_state_left()
            assert len(h3_server.seen) > 20  # most went by QUIC
        h3_server.stop()

    run(test())

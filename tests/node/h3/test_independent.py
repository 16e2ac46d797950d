"""HTTP/3 clients that share no code with the node: libcurl with ngtcp2 and nghttp3 (curl_cffi)."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from orchidferry.testkit.quic.certs import SERVER_NAME
from tests.node.h3.environment import certificate_files, h3_environment
from tests.node.peers import Server, run

curl = pytest.importorskip("curl_cffi")


def fetch(session: Any, address: tuple[str, int], id: str, cls: str, body: bytes) -> Any:
    headers = {"x-call-id": id, "x-budget": "5"} | ({"idempotency-key": f"key-{id}"} if cls == "save" else {})
    url = f"https://{SERVER_NAME}:{address[1]}/{cls}"
    if cls == "read":
        return session.get(url, headers=headers)
    return session.post(url, headers=headers, data=body)


def new_session(address: tuple[str, int]) -> Any:
    return curl.Session(
        http_version=curl.CurlHttpVersion.V3ONLY,
        verify=str(certificate_files().ca),
        timeout=10,
        curl_options={curl.CurlOpt.RESOLVE: [f"{SERVER_NAME}:{address[1]}:{address[0]}"]},
    )


def test_an_independent_implementation_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(name="s0")
        async with h3_environment(tmp_path, server) as env:
            with new_session(env.address) as session:
                for n, cls in enumerate(("read", "save", "pay", "read")):
                    body = b"" if cls == "read" else b"b" * 50_000
                    response = await asyncio.to_thread(fetch, session, env.address, f"{n}", cls, body)
                    assert (response.status_code, response.content) == (200, b"done")
                    assert response.http_version == curl.CurlHttpVersion.V3
                invalid = await asyncio.to_thread(fetch, session, env.address, "no such id!", "read", b"")
                assert invalid.status_code == 400
                after = await asyncio.to_thread(fetch, session, env.address, "after", "read", b"")
                assert after.status_code == 200
            assert len(server.seen) == 5 and env.no_state_left()

    run(test())


def test_several_independent_clients_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(name="s0")
        async with h3_environment(tmp_path, server, siblings=1) as env:

            def fetch_ten(client: int) -> list[int]:
                with new_session(env.address) as session:
                    return [
                        fetch(session, env.address, f"{client}.{n}", "save", b"x" * 900).status_code
                        for n in range(10)
                    ]

            by_client = await asyncio.gather(*(asyncio.to_thread(fetch_ten, client) for client in range(4)))
            statuses = [status for client_statuses in by_client for status in client_statuses]
            assert len(statuses) == 40 and set(statuses) <= {200, 503} and statuses.count(200) >= 30
            ids = [request.id for request in server.seen]
            assert len(ids) == len(set(ids)) and env.no_state_left()

    run(test())

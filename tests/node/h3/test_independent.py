"""A client that shares no code with the server: libcurl with ngtcp2 and nghttp3 (curl_cffi)."""

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


def session(address: tuple[str, int]) -> Any:
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
            with session(env.address) as own:
                for n, cls in enumerate(("read", "save", "pay", "read")):
                    body = b"" if cls == "read" else b"b" * 50_000
                    found = await asyncio.to_thread(fetch, own, env.address, f"{n}", cls, body)
                    assert (found.status_code, found.content) == (200, b"done")
                    assert found.http_version == curl.CurlHttpVersion.V3
                bad = await asyncio.to_thread(fetch, own, env.address, "no such id!", "read", b"")
                assert bad.status_code == 400
                after = await asyncio.to_thread(fetch, own, env.address, "after", "read", b"")
                assert after.status_code == 200
            assert len(server.seen) == 5 and env.no_state_left()

    run(test())


def test_independent_clients_side_by_side(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(name="s0")
        async with h3_environment(tmp_path, server, siblings=1) as env:

            def several(tag: int) -> list[int]:
                with session(env.address) as own:
                    return [
                        fetch(own, env.address, f"{tag}.{n}", "save", b"x" * 900).status_code
                        for n in range(10)
                    ]

            found = await asyncio.gather(*(asyncio.to_thread(several, tag) for tag in range(4)))
            statuses = [status for one in found for status in one]
            assert len(statuses) == 40 and set(statuses) <= {200, 503} and statuses.count(200) >= 30
            seen = [one.id for one in server.seen]
            assert len(seen) == len(set(seen)) and env.no_state_left()

    run(test())

"""Client of the mesh's HTTP control API, for servers and operators."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from orchidferry.testkit.wire import Address, Outcome, Pool

MAX_REDIRECTS = 2
CALL_TIMEOUT_S = 1.0
"""The time-out of each request; each redirect starts a new one."""

TEMPORARY_REDIRECT = 307


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """A request to the control API."""

    method: str
    path: str
    payload: Any = None  # sent as JSON; None: no body
    if_match: int | None = None  # the revision on which a change is based; sent as If-Match

    def encode(self, address: Address) -> bytes:
        """Encode the request as HTTP/1.1, with `Connection: close`."""
        body = b"" if self.payload is None else json.dumps(self.payload).encode()
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {address[0]}:{address[1]}",
            "Connection: close",
        ]
        if self.payload is not None:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        if self.if_match is not None:
            lines.append(f"If-Match: {self.if_match}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    pool: Pool,
    address: Address,
    method: str,
    path: str,
    payload: Any = None,
    if_match: int | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[Outcome, Address]:
    """Call the control API, with a new connection for each request; follows redirects.

    :param payload: sent as JSON; None: no body
    :param if_match: the revision on which a change is based; None: no If-Match header
    :param timeout_s: the time-out of each request
    :returns: the outcome, and the address that was called last
    """
    request = ControlRequest(method, path, payload, if_match)
    for hop in range(1 + MAX_REDIRECTS):
        outcome = await _call_once(pool, address, request, timeout_s)
        if outcome.how != "answer" or outcome.status != TEMPORARY_REDIRECT or hop == MAX_REDIRECTS:
            break
        location = urlsplit(outcome.headers.get("location", ""))
        if location.hostname is None or location.port is None:
            break
        address = (location.hostname, location.port)
        request = ControlRequest(method, location.path, payload, if_match)
    return outcome, address


async def _call_once(pool: Pool, address: Address, request: ControlRequest, timeout_s: float) -> Outcome:
    connection = await pool.connection(address, fresh=True)
    if isinstance(connection, Outcome):
        return connection
    try:
        return await asyncio.wait_for(connection.ask("", request.encode(address)), timeout_s)
    except TimeoutError:
        return Outcome("timeout", time.monotonic())
    finally:
        connection.drop()

"""The relay that counts messages between nodes and a controller."""

from __future__ import annotations

import asyncio
from typing import cast

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from orchidferry.testkit.bench.counting_relay import CountingRelay, forward_messages


class Sink:
    """A stream writer that records the written data."""

    def __init__(self) -> None:
        self.written = b""
        self.transport = self
        self.aborted = False

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.aborted = True


@given(
    st.lists(st.tuples(st.sampled_from(("lease_renewal", "lease")), st.binary(max_size=40)), max_size=8),
    st.integers(1, 50),
)
def test_the_relay_forwards_every_byte_and_counts_it_once(
    messages: list[tuple[str, bytes]], chunk_size: int
) -> None:
    bodies = [cbor2.dumps([kind, body]) for kind, body in messages]
    data = b"".join(len(body).to_bytes(4, "big") + body for body in bodies)
    sink, counts = Sink(), CountingRelay().up

    async def run() -> None:
        reader = asyncio.StreamReader()
        for at in range(0, len(data), chunk_size):
            reader.feed_data(data[at : at + chunk_size])
        reader.feed_eof()
        await forward_messages(reader, cast(asyncio.StreamWriter, sink), counts)

    asyncio.run(run())
    assert sink.written == data and sink.aborted and counts.total() == len(data)
    for kind in ("lease_renewal", "lease"):
        assert counts[kind] == sum(4 + len(cbor2.dumps([k, body])) for k, body in messages if k == kind)

"""Each kind of message keeps its bytes: those in `golden_messages.json` were written by protocol 4.

A message goes by its tag alone, so that these tests outlive the names of types and fields.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import cbor2
import pytest

from orchidferry.mesh.wire.codec import SHARD_TYPE_BY_TAG, MessageDecodeError, decode, encode
from orchidferry.mesh.wire.framing import PROTOCOL, Link, dial
from orchidferry.mesh.wire.messages import TYPE_BY_TAG

GOLDEN: dict[str, Any] = json.loads(Path(__file__).with_name("golden_messages.json").read_text("utf-8"))
TABLES = ("messages", "shard_bodies", "register_bodies")
LENGTH_BYTES = 4
FIRST_MESSAGE = bytes.fromhex("0000000b826870726f746f636f6c04")  # of a link


def golden_frames() -> Iterator[Any]:
    """All frames, each with its tag and its place as the name of its test."""
    for table in TABLES:
        for tag, frames in GOLDEN[table].items():
            for place, frame in enumerate(frames):
                yield pytest.param(bytes.fromhex(frame), id=f"{table}-{tag}-{place}")


def tag_in(frame: bytes, table: str) -> str:
    """The tag that a frame bears at the depth of its table."""
    found = cbor2.loads(frame[LENGTH_BYTES:])
    if table != "messages":
        assert found[0] == "shard"
        found = found[2]
    if table == "register_bodies":
        assert found[0] == "register"
        found = found[2]
    return str(found[0])


@pytest.mark.parametrize("frame", list(golden_frames()))
def test_a_golden_message_is_read_and_written_the_same(frame: bytes) -> None:
    length = frame[:LENGTH_BYTES]
    body = frame[LENGTH_BYTES:]
    assert int.from_bytes(length, "big") == len(body)
    assert encode(decode(body)) == frame


@pytest.mark.parametrize("frame", list(golden_frames()))
def test_a_golden_message_with_a_field_more_or_less_is_refused(frame: bytes) -> None:
    parts = cbor2.loads(frame[LENGTH_BYTES:])
    innermost = parts
    while innermost[0] in ("shard", "register"):
        innermost = innermost[-1]
    innermost.append(None)
    with pytest.raises(MessageDecodeError):
        decode(cbor2.dumps(parts))
    del innermost[-2:]  # what was added, and the last field or the tag
    with pytest.raises(MessageDecodeError):
        decode(cbor2.dumps(parts))


def test_a_record_of_a_server_may_leave_out_its_last_field() -> None:
    """An earlier build writes it so; it is written again with an empty text there."""
    server = ["i-1", "alpha", "z", "in_service", 4, 0.5]
    record = ["node", 7, 1, "z", "10.0.0.1", 4, server]
    read = decode(cbor2.dumps(["lease_renewal", 1, "node", 7, record]))
    whole = ["lease_renewal", 1, "node", 7, [*record[:-1], [*server, ""]]]
    assert cbor2.loads(encode(read)[LENGTH_BYTES:]) == whole
    record[-1] = server[:-1]
    with pytest.raises(MessageDecodeError):
        decode(cbor2.dumps(["lease_renewal", 1, "node", 7, record]))


@pytest.mark.parametrize("table", TABLES)
def test_golden_frames_stand_under_their_own_tags(table: str) -> None:
    for tag, frames in GOLDEN[table].items():
        assert {tag_in(bytes.fromhex(frame), table) for frame in frames} == {tag}


def test_the_tags_are_those_that_the_codec_knows() -> None:
    assert {*GOLDEN["messages"], "shard"} == set(TYPE_BY_TAG)
    assert {*GOLDEN["shard_bodies"], "register"} == set(SHARD_TYPE_BY_TAG)
    assert set(GOLDEN["register_bodies"]) == {"prepare", "promise", "accept", "accepted"}


def test_the_number_of_the_protocol_stays() -> None:
    assert PROTOCOL == GOLDEN["protocol"] == 4


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"\xff", id="no CBOR"),
        pytest.param(cbor2.dumps(["relay_positions", [["a", 1, 2]]])[:-1], id="cut short"),
        pytest.param(cbor2.dumps({"node_hello": "a"}), id="no list"),
        pytest.param(cbor2.dumps([]), id="empty list"),
        pytest.param(cbor2.dumps([7, "a"]), id="kind is no text"),
        pytest.param(cbor2.dumps(["nothing_of_the_sort"]), id="unknown kind"),
        pytest.param(cbor2.dumps(["node_hello", 7]), id="number for a text"),
        pytest.param(cbor2.dumps(["node_hello", None]), id="nothing for a text"),
        pytest.param(cbor2.dumps(["configuration_text", 1, 2, "text"]), id="text for bytes"),
        pytest.param(cbor2.dumps(["heartbeat", "a", 1, 1, [], False, []]), id="number for a truth"),
        pytest.param(cbor2.dumps(["heartbeat", "a", 1, True, ["b"], False, []]), id="text in a list"),
        pytest.param(cbor2.dumps(["relay_positions", [["a", 1]]]), id="short position"),
        pytest.param(cbor2.dumps(["news", ["a", 1, 5, 5, [], [], 0]]), id="change without an end"),
        pytest.param(cbor2.dumps(["news", ["a", 1, -2, 5, [], [], 0]]), id="change before all"),
        pytest.param(cbor2.dumps(["shard", 1, ["nothing_of_the_sort"]]), id="unknown shard body"),
        pytest.param(cbor2.dumps(["shard", 1, ["node_hello", "a"]]), id="message as shard body"),
        pytest.param(cbor2.dumps(["shard", 1, ["handoff_ack", "a"]]), id="short shard body"),
        pytest.param(
            cbor2.dumps(["shard", 1, ["register", "a", ["prepare", [1], None, [0, ""]]]]), id="ballot"
        ),
        pytest.param(cbor2.dumps(["handoff_ack", "a", 1]), id="shard body as message"),
    ],
)
def test_what_is_no_message_is_refused(body: bytes) -> None:
    with pytest.raises(MessageDecodeError):
        decode(body)


def test_a_link_begins_with_the_number_of_the_protocol() -> None:
    """The bytes that a process receives from one that dials it."""

    async def first_bytes() -> bytes:
        found: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            found.set_result(await reader.readexactly(len(FIRST_MESSAGE)))
            writer.close()

        async with await asyncio.start_server(accept, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            link = await dial(lambda *_: None, lambda _: None, "127.0.0.1", port, "127.0.0.1")
            assert link is not None
            received = await found
            link.close()
            return received

    assert asyncio.run(first_bytes()) == FIRST_MESSAGE


class Transport:
    """What an accepted link closes."""

    def __init__(self) -> None:
        self.closed = False

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Nothing is buffered."""

    def get_extra_info(self, name: str) -> None:
        """Nothing is known."""


@pytest.mark.parametrize(
    ("stream", "heard", "closed"),
    [
        pytest.param(FIRST_MESSAGE, 0, False, id="greeting"),
        pytest.param(
            FIRST_MESSAGE + bytes.fromhex(GOLDEN["messages"]["relay_alive"][0]) * 3, 3, False, id="three"
        ),
        pytest.param(FIRST_MESSAGE[:-1] + b"\x05", 0, True, id="another protocol"),
        pytest.param(bytes.fromhex(GOLDEN["messages"]["relay_alive"][0]), 0, True, id="no greeting"),
        pytest.param(FIRST_MESSAGE + (16 * 1024 * 1024 + 1).to_bytes(4, "big"), 0, True, id="too long"),
        pytest.param(FIRST_MESSAGE + (16 * 1024 * 1024).to_bytes(4, "big"), 0, False, id="as long as may be"),
        pytest.param(FIRST_MESSAGE + b"\0\0\0\x01\xff", 0, True, id="unreadable"),
    ],
)
@pytest.mark.parametrize("step", [1, 1_000])
def test_an_accepted_link_cuts_a_stream_into_messages(
    stream: bytes, heard: int, closed: bool, step: int
) -> None:
    """Whatever the pieces are in which the stream comes."""
    messages: list[Any] = []
    transport: Any = Transport()

    async def receive() -> None:
        link = Link(lambda _, message: messages.append(message), lambda _: None, accepted=True)
        link.connection_made(transport)
        for at in range(0, len(stream), step):
            if link.open:
                link.data_received(stream[at : at + step])

    asyncio.run(receive())
    assert (len(messages), transport.closed) == (heard, closed)

"""The encoding of each type of message does not change: `golden_messages.json` was written by protocol 4.

The tests identify a message by its tag alone, so that renaming types and fields does not affect them.
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
FIRST_MESSAGE = bytes.fromhex("0000000b826870726f746f636f6c04")  # the greeting that opens a link


def golden_frames() -> Iterator[Any]:
    """Yield all frames as test parameters, named by table, tag and index."""
    for table in TABLES:
        for tag, frames in GOLDEN[table].items():
            for index, frame in enumerate(frames):
                yield pytest.param(bytes.fromhex(frame), id=f"{table}-{tag}-{index}")


def tag_in(frame: bytes, table: str) -> str:
    """Return the tag of a frame's innermost message that the table is about."""
    values = cbor2.loads(frame[LENGTH_BYTES:])
    if table != "messages":
        assert values[0] == "shard"
        values = values[2]
    if table == "register_bodies":
        assert values[0] == "register"
        values = values[2]
    return str(values[0])


@pytest.mark.parametrize("frame", list(golden_frames()))
def test_a_golden_message_is_decoded_and_encoded_to_the_same_bytes(frame: bytes) -> None:
    length = frame[:LENGTH_BYTES]
    body = frame[LENGTH_BYTES:]
    assert int.from_bytes(length, "big") == len(body)
    assert encode(decode(body)) == frame


@pytest.mark.parametrize("frame", list(golden_frames()))
def test_a_golden_message_with_a_field_more_or_less_is_rejected(frame: bytes) -> None:
    parts = cbor2.loads(frame[LENGTH_BYTES:])
    innermost = parts
    while innermost[0] in ("shard", "register"):
        innermost = innermost[-1]
    innermost.append(None)
    with pytest.raises(MessageDecodeError):
        decode(cbor2.dumps(parts))
    del innermost[-2:]  # the added item, and the last field (or the tag if there are no fields)
    with pytest.raises(MessageDecodeError):
        decode(cbor2.dumps(parts))


def test_a_record_of_a_server_may_omit_its_last_field() -> None:
    """An earlier build omits this field; encoding adds it as an empty string."""
    server = ["i-1", "alpha", "z", "in_service", 4, 0.5]
    record = ["node", 7, 1, "z", "10.0.0.1", 4, server]
    message = decode(cbor2.dumps(["lease_renewal", 1, "node", 7, record]))
    complete = ["lease_renewal", 1, "node", 7, [*record[:-1], [*server, ""]]]
    assert cbor2.loads(encode(message)[LENGTH_BYTES:]) == complete
    record[-1] = server[:-1]
    with pytest.raises(MessageDecodeError):
        decode(cbor2.dumps(["lease_renewal", 1, "node", 7, record]))


@pytest.mark.parametrize("table", TABLES)
def test_golden_frames_are_listed_under_their_own_tags(table: str) -> None:
    for tag, frames in GOLDEN[table].items():
        assert {tag_in(bytes.fromhex(frame), table) for frame in frames} == {tag}


def test_the_tags_are_those_that_the_codec_knows() -> None:
    assert {*GOLDEN["messages"], "shard"} == set(TYPE_BY_TAG)
    assert {*GOLDEN["shard_bodies"], "register"} == set(SHARD_TYPE_BY_TAG)
    assert set(GOLDEN["register_bodies"]) == {"prepare", "promise", "accept", "accepted"}


def test_the_protocol_number_is_unchanged() -> None:
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
def test_an_invalid_message_is_rejected(body: bytes) -> None:
    with pytest.raises(MessageDecodeError):
        decode(body)


def test_a_link_begins_with_the_protocol_number() -> None:
    """Checks the bytes that the dialling side sends first."""

    async def first_bytes() -> bytes:
        first: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first.set_result(await reader.readexactly(len(FIRST_MESSAGE)))
            writer.close()

        async with await asyncio.start_server(accept, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            link = await dial(lambda *_: None, lambda _: None, "127.0.0.1", port, "127.0.0.1")
            assert link is not None
            received = await first
            link.close()
            return received

    assert asyncio.run(first_bytes()) == FIRST_MESSAGE


class Transport:
    """A fake transport that records whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Do nothing: nothing is buffered."""

    def get_extra_info(self, name: str) -> None:
        """Return None: the transport has no extra information."""


@pytest.mark.parametrize(
    ("stream", "delivered", "closed"),
    [
        pytest.param(FIRST_MESSAGE, 0, False, id="greeting"),
        pytest.param(
            FIRST_MESSAGE + bytes.fromhex(GOLDEN["messages"]["relay_alive"][0]) * 3, 3, False, id="three"
        ),
        pytest.param(FIRST_MESSAGE[:-1] + b"\x05", 0, True, id="another protocol"),
        pytest.param(bytes.fromhex(GOLDEN["messages"]["relay_alive"][0]), 0, True, id="no greeting"),
        pytest.param(FIRST_MESSAGE + (16 * 1024 * 1024 + 1).to_bytes(4, "big"), 0, True, id="too long"),
        pytest.param(FIRST_MESSAGE + (16 * 1024 * 1024).to_bytes(4, "big"), 0, False, id="longest allowed"),
        pytest.param(FIRST_MESSAGE + b"\0\0\0\x01\xff", 0, True, id="unreadable"),
    ],
)
@pytest.mark.parametrize("step", [1, 1_000])
def test_an_accepted_link_splits_a_stream_into_messages(
    stream: bytes, delivered: int, closed: bool, step: int
) -> None:
    """The result does not depend on the sizes of the pieces in which the stream arrives."""
    messages: list[Any] = []
    transport: Any = Transport()

    async def receive() -> None:
        link = Link(lambda _, message: messages.append(message), lambda _: None, accepted=True)
        link.connection_made(transport)
        for offset in range(0, len(stream), step):
            if link.open:
                link.data_received(stream[offset : offset + step])

    asyncio.run(receive())
    assert (len(messages), transport.closed) == (delivered, closed)

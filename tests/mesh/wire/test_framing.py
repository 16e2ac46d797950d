"""The greeting that opens a link between two processes, and messages that can't be decoded."""

from __future__ import annotations

import asyncio
from typing import Any

import cbor2
import pytest
from loguru import logger

from orchidferry.mesh.wire.codec import to_list
from orchidferry.mesh.wire.framing import PROTOCOL, Link, dial
from orchidferry.mesh.wire.messages import Greeting, KeyRelease, Message
from orchidferry.mesh.wire.shard_messages import tag_of

RELEASE = KeyRelease(1, "key", "attempt")
GREETING = [tag_of(Greeting), PROTOCOL]


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

    def get_extra_info(self, name: str) -> Any:
        return ("10.0.0.9", 7380) if name == "peername" else None


def receive(*messages: Any) -> tuple[list[Message], bool, list[str]]:
    """Send messages to an accepted link; return those that it delivers, whether it is closed, and the log."""
    received: list[Message] = []
    lines: list[str] = []

    async def main() -> bool:
        link = Link(lambda _, message: received.append(message), lambda _: None, accepted=True)
        transport: Any = Transport()
        link.connection_made(transport)
        bodies = [m if isinstance(m, bytes) else cbor2.dumps(m) for m in messages]
        link.data_received(b"".join(len(body).to_bytes(4, "big") + body for body in bodies))
        return bool(transport.closed)

    sink = logger.add(lines.append, format="{message}")
    try:
        return received, asyncio.run(main()), lines
    finally:
        logger.remove(sink)


def test_the_greeting_opens_a_link_and_is_not_delivered() -> None:
    assert receive(GREETING, to_list(RELEASE)) == ([RELEASE], False, [])


@pytest.mark.parametrize(
    ("first", "log_text"),
    [
        ([GREETING[0], PROTOCOL + 1], str(PROTOCOL + 1)),
        ([GREETING[0], PROTOCOL - 1], str(PROTOCOL - 1)),
        ([GREETING[0], "x" * 1000], "x" * 20 + ","),
        (GREETING[:1], "none"),
        (to_list(RELEASE), "none"),  # the first builds sent no greeting
        (b"\xff", "none"),
    ],
)
def test_a_link_from_another_build_is_logged_in_one_line_and_closed(first: Any, log_text: str) -> None:
    received, closed, lines = receive(first, to_list(RELEASE))
    assert received == [] and closed
    assert len(lines) == 1 and "10.0.0.9" in lines[0] and f"protocol {log_text}" in lines[0]


@pytest.mark.parametrize(
    ("malformed", "log_text"),
    [
        (["key_release", 1, "key", 7], "key_release: attempt_id: Expected `str`, got `int`"),
        (["key_release", 1, "key"], "key_release: Expected `array` of at least length 4, got 3"),
        (["key_release", 1, "key", "a", "b"], "key_release: Expected `array` of at most length "),
        (["configuration_text", 1, 2, "YQ=="], "configuration_text: text: Expected `bytes`, got `str`"),
        (
            ["shard", 1, ["handoff_ack", "a", "x"]],
            "shard: body: handoff_ack: number: Expected `int`, got `str`",
        ),
        (["shard", 1, ["peek", 3, 4]], "shard: body: kind: Invalid value 'peek'"),
        (["shard", 1, 7], "shard: body: Expected `array`, got `int`"),
        (["news", ["c", 1, 5, 5, [], [], 0]], "news: change: a change ends after its beginning"),
        (
            ["heartbeat", "a", 1, True, [1, "x"], False, []],
            "heartbeat: versions[1]: Expected `int`, got `str`",
        ),
        (["peek", 1], "unknown kind of message 'peek'"),
        ({"kind": "lease"}, "a message must be a list that begins with its kind"),
        (b"\xff", "not valid CBOR: "),
    ],
)
def test_a_malformed_message_closes_its_link_with_one_log_line_that_names_the_field(
    malformed: Any, log_text: str
) -> None:
    received, closed, lines = receive(GREETING, to_list(RELEASE), malformed, to_list(RELEASE))
    assert received == [RELEASE] and closed
    assert len(lines) == 1 and lines[0].startswith(f"link: can't decode a message from 10.0.0.9: {log_text}")


def test_the_dialling_side_sends_the_greeting_first() -> None:
    async def main() -> list[Message]:
        received: list[Message] = []
        loop = asyncio.get_running_loop()
        arrived = asyncio.Event()

        def on_message(_: Link, message: Message) -> None:
            received.append(message)
            arrived.set()

        server = await loop.create_server(
            lambda: Link(on_message, lambda _: None, accepted=True), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        link = await dial(lambda *_: None, lambda _: None, "127.0.0.1", port, "127.0.0.1")
        assert link is not None
        link.send(RELEASE)
        async with asyncio.timeout(10.0):
            await arrived.wait()
        link.close()
        server.close()
        return received

    assert asyncio.run(main()) == [RELEASE]

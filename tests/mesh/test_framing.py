"""The first message of a link between two processes: the number of the protocol."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loguru import logger

from mesh.wire.framing import GREETING, PROTOCOL, Link, dial, pack


class Transport:
    """What an accepted link writes to and closes."""

    def __init__(self) -> None:
        self.closed = False

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True

    def set_write_buffer_limits(self, high: int) -> None:
        """Nothing is buffered."""

    def get_extra_info(self, name: str) -> Any:
        return ("10.0.0.9", 7380) if name == "peername" else None


def accepted(*messages: list[Any]) -> tuple[list[list[Any]], bool, list[str]]:
    """What an accepted link hands on of these messages, whether it ends, and what is logged."""
    heard: list[list[Any]] = []
    lines: list[str] = []

    async def main() -> bool:
        link = Link(lambda _, message: heard.append(message), lambda _: None, accepted=True)
        transport: Any = Transport()
        link.connection_made(transport)
        link.data_received(b"".join(pack(message) for message in messages))
        return bool(transport.closed)

    sink = logger.add(lines.append, format="{message}")
    try:
        return heard, asyncio.run(main()), lines
    finally:
        logger.remove(sink)


def test_the_greeting_opens_a_link_and_is_handed_to_nobody() -> None:
    assert accepted([GREETING, PROTOCOL], ["beat", 1]) == ([["beat", 1]], False, [])


@pytest.mark.parametrize(("first", "told"), [
    ([GREETING, PROTOCOL + 1], str(PROTOCOL + 1)),
    ([GREETING, "x" * 1000], "x" * 20 + ","),
    ([GREETING], "none"),
    (["beat", 1], "none"),  # the builds before had no such message
])  # fmt: skip
def test_another_build_is_told_of_in_one_line_and_hears_nothing(first: list[Any], told: str) -> None:
    heard, closed, lines = accepted(first, ["beat", 1])
    assert heard == [] and closed
    assert len(lines) == 1 and "10.0.0.9" in lines[0] and f"protocol {told}" in lines[0]


def test_whoever_dials_greets_first() -> None:
    async def main() -> list[list[Any]]:
        heard: list[list[Any]] = []
        loop = asyncio.get_running_loop()
        come = asyncio.Event()

        def hear(_: Link, message: list[Any]) -> None:
            heard.append(message)
            come.set()

        server = await loop.create_server(lambda: Link(hear, lambda _: None, accepted=True), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = await dial(lambda *_: None, lambda _: None, "127.0.0.1", port, "127.0.0.1")
        assert link is not None
        link.send("beat", 1)
        async with asyncio.timeout(10.0):
            await come.wait()
        link.close()
        server.close()
        return heard

    assert asyncio.run(main()) == [["beat", 1]]

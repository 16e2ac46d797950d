"""A relay between nodes and one controller that counts the bytes of each kind of message."""

from __future__ import annotations

import asyncio
from collections import Counter

import cbor2

LENGTH_BYTES = 4  # size of the length prefix of each message


class CountingRelay:
    """Forwards messages between nodes and one controller, and counts their bytes."""

    def __init__(self) -> None:
        self.up = Counter[str]()  # bytes sent to the controller, by kind of message
        self.down = Counter[str]()  # bytes sent by the controller, by kind of message
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, listen: tuple[str, int], controller: tuple[str, int]) -> None:
        """Accept connections and forward them to the controller."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                controller_reader, controller_writer = await asyncio.open_connection(*controller)
            except OSError:
                return writer.transport.abort()
            for source, sink, counts in (
                (reader, controller_writer, self.up),
                (controller_reader, writer, self.down),
            ):
                task = asyncio.get_running_loop().create_task(forward_messages(source, sink, counts))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            return None

        self._server = await asyncio.start_server(serve, *listen)

    def clear(self) -> None:
        """Reset the counts."""
        self.up.clear()
        self.down.clear()

    def close(self) -> None:
        """Stop listening, and stop forwarding on all connections."""
        if self._server is not None:
            self._server.close()
        for task in set(self._tasks):
            task.cancel()


async def forward_messages(
    source: asyncio.StreamReader, sink: asyncio.StreamWriter, counts: Counter[str]
) -> None:
    """Forward messages until the source ends; the length prefix counts as part of each message."""
    try:
        while True:
            length = await source.readexactly(LENGTH_BYTES)
            body = await source.readexactly(int.from_bytes(length, "big"))
            counts[str(cbor2.loads(body)[0])] += LENGTH_BYTES + len(body)
            sink.write(length + body)
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        sink.transport.abort()

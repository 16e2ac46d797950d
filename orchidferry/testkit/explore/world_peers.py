"""The node's peers in a world: clients, requests at servers, and the parsing of HTTP messages."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.testkit.explore.loop import FakeTransport


@dataclass(slots=True)
class Client:
    """A client of the node, which sends one request, and the answers that it received.

    :ivar kind: `read`, `pay` or `save`, which name the request classes
    :ivar sent_s: when it sent the end of its request
    :ivar disconnected: whether it closed its connection
    :ivar answers: when each answer was received, and its status
    :ivar unsent: the part of its request that has not arrived at the node
    """

    number: int
    kind: str
    transport: FakeTransport | None = None
    sent_s: float = 0.0
    disconnected: bool = False
    answers: list[tuple[float, int]] = field(default_factory=list)
    closed_s: float | None = None  # when the node closed the connection
    unsent: bytes = b""
    id: str = ""

    @property
    def is_waiting(self) -> bool:
        """Whether its complete request has arrived and it still waits for an answer."""
        asked = self.transport is not None and not self.unsent
        return asked and not self.disconnected and not self.answers and self.closed_s is None


@dataclass(slots=True)
class ServerRequest:
    """A request that a server has received completely.

    :ivar client: the client's id
    :ivar server: the server's number
    :ivar ended: how it ended; "" while it runs; `refused` proves that it did not run
    """

    client: str
    server: int
    transport: FakeTransport
    received_s: float
    ended: str = ""


def take_message(transport: FakeTransport) -> bytes | None:
    """Remove and return the next complete HTTP message that the node has written; None for none."""
    data = bytes(transport.written)
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    length = int(parse_headers(data[: end + 4]).get("content-length", "0"))
    if len(data) < end + 4 + length:
        return None
    del transport.written[: end + 4 + length]
    return data[: end + 4 + length]


def parse_headers(text: bytes) -> dict[str, str]:
    """Return the headers of an HTTP message by their lower-case names."""
    lines = text.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}

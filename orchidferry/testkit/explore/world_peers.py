"""The peers of the node in a world: callers, requests at servers, and the messages on their connections."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.testkit.explore.loop import Wire


@dataclass(slots=True)
class Client:
    """A caller, and what it has seen."""

    number: int
    kind: str
    wire: Wire | None = None
    asked_s: float = 0.0
    left: bool = False
    answers: list[tuple[float, int]] = field(default_factory=list)
    closed_s: float | None = None  # the node closed on it
    rest: bytes = b""  # of its request, that is still on its way
    id: str = ""

    @property
    def waits(self) -> bool:
        """Whether it has asked completely, and still waits for an answer."""
        asked = self.wire is not None and not self.rest
        return asked and not self.left and not self.answers and self.closed_s is None


@dataclass(slots=True)
class CarriedRequest:
    """A request that a server has whole."""

    client: str
    server: int  # by its number
    wire: Wire
    got_s: float
    ended: str = ""  # how; 'refused' proves that it did not run


def take_message(wire: Wire) -> bytes | None:
    """The next whole message that the node has written, taken out."""
    data = bytes(wire.out)
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    length = int(parse_headers(data[: end + 4]).get("content-length", "0"))
    if len(data) < end + 4 + length:
        return None
    del wire.out[: end + 4 + length]
    return data[: end + 4 + length]


def parse_headers(text: bytes) -> dict[str, str]:
    """The headers of a message, by their names in lower case."""
    lines = text.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}

"""Encoding and interpretation of HTTP/1.1 messages between the node and servers (RFC 9112)."""

from __future__ import annotations

import math
from collections.abc import Sequence

from orchidferry.balancing.interface import Result
from orchidferry.node.address import Address
from orchidferry.node.flow import MAX_BUFFERED_BODY
from orchidferry.node.request import Message

MAX_BODY = MAX_BUFFERED_BODY
MAX_HEAD = 16 * 1024  # maximum size in bytes of a message's first line and headers
MAX_REPORTED = 1e6  # maximum of any value in a load report

LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of the chunked coding (RFC 9112, section 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def framing(message: Message) -> bytes:
    """Return the header line that defines where a request's body ends; empty for a request without a body."""
    flow = message.flow
    if flow is not None:
        if flow.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % flow.length
    if message.body or message.method != b"GET":
        return b"Content-Length: %d\r\n" % len(message.body)
    return b""


def request_bytes(
    message: Message, address: Address, timeout_ms: float, more: Sequence[tuple[bytes, bytes]] = ()
) -> bytes:
    """Return a request as it is sent to a server, without the body if that is streamed.

    :param timeout_ms: the time that is left for this attempt, which is sent to the server as its budget.
    :param more: headers in addition to those of the message.
    """
    return b"%b %b HTTP/1.1\r\nHost: %b:%d\r\nX-Call-Id: %b\r\nX-Budget: %.3f\r\n%b%b%b%b\r\n%b" % (
        message.method,
        message.target,
        address[0].encode(),
        address[1],
        message.id.encode(),
        timeout_ms / 1000.0,
        b"Idempotency-Key: %b\r\n" % message.key if message.key is not None else b"",
        b"Content-Type: %b\r\n" % message.content_type if message.content_type is not None else b"",
        framing(message),
        b"".join([b"%b: %b\r\n" % header for header in more]) if more else b"",
        message.body,
    )


def classify_response(status: int, rejected: bool) -> Result:
    """Return the result of the attempt that a complete response stands for.

    :param rejected: whether the server states that it did not run the request.
    """
    if status == 200:
        return Result.SERVED
    return Result.REFUSED if rejected and status in (503, 504) else Result.ERROR


def read_report(text: bytes) -> dict[str, float] | None:
    """Parse a load report.

    Negative values are caused by noise and count as 0. Huge values are capped: the balancer raises them to
    powers, and an overflow would make every server selection fail.

    :returns: values by name; None for a malformed report.
    """
    try:
        pairs = [part.split("=") for part in text.decode("ascii").split(",")]
        report = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return None
    if not all(map(math.isfinite, report.values())):
        return None
    return {name: min(max(0.0, value), MAX_REPORTED) for name, value in report.items()}

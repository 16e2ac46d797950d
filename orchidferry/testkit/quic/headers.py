"""Converts HTTP/1.1 requests, which the test kit generates, into HTTP/3 header fields and bodies."""

from __future__ import annotations

from orchidferry.testkit.quic.certs import SERVER_NAME

Header = tuple[bytes, bytes]  # name and value


def to_h3(message: bytes) -> tuple[list[Header], bytes]:
    """Return the header fields (RFC 9114, section 4.3) and the body of an HTTP/1.1 request."""
    head, _, body = message.partition(b"\r\n\r\n")
    request_line, *lines = head.split(b"\r\n")
    method, target, _ = request_line.split(b" ", 2)
    headers = [
        (b":method", method),
        (b":scheme", b"https"),
        (b":authority", SERVER_NAME.encode()),
        (b":path", target),
    ]
    for line in lines:
        name, _, value = line.partition(b":")
        if name.lower() not in (b"host", b"connection"):
            headers.append((name.lower(), value.strip()))
    return headers, body

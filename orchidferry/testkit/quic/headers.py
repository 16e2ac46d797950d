"""Requests in the form of HTTP/1.1, which the kit's record knows, as HTTP/3 has them."""

from __future__ import annotations

from orchidferry.testkit.quic.certs import SERVER_NAME

Header = tuple[bytes, bytes]


def as_h3(message: bytes) -> tuple[list[Header], bytes]:
    """An HTTP/1.1 request's head and body, as HTTP/3 says them (RFC 9114, section 4.3)."""
    head, _, body = message.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    method, target, _ = first.split(b" ", 2)
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

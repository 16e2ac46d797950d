"""Answers to clients, and their encoding in HTTP/1.1."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

from orchidferry.node.flow import Flow

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


@dataclass(slots=True)
class Reply:
    """The answer to a request."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after_s: float | None = None  # value of the header `Retry-After`; None: no such header
    flow: Flow | None = None  # the body, if it is too long to buffer
    more: Sequence[tuple[bytes, bytes]] = ()  # additional headers


def render(reply: Reply, close: bool, alt_svc: bytes | None = None) -> bytes:
    """Return an answer as it is written to a client, without the body if that is streamed.

    :param close: whether the connection is closed after the answer.
    :param alt_svc: value of the header `Alt-Svc` (RFC 7838); None: no such header.
    """
    length = len(reply.body) if reply.flow is None else reply.flow.length
    return b"%b%b%b%b%b%b%b\r\n%b" % (
        STATUS_LINES.get(reply.status) or b"HTTP/1.1 %d Other\r\n" % reply.status,
        b"Content-Type: %b\r\n" % reply.content_type if reply.content_type is not None else b"",
        b"Retry-After: %.3f\r\n" % reply.retry_after_s if reply.retry_after_s is not None else b"",
        b"Alt-Svc: %b\r\n" % alt_svc if alt_svc is not None else b"",
        b"".join([b"%b: %b\r\n" % header for header in reply.more]) if reply.more else b"",
        b"Connection: close\r\n" if close else b"",
        b"Content-Length: %d\r\n" % length if length is not None else b"Transfer-Encoding: chunked\r\n",
        reply.body,
    )

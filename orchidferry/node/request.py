"""Validation of client requests, done once, before any other code relies on them.

Ids, keys and targets are forwarded to servers unchanged. A request is therefore rejected if a server could
interpret it differently than this node: a duplicate header, a Content-Length together with chunked coding, or
unexpected characters.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote

from orchidferry.balancing import interface as api
from orchidferry.errors import OrchidferryError
from orchidferry.node.flow import Flow

# Headers that may occur only once: of two, a server might use the other one.
UNIQUE_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"content-type",
        b"idempotency-key",
        b"x-call-id",
        b"x-budget",
        b"x-caller",
        b"x-again",
    )
)
TOKEN = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")  # ids and keys, which are written into headers again
SECONDS = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")  # stricter than `float`, which accepts signs and 1_0


@dataclass(slots=True)
class Message:
    """A validated request of a client, with the parts that are forwarded unchanged."""

    method: bytes
    target: bytes
    id: str
    cls: str  # name of the request class
    budget_ms: float  # how long the client waits for the answer
    tenant: str | None
    client_retry: bool  # whether the client states that it has sent the request before
    key: bytes | None  # idempotency key
    content_type: bytes | None
    body: bytes
    flow: Flow | None = None  # the body, if it is too long to buffer; `body` is empty then
    long_answer: bool = False  # whether the client supports answers of unknown length
    chain: dict[bytes, bytes] | None = None  # all headers, if those of a chain of tiers may be among them
    # When the last byte reached this machine, by the node's clock; None: just now. The node may have read it
    # later, and the client's own count started before.
    arrived_ms: float | None = None
    answer_margin_ms: float = 0.0  # how long before the client stops waiting the answer must be sent

    def waiting_since_ms(self, now: float) -> float:
        """Return since when the client is known to wait, by the node's clock, in milliseconds.

        :param now: the current time by the node's clock, in milliseconds.
        """
        return now if self.arrived_ms is None else min(self.arrived_ms, now)

    def due_ms(self, now: float) -> float:
        """Return the time by which the answer must be sent, by the node's clock, in milliseconds.

        :param now: the current time by the node's clock, in milliseconds.
        """
        return self.waiting_since_ms(now) + self.budget_ms - self.answer_margin_ms


class RequestError(OrchidferryError):
    """A request that can't be accepted; the text tells the client why."""


def check_framing(headers: dict[bytes, bytes], version: str) -> None:
    """Check that the headers define unambiguously where the body ends, against request smuggling.

    See RFC 9112, sections 6.3 and 11.2.

    :param version: the HTTP version, such as "1.1".
    :raises RequestError: if the headers are ambiguous.
    """
    coding = headers.get(b"transfer-encoding")
    if coding is None:
        return
    if b"content-length" in headers:
        raise RequestError("Content-Length and Transfer-Encoding together")
    if coding.lower() != b"chunked" or version != "1.1":
        raise RequestError("the only Transfer-Encoding served is chunked, in HTTP/1.1")


def read_message(
    classes: dict[str, api.RequestClass],
    method: bytes,
    target: bytes,
    headers: dict[bytes, bytes],
    body: bytes,
    flow: Flow | None = None,
) -> Message:
    """Validate a request whose headers are complete, and its body too unless that is streamed.

    :param classes: request classes by name; the first segment of the path names the class.
    :param flow: the body, if it is streamed; `body` is empty then.
    :raises RequestError: if the request can't be accepted.
    """
    cls, tenant = _class_and_tenant(classes, target, headers)
    if method != (b"GET" if cls.repeat is api.Repeat.SAFE else b"POST"):
        raise RequestError("not the method of this class")
    if method == b"GET" and (body or flow is not None):
        raise RequestError("GET with a body")
    request_id = headers.get(b"x-call-id")
    if request_id is None or not TOKEN.fullmatch(request_id):
        raise RequestError("X-Call-Id is missing or can't be used")
    key = _idempotency_key(cls, headers)
    budget = headers.get(b"x-budget")
    if budget is None or not SECONDS.fullmatch(budget) or not (budget_s := float(budget)):
        raise RequestError("X-Budget must be seconds above 0")
    return Message(
        method,
        target,
        request_id.decode(),
        cls.name,
        # No client waits longer than its class's deadline: a longer budget would only keep state too long.
        min(budget_s * 1000.0, cls.deadline_ms),
        tenant,
        headers.get(b"x-again") == b"1",
        key,
        headers.get(b"content-type"),
        body,
        flow,
        chain=headers if b"baggage" in headers else None,
    )


def _class_and_tenant(
    classes: dict[str, api.RequestClass], target: bytes, headers: dict[bytes, bytes]
) -> tuple[api.RequestClass, str | None]:
    try:
        path = target.partition(b"?")[0].decode("ascii")
        segment = path.split("/", 2)[1] if path[:1] == "/" else ""
        cls = classes.get(unquote(segment) if "%" in segment else segment)
        caller = headers.get(b"x-caller")
        tenant = caller.decode("utf-8") if caller else None
    except ValueError:
        raise RequestError("X-Caller or the path can't be read") from None
    if cls is None:
        raise RequestError("no such class")
    return cls, tenant


def _idempotency_key(cls: api.RequestClass, headers: dict[bytes, bytes]) -> bytes | None:
    """Return the idempotency key of a request; requests of keyed classes must have one, others must not."""
    key = headers.get(b"idempotency-key")
    keyed = cls.repeat is api.Repeat.KEYED
    if (key is not None) != keyed or (key is not None and not TOKEN.fullmatch(key)):
        raise RequestError("Idempotency-Key does not fit this class")
    return key

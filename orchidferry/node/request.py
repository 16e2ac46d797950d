"""Requests of clients: checked once, here, before anything relies on them.

Ids, keys and targets are forwarded to servers as they came. A request is therefore rejected if a server could
read it in another way than this node did: a header that came twice, a length beside chunks, odd characters.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote

from orchidferry.balancing import interface as api
from orchidferry.errors import OrchidferryError
from orchidferry.node.flow import Flow

# Each may come once: of two, a server might use the other one.
SINGLE = frozenset(
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
TOKEN = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")  # ids and keys: they become parts of a header again
SECONDS = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")  # decimals as the protocol writes them; no signs, no 1_0


@dataclass(slots=True)
class Message:
    """A request as it came in, with what is forwarded unchanged."""

    method: bytes
    target: bytes
    id: str
    cls: str  # name of its request class
    budget_ms: float  # time that its client waits for the answer
    tenant: str | None
    again: bool  # whether the client says that it has sent the request before
    key: bytes | None  # idempotency key
    content_type: bytes | None
    body: bytes
    flow: Flow | None = None  # the body, where it is too long to buffer; `body` is empty then
    long_answer: bool = False  # whether the client can be sent a body of unknown length
    chain: dict[bytes, bytes] | None = None  # all headers, where some are those of a chain of tiers
    # When its last byte reached this machine, by the node's clock; None: just now. The node may have read it
    # later, and the client counts from before.
    arrived_ms: float | None = None
    answer_margin_ms: float = 0.0  # how long before its client stops waiting the answer must be sent

    def waiting_since_ms(self, now: float) -> float:
        """Return since when its client waits, as far as is known.

        :param now: by the node's clock, in milliseconds.
        """
        return now if self.arrived_ms is None else min(self.arrived_ms, now)

    def due_ms(self, now: float) -> float:
        """Return until when the answer must be sent, by the node's clock.

        :param now: by the same clock, in milliseconds.
        """
        return self.waiting_since_ms(now) + self.budget_ms - self.answer_margin_ms


class RequestError(OrchidferryError):
    """A request that can't be accepted; the text tells the client why."""


def check_framing(headers: dict[bytes, bytes], version: str) -> None:
    """Check that headers leave no doubt where the body ends: else another request may hide in it.

    See RFC 9112, section 6.3, and 11.2 on request smuggling.

    :param version: of HTTP, such as "1.1".
    :raises RequestError: if they do.
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
    """Check a request whose headers are complete, and its body too unless that is a flow.

    :param classes: request classes by name; the first segment of the path names one.
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
        # Nobody waits longer than the class's deadline: a longer budget would keep the request's state.
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
    """Return the key of a request, which it must have if servers recognize repeats by it, and only then."""
    key = headers.get(b"idempotency-key")
    keyed = cls.repeat is api.Repeat.KEYED
    if (key is not None) != keyed or (key is not None and not TOKEN.fullmatch(key)):
        raise RequestError("Idempotency-Key does not fit this class")
    return key

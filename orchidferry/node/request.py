"""What a caller's request must be to be taken: checked once, here, before anything believes it.

Ids, keys and targets go on to servers as they came, so nothing passes that a server could read in
another way than this node did: no header twice, no length beside chunks, no odd characters.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote

from orchidferry.balancing import interface as api
from orchidferry.errors import OrchidferryError
from orchidferry.node.flow import Flow

# Each may come once: of two, a server might believe the other one.
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
    """A request as it came in, with what must go on unchanged."""

    method: bytes
    target: bytes
    id: str
    cls: str
    budget_ms: float
    tenant: str | None
    again: bool
    key: bytes | None
    content_type: bytes | None
    body: bytes
    flow: Flow | None = None  # the body, where it is too long to hold; `body` is empty then
    long_answer: bool = False  # whoever asked can be fed an answer that flows
    chain: dict[bytes, bytes] | None = None  # headers of a chain of tiers, as they came


class RequestError(OrchidferryError):
    """A request that can't be taken; the text tells the caller why."""


def check_framing(headers: dict[bytes, bytes], version: str) -> None:
    """Refuse a head that leaves open where its body ends: another request may hide in it."""
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
    """Check a whole request; `RequestError` says what is wrong with it."""
    try:
        path = target.partition(b"?")[0].decode("ascii")
        part = path.split("/", 2)[1] if path[:1] == "/" else ""
        cls = classes.get(unquote(part) if "%" in part else part)
        caller = headers.get(b"x-caller")
        tenant = caller.decode("utf-8") if caller else None
    except ValueError:
        raise RequestError("X-Caller or the path can't be read") from None
    if cls is None:
        raise RequestError("no such class")
    if method != (b"GET" if cls.repeat is api.Repeat.SAFE else b"POST"):
        raise RequestError("not the method of this class")
    if method == b"GET" and (body or flow is not None):
        raise RequestError("GET with a body")
    id = headers.get(b"x-call-id")
    key = headers.get(b"idempotency-key")
    budget = headers.get(b"x-budget")
    if id is None or not TOKEN.fullmatch(id):
        raise RequestError("X-Call-Id is missing or can't be used")
    # Without its key servers could not drop a keyed request's repeats.
    keyed = cls.repeat is api.Repeat.KEYED
    if (key is not None) != keyed or (key is not None and not TOKEN.fullmatch(key)):
        raise RequestError("Idempotency-Key does not fit this class")
    if budget is None or not SECONDS.fullmatch(budget) or not (budget_s := float(budget)):
        raise RequestError("X-Budget must be seconds above 0")
    return Message(
        # Nobody waits longer than the class's deadline: a longer budget would hold the books open.
        method,
        target,
        id.decode(),
        cls.name,
        min(budget_s * 1000.0, cls.deadline_ms),
        tenant,
        headers.get(b"x-again") == b"1",
        key,
        headers.get(b"content-type"),
        body,
        flow,
        chain=headers if b"baggage" in headers else None,
    )

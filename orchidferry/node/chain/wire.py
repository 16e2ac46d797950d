"""The headers that are passed along a chain of tiers, and the check of their authenticity.

    baggage: of-root=R, of-extra=1, of-worth=8, of-until=1796160000, of-tag=k1.HEX      W3C Baggage
    CDN-Loop: orchidferry; hop="entrada/n0", orchidferry; hop="catalogo/n3"             RFC 8586
    X-Budget                                                                            the time
    X-Chain: below; used=1                                                              in an answer

Values are accepted only with a tag: HMAC-SHA256 (RFC 2104) over all of them, truncated to 16 bytes, under one
of the keys that the nodes of a chain share. It expires with the request's own time and some slack for clock
skew. Whoever copies a tag between a node and a server can use it no longer, and for no more calls, than one
request may lead to.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping

from orchidferry.balancing.chain import MAX_HOPS
from orchidferry.balancing.interface import Carried

Headers = list[tuple[bytes, bytes]]
TAG_BYTES = 16
MAX_USED = 99  # two digits
MAX_HEADER = 2_048  # bytes of a header that is read
SLACK_S = 30.0  # for clock skew, and for calls that outlive their client
FUTURE_S = 3_600.0  # a tag that is valid for longer was not made by a node
MAX_ROOTS = 20_000  # requests whose calls are counted
MAX_CALLS = 512  # calls of one request that are accepted
BAGGAGE = re.compile(
    rb"of-root=([A-Za-z0-9._-]{1,64}), of-extra=(\d{1,2}), of-worth=(\d{1,7}(?:\.\d{1,3})?), "
    rb"of-until=(\d{1,12}), of-tag=([A-Za-z0-9]{1,16})\.([0-9a-f]{%d})" % (2 * TAG_BYTES)
)
HOP = re.compile(rb'orchidferry; ?hop="([A-Za-z0-9._-]{1,64}/[A-Za-z0-9._-]{1,64})"')
ANSWER = re.compile(rb"(below|kept); used=(\d{1,2})")


class HeaderCodec:
    """Writes and reads the headers of one node; `counts` has what was rejected, by reason."""

    def __init__(self, keys: tuple[tuple[str, bytes], ...], wall_s: Callable[[], float] = time.time) -> None:
        self._keys = dict(keys)
        self._wall_s = wall_s
        self._signs = keys[0][0] if keys else ""
        self._roots: OrderedDict[str, int] = OrderedDict()  # calls of each, the newest last
        self.counts: Counter[str] = Counter()

    def _tag(self, key: str, text: bytes) -> bytes:
        digest = hmac.new(self._keys[key], b"%b|%b" % (key.encode(), text), hashlib.sha256).digest()
        return digest[:TAG_BYTES].hex().encode()

    def write(self, carried: Carried, left_s: float) -> Headers:
        """Return the headers of an attempt.

        :param left_s: its timeout.
        """
        hops = b", ".join(b'orchidferry; hop="%b"' % hop.encode() for hop in carried.path)
        found: Headers = [(b"cdn-loop", hops)]
        if self._signs:
            text = b"of-root=%b, of-extra=%d, of-worth=%b, of-until=%d" % (
                carried.root.encode(),
                carried.extra,
                b"%.3f" % carried.worth,
                int(self._wall_s() + left_s + SLACK_S),
            )
            tag = self._tag(self._signs, text + hops)
            found.append((b"baggage", b"%b, of-tag=%b.%b" % (text, self._signs.encode(), tag)))
        return found

    def read(self, headers: Mapping[bytes, bytes]) -> Carried | None:
        """Return what headers say, if they are well-formed, authentic, in time and not too frequent."""
        baggage = headers.get(b"baggage", b"")
        hops = headers.get(b"cdn-loop", b"")
        if b"of-tag=" not in baggage:
            return None  # none, or another application's
        if len(baggage) > MAX_HEADER or len(hops) > MAX_HEADER:
            return self._reject("too long")
        match = BAGGAGE.search(baggage)
        path = HOP.findall(hops)
        if match is None or len(path) > MAX_HOPS:
            return self._reject("not in its form")
        root, extra, worth, until, key, tag = match.groups()
        text = baggage[match.start() : match.start(5) - len(b", of-tag=")]
        if key.decode() not in self._keys:
            return self._reject("an unknown key")
        if not hmac.compare_digest(self._tag(key.decode(), text + hops), tag):
            return self._reject("a tag that does not fit")
        if not 0.0 <= int(until) - self._wall_s() <= FUTURE_S:
            return self._reject("a tag whose time is over")
        calls = self._roots.pop(root.decode(), 0) + 1
        self._roots[root.decode()] = calls
        if len(self._roots) > MAX_ROOTS:
            self._roots.popitem(last=False)
        if calls > MAX_CALLS:
            return self._reject("a tag that came too often")
        return Carried(root.decode(), int(extra), float(worth), tuple(hop.decode() for hop in path))

    def _reject(self, reason: str) -> Carried | None:
        self.counts[reason] += 1
        return None


def write_answer(below: bool, used: int) -> Headers:
    """Return the headers of an answer.

    :param below: whether the tier below is overloaded.
    :param used: attempts beyond the first that were made there.
    """
    if not below and not used:
        return []
    return [(b"x-chain", b"%b; used=%d" % (b"below" if below else b"kept", min(used, MAX_USED)))]


def read_answer(value: bytes | None) -> tuple[bool, int]:
    """Return the values that `write_answer` was given; False and 0 without such a header."""
    match = ANSWER.fullmatch(value.strip()) if value is not None else None
    return (False, 0) if match is None else (match[1] == b"below", int(match[2]))

"""What goes along a chain, as headers; and which of what comes is believed.

    baggage: of-root=R, of-extra=1, of-worth=8, of-until=1796160000, of-tag=k1.HEX      W3C Baggage
    CDN-Loop: orchidferry; hop="entrada/n0", orchidferry; hop="catalogo/n3"             RFC 8586
    X-Budget                                                                            the time, as ever
    X-Chain: below; used=1                                                              with an answer

Values are believed with a tag alone: HMAC-SHA256 (RFC 2104) over all of them, cut to 16 bytes, under one of
the keys that this chain's nodes share. It ends with the request's own time and some slack for clocks that are
apart. Who could copy one that is on its way between a node and a server can use it for so long and so often
as one request may lead to calls, no longer and no oftener.
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
MAX_HEADER = 2_048  # bytes of a header that is read at all
SLACK_S = 30.0  # of clocks, and of calls that outlive whoever asked
FUTURE_S = 3_600.0  # a tag that is good for longer was not made here
# requests whose calls are counted; calls of one that are believed
MAX_ROOTS = 20_000
MAX_CALLS = 512
BAGGAGE = re.compile(
    rb"of-root=([A-Za-z0-9._-]{1,64}), of-extra=(\d{1,2}), of-worth=(\d{1,7}(?:\.\d{1,3})?), "
    rb"of-until=(\d{1,12}), of-tag=([A-Za-z0-9]{1,16})\.([0-9a-f]{%d})" % (2 * TAG_BYTES)
)
HOP = re.compile(rb'orchidferry; ?hop="([A-Za-z0-9._-]{1,64}/[A-Za-z0-9._-]{1,64})"')
ANSWER = re.compile(rb"(below|kept); used=(\d{1,2})")


class Wire:
    """Writes and reads the headers of one node. `counts` tells what was not believed, by reason."""

    def __init__(self, keys: tuple[tuple[str, bytes], ...], wall_s: Callable[[], float] = time.time) -> None:
        self._keys = dict(keys)
        self._wall_s = wall_s
        self._signs = keys[0][0] if keys else ""
        self._roots: OrderedDict[str, int] = OrderedDict()  # calls that came of each, the latest last
        self.counts: Counter[str] = Counter()

    def _tag(self, key: str, text: bytes) -> bytes:
        digest = hmac.new(self._keys[key], b"%b|%b" % (key.encode(), text), hashlib.sha256).digest()
        return digest[:TAG_BYTES].hex().encode()

    def write(self, carried: Carried, left_s: float) -> Headers:
        """The headers that go on with an attempt that has so long."""
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
        """What came along, if it can be believed: whole, in its own form, in time, and not too often."""
        baggage = headers.get(b"baggage", b"")
        hops = headers.get(b"cdn-loop", b"")
        if b"of-tag=" not in baggage:
            return None  # other people's baggage, or none
        if len(baggage) > MAX_HEADER or len(hops) > MAX_HEADER:
            return self._not("too long")
        match = BAGGAGE.search(baggage)
        path = HOP.findall(hops)
        if match is None or len(path) > MAX_HOPS:
            return self._not("not in its form")
        root, extra, worth, until, key, tag = match.groups()
        text = baggage[match.start() : match.start(5) - len(b", of-tag=")]
        if key.decode() not in self._keys:
            return self._not("an unknown key")
        if not hmac.compare_digest(self._tag(key.decode(), text + hops), tag):
            return self._not("a tag that does not fit")
        if not 0.0 <= int(until) - self._wall_s() <= FUTURE_S:
            return self._not("a tag whose time is over")
        calls = self._roots.pop(root.decode(), 0) + 1
        self._roots[root.decode()] = calls
        if len(self._roots) > MAX_ROOTS:
            self._roots.popitem(last=False)
        if calls > MAX_CALLS:
            return self._not("a tag that came too often")
        return Carried(root.decode(), int(extra), float(worth), tuple(hop.decode() for hop in path))

    def _not(self, why: str) -> Carried | None:
        self.counts[why] += 1
        return None


def write_answer(below: bool, used: int) -> Headers:
    """What goes up with an answer; nothing where there is nothing to tell."""
    if not below and not used:
        return []
    return [(b"x-chain", b"%b; used=%d" % (b"below" if below else b"kept", min(used, 99)))]


def read_answer(value: bytes | None) -> tuple[bool, int]:
    """Whether the tier below is overloaded, and attempts beyond the first that were made there."""
    match = ANSWER.fullmatch(value.strip()) if value is not None else None
    return (False, 0) if match is None else (match[1] == b"below", int(match[2]))

"""The headers that are passed along a chain of tiers, and the check of their authenticity.

    baggage: of-root=R, of-extra=1, of-worth=8, of-until=1796160000, of-tag=k1.HEX      W3C Baggage
    CDN-Loop: orchidferry; hop="entrada/n0", orchidferry; hop="catalogo/n3"             RFC 8586
    X-Budget                                                                            the remaining time
    X-Chain: below; used=1                                                              only in an answer

Values are accepted only with a valid tag: HMAC-SHA256 (RFC 2104) over all of them, truncated to 16 bytes,
with one of the keys that the nodes of a chain share. A tag expires with the budget of its request, plus some
slack for clock skew. An attacker who copies a tag between a node and a server can therefore use it for no
longer, and for no more calls, than a single request may cause.
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
MAX_USED = 99  # maximum of `used` in the header `X-Chain`, which has two digits
MAX_HEADER_BYTES = 2_048  # bytes; a longer header is rejected
TAG_SLACK_S = 30.0  # additional validity of a tag for clock skew and for calls that outlive their client
MAX_TAG_VALIDITY_S = 3_600.0  # a tag that is valid for longer was not made by a node
MAX_ROOTS = 20_000  # number of client requests for which calls are counted
MAX_CALLS = 512  # maximum number of calls that one client request may cause at this node
BAGGAGE = re.compile(
    rb"of-root=([A-Za-z0-9._-]{1,64}), of-extra=(\d{1,2}), of-worth=(\d{1,7}(?:\.\d{1,3})?), "
    rb"of-until=(\d{1,12}), of-tag=([A-Za-z0-9]{1,16})\.([0-9a-f]{%d})" % (2 * TAG_BYTES)
)
HOP = re.compile(rb'orchidferry; ?hop="([A-Za-z0-9._-]{1,64}/[A-Za-z0-9._-]{1,64})"')
ANSWER_HEADER = re.compile(rb"(below|kept); used=(\d{1,2})")


class HeaderCodec:
    """Writes and reads the chain headers of one node; `counts` is the number of rejected ones by reason."""

    def __init__(self, keys: tuple[tuple[str, bytes], ...], wall_s: Callable[[], float] = time.time) -> None:
        """Create a `HeaderCodec`.

        :param keys: name and secret of each shared key; the first key signs.
        :param wall_s: returns the Unix time in seconds.
        """
        self._keys = dict(keys)
        self._wall_s = wall_s
        self._signing_key = keys[0][0] if keys else ""  # name of the key that signs
        # Number of calls for each client request (`Carried.root`), the most recent request last
        self._calls_by_root: OrderedDict[str, int] = OrderedDict()
        self.counts: Counter[str] = Counter()

    def _tag(self, key: str, text: bytes) -> bytes:
        digest = hmac.new(self._keys[key], b"%b|%b" % (key.encode(), text), hashlib.sha256).digest()
        return digest[:TAG_BYTES].hex().encode()

    def write(self, carried: Carried, left_s: float) -> Headers:
        """Return the headers of an attempt.

        :param left_s: the timeout of the attempt, in seconds.
        """
        hops = b", ".join(b'orchidferry; hop="%b"' % hop.encode() for hop in carried.path)
        found: Headers = [(b"cdn-loop", hops)]
        if self._signing_key:
            text = b"of-root=%b, of-extra=%d, of-worth=%b, of-until=%d" % (
                carried.root.encode(),
                carried.extra,
                b"%.3f" % carried.worth,
                int(self._wall_s() + left_s + TAG_SLACK_S),
            )
            tag = self._tag(self._signing_key, text + hops)
            found.append((b"baggage", b"%b, of-tag=%b.%b" % (text, self._signing_key.encode(), tag)))
        return found

    def read(self, headers: Mapping[bytes, bytes]) -> Carried | None:
        """Return the values in the headers if they are well-formed, authentic, not expired or overused."""
        baggage = headers.get(b"baggage", b"")
        hops = headers.get(b"cdn-loop", b"")
        if b"of-tag=" not in baggage:
            return None  # there is no baggage, or it belongs to another application
        if len(baggage) > MAX_HEADER_BYTES or len(hops) > MAX_HEADER_BYTES:
            return self._reject("too long")
        match = BAGGAGE.search(baggage)
        path = HOP.findall(hops)
        if match is None or len(path) > MAX_HOPS:
            return self._reject("malformed")
        root, extra, worth, until, key, tag = match.groups()
        text = baggage[match.start() : match.start(5) - len(b", of-tag=")]
        if key.decode() not in self._keys:
            return self._reject("unknown key")
        if not hmac.compare_digest(self._tag(key.decode(), text + hops), tag):
            return self._reject("wrong tag")
        if not 0.0 <= int(until) - self._wall_s() <= MAX_TAG_VALIDITY_S:
            return self._reject("expired tag")
        calls = self._calls_by_root.pop(root.decode(), 0) + 1
        self._calls_by_root[root.decode()] = calls
        if len(self._calls_by_root) > MAX_ROOTS:
            self._calls_by_root.popitem(last=False)
        if calls > MAX_CALLS:
            return self._reject("tag used too often")
        return Carried(root.decode(), int(extra), float(worth), tuple(hop.decode() for hop in path))

    def _reject(self, reason: str) -> Carried | None:
        self.counts[reason] += 1
        return None


def write_answer(below: bool, used: int) -> Headers:
    """Return the chain headers of an answer.

    :param below: whether a tier below is overloaded.
    :param used: number of retries that were made in the tiers below.
    """
    if not below and not used:
        return []
    return [(b"x-chain", b"%b; used=%d" % (b"below" if below else b"kept", min(used, MAX_USED)))]


def read_answer(value: bytes | None) -> tuple[bool, int]:
    """Return the arguments of `write_answer` that produced a header; False and 0 without a valid header."""
    match = ANSWER_HEADER.fullmatch(value.strip()) if value is not None else None
    return (False, 0) if match is None else (match[1] == b"below", int(match[2]))

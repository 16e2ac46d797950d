"""Decides which classes of recorded requests may be sent to which servers. No I/O.

A recording may contain requests that must not be executed again: payments, messages, deletions. So
requests of an unsafe class are sent only to servers that the kit started itself, and only on connections on
which the server has proved this: before the first such request, it must answer a nonce with its HMAC (RFC
2104) under the key of the run, which only the kit's processes have. Other targets get no unsafe classes,
unless the user names both class and target; each request then carries a header that marks it as replayed and
names its class. A target is a single IP address: there is no name resolution, no proxy is used and no
redirect is followed, so that requests can't reach any other server.
"""

from __future__ import annotations

import hashlib
import hmac
import ipaddress
import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import urlsplit

from orchidferry.errors import OrchidferryError

PROOF_CLASS = "kit-proof"  # class of the proof requests; safe, and answered at once by any stand-in server
MARK = "X-Replayed"  # header of every request to a target that the kit did not start
NONCE_BYTES = 16
KEY_BYTES = 32
NONCE = re.compile(f"[0-9a-f]{{{2 * NONCE_BYTES}}}")


class TargetError(OrchidferryError):
    """A target can't be used; the text says why, in one line."""


class Permission(Enum):
    """Whether and how the requests of a class may be sent."""

    SEND = "send"
    PROVEN = "proven"  # sent on connections to servers that have proved that the kit started them
    MARKED = "marked"  # sent with the header `MARK`
    LEFT_OUT = "left out"  # not sent


@dataclass(frozen=True, slots=True)
class Target:
    """The address of one server that the kit did not start."""

    host: str  # an IP address
    port: int

    @property
    def address(self) -> tuple[str, int]:
        """Host and port, as the functions of sockets take them."""
        return self.host, self.port

    @property
    def loopback(self) -> bool:
        """Whether the address is a loopback address."""
        return ipaddress.ip_address(self.host).is_loopback

    def __str__(self) -> str:
        return f"http://[{self.host}]:{self.port}" if ":" in self.host else f"http://{self.host}:{self.port}"


def read_target(url: str) -> Target:
    """Parse a target.

    Host names are rejected, as a name may resolve to another machine at the next look-up. `localhost` is
    taken for 127.0.0.1, without a look-up.

    :param url: `http://ADDRESS[:PORT]`.
    :raises TargetError: for any other text.
    """
    try:
        parts = urlsplit(url)
        host = parts.hostname or ""
        port = parts.port or 80
    except ValueError:
        raise TargetError(f"{url!r:.80} is no URL") from None
    if parts.scheme != "http" or parts.username is not None or parts.password is not None:
        raise TargetError(f"{url!r:.80} is not http://ADDRESS:PORT")
    if parts.path not in ("", "/") or parts.query or parts.fragment:
        raise TargetError(f"{url!r:.80} has more than an address: paths come from the classes")
    if host == "localhost":
        host = "127.0.0.1"
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        raise TargetError(f"{url!r:.80}: {host!r:.60} is no IP address; names are not looked up") from None
    mapped = address.ipv4_mapped if isinstance(address, ipaddress.IPv6Address) else None
    address = mapped or address
    if address.is_unspecified or address.is_multicast or getattr(address, "scope_id", None):
        raise TargetError(f"{url!r:.80}: {host} is not the address of one machine")
    return Target(str(address), port)


@dataclass(frozen=True, slots=True)
class Guard:
    """Decides which classes may be sent in one run."""

    target: Target | None = None  # None: servers that the kit starts
    # Classes that the user allows for this target
    named: frozenset[str] = field(default_factory=frozenset)

    def permission(self, name: str, repeat: str) -> Permission:
        """Decide whether and how the requests of a class may be sent.

        :param name: of the class.
        :param repeat: `safe`, `keyed` or `unsafe`; any other text counts as unsafe.
        """
        harmless = repeat in ("safe", "keyed")
        if self.target is None:
            return Permission.SEND if harmless else Permission.PROVEN
        if name in self.named:
            return Permission.MARKED
        return Permission.MARKED if harmless and self.target.loopback else Permission.LEFT_OUT


def read_guard(target: str | None, names: Iterable[str]) -> Guard:
    """Make a guard from command-line options.

    :param target: the URL of the target; None for servers that the kit starts.
    :param names: classes that the user allows, each as `CLASS@URL` with the URL of the target.
    :raises TargetError: if an option can't be used.
    """
    found = None if target is None else read_target(target)
    classes = set()
    for text in names:
        name, at, url = text.partition("@")
        if not name or not at:
            raise TargetError(f"{text!r:.80} is not CLASS@URL")
        if found is None:
            raise TargetError(f"{text!r:.80}: names a target, and there is none")
        if read_target(url) != found:
            raise TargetError(f"{text!r:.80}: names another target than {found}")
        classes.add(name)
    return Guard(found, frozenset(classes))


def new_key() -> str:
    """Draw the secret key of one run.

    :returns: the key, as hex.
    """
    return secrets.token_hex(KEY_BYTES)


def new_nonce() -> str:
    """Draw a nonce for one connection.

    :returns: the nonce, as hex.
    """
    return secrets.token_hex(NONCE_BYTES)


def proof(key: str, nonce: str) -> bytes:
    """Compute the answer to a nonce: its HMAC (RFC 2104) under the key.

    :returns: the answer; empty if `key` is empty or `nonce` is not a nonce.
    """
    if not key or not NONCE.fullmatch(nonce):
        return b""
    return hmac.new(bytes.fromhex(key), nonce.encode(), hashlib.sha256).hexdigest().encode()


def proven(key: str, nonce: str, answer: bytes) -> bool:
    """Verify an answer to a nonce, in constant time.

    :returns: whether the sender of the answer has the key.
    """
    expected = proof(key, nonce)
    return bool(expected) and hmac.compare_digest(expected, answer)

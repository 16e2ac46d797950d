"""What of recorded traffic may be sent where. Free of I/O.

A recording may hold what must not happen again: payments, messages, deletions. So a class that is unsafe to
repeat goes to servers that the kit itself started and that prove it, connection by connection: before the
first such request on a connection its other end must answer a nonce with the HMAC (RFC 2104) under the run's
own key, which only the kit's processes hold. To any other target unsafe classes are left out, unless both
class and target are named by hand, and then each request says what it is. A target is one address, written as
such: nothing is looked up, no proxy is asked, and no redirect is followed, so there is no second place.
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

PROOF_CLASS = "kit-proof"  # as the nodes of a replay know it: safe, and answered at once by any stand-in
MARK = "X-Replayed"  # header of every request to a target that is not the kit's own
NONCE_BYTES = 16
KEY_BYTES = 32
NONCE = re.compile(f"[0-9a-f]{{{2 * NONCE_BYTES}}}")


class TargetError(OrchidferryError):
    """A target that can't be used, in one line."""


class Permission(Enum):
    """What may be done with the requests of a class."""

    SEND = "send"
    PROVEN = "proven"  # on connections whose other end has proven to be the kit's own
    MARKED = "marked"  # named by hand: sent with a mark
    LEFT_OUT = "left out"


@dataclass(frozen=True, slots=True)
class Target:
    """One address that is not the kit's own."""

    host: str  # an IP address
    port: int

    @property
    def address(self) -> tuple[str, int]:
        """Host and port, as sockets take them."""
        return self.host, self.port

    @property
    def loopback(self) -> bool:
        """Whether the address is of this machine alone."""
        return ipaddress.ip_address(self.host).is_loopback

    def __str__(self) -> str:
        return f"http://[{self.host}]:{self.port}" if ":" in self.host else f"http://{self.host}:{self.port}"


def read_target(url: str) -> Target:
    """Parse a target.

    Names are refused, as a name may mean another machine by the time that it is looked up again; `localhost`
    is 127.0.0.1, without a look-up.

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
    """Decides for the classes of one run."""

    target: Target | None = None  # None: the kit's own world
    named: frozenset[str] = field(default_factory=frozenset)  # classes, by hand, for this very target

    def permission(self, name: str, repeat: str) -> Permission:
        """Decide what may be done with the requests of a class.

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
    """Make a guard from the options of the command line.

    :param target: the URL of the target; None for the kit's own world.
    :param names: classes that may be sent, each as `CLASS@URL` with the URL of the target.
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
    """Draw the key of one run.

    :returns: the key, as hex.
    """
    return secrets.token_hex(KEY_BYTES)


def new_nonce() -> str:
    """Draw a nonce for one connection.

    :returns: the nonce, as hex.
    """
    return secrets.token_hex(NONCE_BYTES)


def proof(key: str, nonce: str) -> bytes:
    """Compute the answer to a nonce, which needs the key (HMAC, RFC 2104).

    :returns: the answer; empty if there is no key, or `nonce` is none.
    """
    if not key or not NONCE.fullmatch(nonce):
        return b""
    return hmac.new(bytes.fromhex(key), nonce.encode(), hashlib.sha256).hexdigest().encode()


def proven(key: str, nonce: str, answer: bytes) -> bool:
    """Verify an answer to a nonce, in constant time.

    :returns: whether its sender has the key.
    """
    expected = proof(key, nonce)
    return bool(expected) and hmac.compare_digest(expected, answer)

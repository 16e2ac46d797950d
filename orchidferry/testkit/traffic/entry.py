"""One request of a log, as all readers parse it, and the checks of its values."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from orchidferry.errors import OrchidferryError

METHOD = re.compile(r"[A-Za-z0-9_-]{1,32}")
# characters: longer ones are no request that a server takes
MAX_TARGET = 8_192
MAX_TEXT = 1_024
MAX_SIZE = 1 << 50  # bytes of a body
MAX_SECONDS = 86_400.0  # of one request: more is another unit, or another field
# 2000 to 2100: what is outside is no time of a request
EARLIEST = 946_684_800.0
LATEST = 4_102_444_800.0


class EntryError(OrchidferryError):
    """A line or entry that is not a request; the text is the reason, the same for all of its kind."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One request as it was logged. Nothing of its text is kept in a recording as it is."""

    start: float  # seconds since 1970, UTC
    took_s: float | None  # None: not logged
    method: str
    target: str  # path and query; of an absolute form its path and query alone
    status: int  # 0: no answer
    sent: int  # bytes of the answer's body
    received: int  # bytes of the request's body
    address: str = ""
    agent: str = ""
    host: str = ""
    fields: Mapping[str, str] | None = None  # headers and cookies that were asked for, by lower-case name
    resolution_s: float = 0.0  # how finely its time was logged: 1.0 for whole seconds, 0 for a HAR's
    aborted: bool = False  # the client went away

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


def method_of(text: str) -> str:
    """Check a method (RFC 9110, section 9.1).

    :returns: the method in upper case.
    :raises EntryError: if the text is no method.
    """
    if (
        not text
        or len(text) > 32
        or not text.replace("-", "").replace("_", "").isalnum()
        or not text.isascii()
    ):
        raise EntryError("no method")
    return text.upper()


def target_of(text: str) -> str:
    """Take path and query from any form of request target (RFC 9112, section 3.2).

    :raises EntryError: if the target is too long, or has no path.
    """
    if len(text) > MAX_TARGET:
        raise EntryError("a target that is too long")
    if "://" in text[:16]:
        rest = text.partition("://")[2]
        at = min((p for p in (rest.find("/"), rest.find("?"), rest.find("#")) if p >= 0), default=len(rest))
        text = rest[at:]
        if not text.startswith("/"):
            text = "/" + text
    text = text.partition("#")[0]
    if text == "*" or text.startswith("/"):
        return text
    raise EntryError("a target that is no path")


def moment(seconds: float) -> float:
    """Check the time of a request.

    :param seconds: since 1970, UTC.
    :raises EntryError: if it is not within 2000 to 2100.
    """
    if not EARLIEST <= seconds <= LATEST:
        raise EntryError("a time out of range")
    return seconds


def duration(seconds: float) -> float:
    """Check the duration of a request.

    :raises EntryError: if it is negative, or more than a day.
    """
    if not 0.0 <= seconds <= MAX_SECONDS:
        raise EntryError("a duration out of range")
    return seconds


def size_of(number: int) -> int:
    """Check the size of a body.

    :param number: of bytes; negative if unknown.
    :returns: the size; 0 if unknown.
    :raises EntryError: if it is out of range.
    """
    if number > MAX_SIZE:
        raise EntryError("a size out of range")
    return max(0, number)


def status_of(number: int) -> int:
    """Check a status, those outside RFC 9110 such as 499 included.

    :param number: the status; 0 for no answer.
    :raises EntryError: if it has not three digits.
    """
    if number and not 100 <= number <= 999:
        raise EntryError("a status out of range")
    return number

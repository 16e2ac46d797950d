"""One logged request, as the parsers of all formats return it, and checks of its values."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from orchidferry.errors import OrchidferryError

METHOD = re.compile(r"[A-Za-z0-9_-]{1,32}")
MAX_TARGET = 8_192  # characters of a request target; servers do not accept longer ones
MAX_TEXT = 1_024  # characters of any other text; longer ones are cut off
MAX_SIZE = 1 << 50  # bytes of a body
MAX_SECONDS = 86_400.0  # duration of a request; a larger value has another unit or is another field
# Valid request times are from 2000 to 2100; in seconds since 1970
EARLIEST = 946_684_800.0
LATEST = 4_102_444_800.0


class EntryError(OrchidferryError):
    """A line or entry is not a request; the text is the reason, the same for all lines with this fault."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One request as it was logged. A recording stores none of its texts."""

    start: float  # seconds since 1970, UTC
    took_s: float | None  # duration; None: not logged
    method: str
    target: str  # path and query, also if the request target was in absolute form
    status: int  # 0: no answer
    sent: int  # bytes of the response body
    received: int  # bytes of the request body
    address: str = ""  # address of the client
    agent: str = ""  # User-Agent
    host: str = ""
    fields: Mapping[str, str] | None = None  # the headers and cookies to keep, by lower-case name
    resolution_s: float = 0.0  # resolution of the logged time: 1.0 for whole seconds, 0.0 for a finer one
    aborted: bool = False  # the client closed the connection before the answer

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


def method_of(text: str) -> str:
    """Check a method (RFC 9110, section 9.1).

    :returns: the method in upper case.
    :raises EntryError: if the text is not a method.
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
    """Extract path and query from any form of request target (RFC 9112, section 3.2).

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


def check_time(seconds: float) -> float:
    """Check the time of a request.

    :param seconds: since 1970, UTC.
    :returns: the same time.
    :raises EntryError: if the time is not within 2000 to 2100.
    """
    if not EARLIEST <= seconds <= LATEST:
        raise EntryError("a time out of range")
    return seconds


def check_duration(seconds: float) -> float:
    """Check the duration of a request.

    :returns: the same duration.
    :raises EntryError: if the duration is negative, or more than a day.
    """
    if not 0.0 <= seconds <= MAX_SECONDS:
        raise EntryError("a duration out of range")
    return seconds


def size_of(number: int) -> int:
    """Check the size of a body.

    :param number: bytes of the body; negative if unknown.
    :returns: the size; 0 if unknown.
    :raises EntryError: if the size is out of range.
    """
    if number > MAX_SIZE:
        raise EntryError("a size out of range")
    return max(0, number)


def status_of(number: int) -> int:
    """Check a status code; codes that RFC 9110 does not define, such as 499, are valid too.

    :param number: the status; 0 for no answer.
    :returns: the same status.
    :raises EntryError: if the status does not have three digits.
    """
    if number and not 100 <= number <= 999:
        raise EntryError("a status out of range")
    return number

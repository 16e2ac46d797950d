"""Every way in which a call can be turned down, and the one table from kind to answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from orchidferry.errors import OrchidferryError


class Kind(Enum):
    """Why a call is turned down. The list is closed."""

    UNREADABLE = "it can't be read"
    INVALID = "it breaks a rule of its resource"
    UNKNOWN = "there is no such thing"
    NO_ROUTE = "no route leads there"
    OTHER_VERSION = "another version is in place"
    OLD_VERSION = "its number is not above the current one"
    KEY_AT_WORK = "the first run of its key is under way"
    SHED = "it has not run; come back"
    BROKEN = "it may have run"
    LATE = "no answer in time"
    FORGOTTEN = "whether it was taken is not known here"
    NO_MAJORITY = "too few controllers answered"
    OUT_OF_CONTACT = "this controller hears no majority; nothing was begun, ask another one"
    UNCLEAR = "it may be in force or not; send the very same again"
    STARTING = "not ready yet"


STATUS = {
    Kind.UNREADABLE: 400,
    Kind.INVALID: 400,
    Kind.UNKNOWN: 404,
    Kind.NO_ROUTE: 404,
    Kind.OTHER_VERSION: 412,
    Kind.OLD_VERSION: 400,
    Kind.KEY_AT_WORK: 409,
    Kind.SHED: 503,
    Kind.BROKEN: 502,
    Kind.LATE: 504,
    Kind.FORGOTTEN: 504,
    Kind.NO_MAJORITY: 503,
    Kind.OUT_OF_CONTACT: 503,
    Kind.UNCLEAR: 504,
    Kind.STARTING: 503,
}


class StoreError(OrchidferryError):
    """A controller's store can't be opened; one line that names the folder."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A call that was turned down, and what to tell whoever made it."""

    kind: Kind
    text: str = ""

    @property
    def status(self) -> int:
        """The HTTP status of its answer."""
        return STATUS[self.kind]

    @property
    def line(self) -> str:
        """One line for whoever made the call."""
        return f"{self.kind.value}: {self.text}" if self.text else self.kind.value

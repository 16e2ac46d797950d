"""The reasons for which the mesh rejects a request, and the error of a controller's store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from orchidferry.errors import OrchidferryError


class RejectionReason(Enum):
    """Why a request is rejected; there are no other reasons.

    Each member holds the code that the body of the response contains, the HTTP status of the response, and a
    description for the caller.
    """

    MALFORMED = ("unreadable", 400, "it can't be read")
    INVALID = ("invalid", 400, "it breaks a rule of its resource")
    NOT_FOUND = ("unknown", 404, "there is no such thing")
    NO_ROUTE = ("no_route", 404, "no route leads there")
    VERSION_MISMATCH = ("other_version", 412, "another version is in place")
    STALE_VERSION = ("old_version", 400, "its number is not above the current one")
    KEY_IN_PROGRESS = ("key_at_work", 409, "the first run of its key is under way")
    NOT_EXECUTED = ("shed", 503, "it has not run; come back")
    EXECUTION_UNKNOWN = ("broken", 502, "it may have run")
    TIMEOUT = ("late", 504, "no answer in time")
    HISTORY_EXPIRED = ("forgotten", 504, "whether it was taken is not known here")
    NO_MAJORITY = ("no_majority", 503, "too few controllers answered")
    OUT_OF_CONTACT = (
        "out_of_contact",
        503,
        "this controller hears no majority; nothing was begun, ask another one",
    )
    COMMIT_UNKNOWN = ("unclear", 504, "it may be in force or not; send the very same again")
    NOT_READY = ("starting", 503, "not ready yet")

    def __init__(self, code: str, status: int, description: str) -> None:
        self.code = code
        self.status = status
        self.description = description


class StoreError(OrchidferryError):
    """A controller's store can't be used; the message is one line.

    :ivar problem: what is wrong
    :ivar path: the data directory or file; empty if it is not known
    """

    def __init__(self, problem: str, path: str = "") -> None:
        super().__init__(f"{path}: {problem}" if path else problem)
        self.problem = problem
        self.path = path


@dataclass(frozen=True, slots=True)
class Rejection:
    """The rejection of a request, as it is reported to the caller.

    :param reason: why the request is rejected
    :param detail: what exactly is wrong, in one line; empty if the reason suffices
    """

    reason: RejectionReason
    detail: str = ""

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return self.reason.status

    @property
    def line(self) -> str:
        """The message for the caller, one line."""
        description = self.reason.description
        return f"{description}: {self.detail}" if self.detail else description

"""A node's connection to one controller, and its knowledge of that controller."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from orchidferry.mesh.control.contact import CONTACT_S
from orchidferry.mesh.wire.framing import Link

MAX_CONTACT_REPORT_AGE_S = 1.2  # a controller's older report of its contact with a majority is ignored


class RecordVersion(NamedTuple):
    """The version of a node's record that a controller has.

    :param boot: boot number of the node's process.
    :param number: number of the record.
    """

    boot: int
    number: int


NO_RECORD = RecordVersion(0, -1)


@dataclass(slots=True)
class ControllerConnection:
    """One controller, as a node knows it. Times are in seconds on the event loop's clock.

    :param name: name of the controller.
    :param link: link to the controller; None if there is none.
    :param dialling: whether the controller is being dialled.
    :param warmed_up: whether all live nodes have had enough time to reconnect to the controller.
    :param record_version: version of the node's own record that the controller has.
    :param next_dial_s: earliest time of the next attempt to dial the controller.
    :param next_renewal_s: time of the next renewal of the node's lease.
    :param contact_s: time at which the controller was certainly in contact with a majority of controllers,
        according to its newest report.
    :param reported_s: time at which that report arrived.
    """

    name: str
    link: Link | None = None
    dialling: bool = False
    warmed_up: bool = False
    record_version: RecordVersion = NO_RECORD
    next_dial_s: float = 0.0
    next_renewal_s: float = 0.0
    contact_s: float = -math.inf
    reported_s: float = -math.inf

    @property
    def open_link(self) -> Link | None:
        """The link, if messages can be sent over it; else None."""
        return self.link if self.link is not None and self.link.open else None

    def connected(self, link: Link) -> None:
        """Record that a link to the controller was opened."""
        self.link = link
        self.record_version = NO_RECORD
        self.warmed_up = False

    def disconnected(self) -> None:
        """Record that the link was closed."""
        self.link = None
        self.reported_s = -math.inf

    def report_contact(self, age_ms: int | None, now: float) -> None:
        """Record the controller's report of its contact with a majority.

        :param age_ms: milliseconds since the controller was certainly in contact; None if it never was.
        :param now: current time.
        """
        self.reported_s = now
        self.contact_s = now - age_ms / 1e3 if age_ms is not None else -math.inf

    def in_contact(self, now: float) -> bool:
        """Whether the controller has recently reported that it is in contact with a majority."""
        is_fresh = now - self.reported_s < MAX_CONTACT_REPORT_AGE_S
        return is_fresh and self.reported_s - self.contact_s < CONTACT_S

"""What a node knows of one controller, and its link to it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from orchidferry.mesh.control.contact import CONTACT_S
from orchidferry.mesh.wire.framing import Link

MAX_CONTACT_REPORT_AGE_S = 1.2  # of a controller's report of its contact with the others


class RecordVersion(NamedTuple):
    """Which record of a node a controller has.

    :param boot: of the node's process.
    :param number: of the record.
    """

    boot: int
    number: int


NO_RECORD = RecordVersion(0, -1)


@dataclass(slots=True)
class ControllerConnection:
    """One controller, as a node knows it.

    :param link: None while there is none.
    :param warmed_up: whether all live nodes have had the time to reconnect to it.
    :param record_version: of the node's record that it has.
    :param contact_s: when it was surely in contact with a majority of controllers, by its own report.
    :param reported_s: when that report came.
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
        """The link, if messages can be sent over it."""
        return self.link if self.link is not None and self.link.open else None

    def connected(self, link: Link) -> None:
        """A link to the controller has been opened."""
        self.link = link
        self.record_version = NO_RECORD
        self.warmed_up = False

    def disconnected(self) -> None:
        """The link is closed."""
        self.link = None
        self.reported_s = -math.inf

    def report_contact(self, age_ms: int | None, now: float) -> None:
        """Take a controller's report of its contact with a majority.

        :param age_ms: how long ago it was surely in contact; None for never.
        """
        self.reported_s = now
        self.contact_s = now - age_ms / 1e3 if age_ms is not None else -math.inf

    def in_contact(self, now: float) -> bool:
        """Whether the controller has lately reported that it is in contact with a majority."""
        is_fresh = now - self.reported_s < MAX_CONTACT_REPORT_AGE_S
        return is_fresh and self.reported_s - self.contact_s < CONTACT_S

"""Ages of the records of operation keys, and their forms on disk and on the wire. No I/O.

The age of a record is the time since it was created. A controller may take a record for younger than it is,
so that the record is kept longer, but never for older. Controllers have no common clock: each dates records
by an age clock of its own, and sends the age of a record instead of its date.

An age clock runs with monotonic time and stands still while its process does not run. It counts buckets of
`AGE_BUCKET_S`. Each new bucket is written to disk while there are records. After a restart the clock
continues from the newest one.

On disk, the date of a record is the number of its bucket by the controller's own clock, which is negative. On
the wire, the age of a record is a number below `RELEASED` (see `pack_age`). Numbers from 0 up are from builds
in which controllers adopted the bucket numbers of others. They do not tell the age of a record, which is then
taken to be 0 when the record is loaded or received.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

AGE_BUCKET_S = 20.0
FIRST_BUCKET = -(2**31)  # bucket in which the clock of an empty controller begins; 0 is never reached
RELEASED = -1  # in place of an age on the wire: the row is a release, whose holder never ran
MS_PER_S = 1000.0


def pack_age(age_s: float) -> int:
    """Return the number that stands for an age on the wire; the age is rounded down to milliseconds.

    :param age_s: the age, in seconds; not negative

    >>> pack_age(0.0), pack_age(1.5)
    (-2, -1502)
    """
    return RELEASED - 1 - int(age_s * MS_PER_S)


def unpack_age(number: int) -> float:
    """Return the age that a number on the wire stands for, in seconds; 0 if the number does not tell it.

    >>> unpack_age(-1502), unpack_age(7)
    (1.5, 0.0)
    """
    return max(0.0, (RELEASED - 1 - number) / MS_PER_S)


@dataclass(slots=True)
class AgeClock:
    """The clock by which one controller dates records.

    :param reading_s: the time that the clock shows, in seconds
    :param origin_s: monotonic time at which it would have shown 0, in seconds; None until the time is known
    """

    reading_s: float = field(default=0.0, compare=False)
    origin_s: float | None = None

    @property
    def bucket(self) -> int:
        """The number of the current bucket."""
        return bucket_of(self.reading_s)

    def advance(self, now_s: float) -> None:
        """Advance the clock to a monotonic time, in seconds."""
        if self.origin_s is None:
            self.origin_s = now_s - self.reading_s
        self.reading_s = max(self.reading_s, now_s - self.origin_s)

    def resume(self, stored_bucket: int) -> None:
        """Continue from the start of a bucket that this controller has stored, if that is newer.

        :param stored_bucket: number of the bucket, as read from disk before the clock is advanced
        """
        self.reading_s = max(self.reading_s, end_of_bucket(stored_bucket - 1))


def bucket_of(reading_s: float) -> int:
    """Return the number of the bucket of a clock's reading, in seconds."""
    return FIRST_BUCKET + math.floor(reading_s / AGE_BUCKET_S)


def end_of_bucket(bucket: int) -> float:
    """Return the reading of a clock, in seconds, at which a bucket ends."""
    return (bucket + 1 - FIRST_BUCKET) * AGE_BUCKET_S

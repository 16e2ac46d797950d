"""Writes of the operation keys of one shard to a controller's disk. Performs no I/O.

A write stores the state of a key at the time of the write: its record, or that there is none. A message never
changes the disk by itself, as it may be late and refer to an attempt that no longer holds the key.

Writes are carried out in the order in which they are requested, each completely or not at all. So a record
whose newest change was written is loaded unchanged after a restart. Only a record that was removed may still
be on disk, if its deletion failed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.mesh.control.operation_keys import KeyRecord, OperationKeys
from orchidferry.mesh.storage.environment import KEYS_DB
from orchidferry.mesh.storage.record_format import RecordWrite, pack


@dataclass(frozen=True, slots=True)
class KeyWrite:
    """A write of the state of some operation keys.

    :param puts: the records to write or delete.
    :param changes: number of the written change of each record, by operation key; deleted records have none.
    """

    puts: list[RecordWrite]
    changes: dict[str, int]


@dataclass(slots=True)
class KeyWrites:
    """Knows which records of operation keys are not on disk in their newest form.

    :param keys: the operation keys.
    :param unsaved: keys whose records' newest change has not been confirmed to be on disk.
    """

    keys: OperationKeys
    unsaved: set[str] = field(default_factory=set)

    def request(self, names: Iterable[str]) -> KeyWrite:
        """Return the write that stores the current state of some keys.

        :param names: the keys, each once.
        """
        puts: list[RecordWrite] = []
        changes: dict[str, int] = {}
        for key in names:
            record = self.keys.records.get(key)
            if record is None:
                self.unsaved.discard(key)
                puts.append(deletion_of(key))
            else:
                self.unsaved.add(key)
                changes[key] = self.keys.changes[key]
                puts.append(put_of(key, record))
        return KeyWrite(puts, changes)

    def confirm(self, changes: dict[str, int]) -> None:
        """Handle that changes are on disk; a record that was changed since has a later write of its own."""
        for key, change in changes.items():
            if self.keys.changes.get(key) == change:
                self.unsaved.discard(key)

    def is_saved(self, key: str) -> bool:
        """Return whether a key has a record whose newest change is on disk."""
        return key in self.keys.records and key not in self.unsaved


def put_of(key: str, record: KeyRecord) -> RecordWrite:
    """Return the write of an operation key's record."""
    return KEYS_DB, key.encode("latin-1"), pack(record.packed())


def deletion_of(key: str) -> RecordWrite:
    """Return the write that deletes an operation key's record."""
    return KEYS_DB, key.encode("latin-1"), None

"""The journal of a fleet member: one line of JSON for each change of its view of the fleet."""

from __future__ import annotations

import json
import logging
import logging.handlers
import time
from pathlib import Path
from typing import Any

from orchidferry.balancing.fleet.members import Entry
from orchidferry.node.clock import now_ms

MAX_FILE_BYTES = 8 * 1024 * 1024  # a file that reaches this size is rotated; one older file is kept


def describe(entry: Entry) -> dict[str, Any]:
    """Return the entry of a member as a JSON object, for the journal and the admin server's page."""
    return {
        "name": entry.name,
        "address": f"{entry.host}:{entry.port}",
        "zone": entry.zone,
        "version": entry.version,
        "phase": entry.phase.value,
        "status": entry.status.name.lower(),
        "incarnation": entry.incarnation,
        "life": f"{entry.life:016x}",
        "by": entry.by,
    }


class Journal:
    """A file with one line for each change, with the monotonic and the wall clock; its size is bounded."""

    def __init__(self, path: Path) -> None:
        """Open the journal, or create it.

        :param path: path of the file; the older file has the same path with the suffix ".1".
        :raises OSError: if the file can't be written.
        """
        handler = logging.handlers.RotatingFileHandler(
            path, maxBytes=MAX_FILE_BYTES, backupCount=1, encoding="utf-8"
        )
        handler.setFormatter(logging.Formatter("%(message)s"))
        self._log = logging.Logger("orchidferry.node.fleet.journal")
        self._log.addHandler(handler)
        self._handler = handler

    def put(self, **fields: Any) -> None:
        """Append a line.

        :param fields: its fields beside the times.
        """
        self._log.info(json.dumps({"t_ms": now_ms(), "wall_ms": time.time() * 1000.0} | fields))

    def close(self) -> None:
        """Close the journal's file."""
        self._handler.close()

"""The journal of a fleet's member: one line of JSON for each change of its view."""

from __future__ import annotations

import json
import logging
import logging.handlers
import time
from pathlib import Path
from typing import Any

from orchidferry.balancing.fleet.members import Entry
from orchidferry.node.clock import now_ms

MAX_JOURNAL = 8 * 1024 * 1024  # bytes of a file; one older file is kept


def describe(entry: Entry) -> dict[str, Any]:
    """Return a member's entry as JSON values."""
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
    """A file with one line for each change, with both clocks; its size is bounded."""

    def __init__(self, path: Path) -> None:
        """:raises OSError: if the file can't be written."""
        handler = logging.handlers.RotatingFileHandler(
            path, maxBytes=MAX_JOURNAL, backupCount=1, encoding="utf-8"
        )
        handler.setFormatter(logging.Formatter("%(message)s"))
        self._log = logging.Logger("orchidferry.node.fleet.journal")
        self._log.addHandler(handler)
        self._handler = handler

    def put(self, **fields: Any) -> None:
        """Write a line with these fields."""
        self._log.info(json.dumps({"t_ms": now_ms(), "wall_ms": time.time() * 1000.0} | fields))

    def close(self) -> None:
        """Close the file."""
        self._handler.close()

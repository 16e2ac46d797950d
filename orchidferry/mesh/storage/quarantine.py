"""The quarantine: a directory to which a damaged store is moved.

The presence of the directory also records that this controller has lost its state: it must not act as a
founder again.
"""

from __future__ import annotations

import os

from loguru import logger

from orchidferry.mesh.storage.environment import STORE_FILE, sync_directory

QUARANTINE_DIRECTORY = "bad"  # subdirectory of the data directory
REASON_FILE = "why"  # file in the quarantine that says why the store was moved there
MAX_QUARANTINE_BYTES = 64_000_000  # a larger store is deleted instead of kept


def has_lost_state(directory: str) -> bool:
    """Return whether a store was quarantined, so that the controller must not act as a founder.

    This overrides the controller's settings.

    :param directory: the controller's data directory
    """
    return os.path.isdir(os.path.join(directory, QUARANTINE_DIRECTORY))


def quarantine_store(directory: str, reason: str) -> None:
    """Move a store to the quarantine, which keeps only the latest store, and no store that is too large.

    :param directory: the controller's data directory
    :param reason: what is wrong with the store, in one line
    :raises OSError: if a file can't be written, moved or synced
    """
    quarantine = os.path.join(directory, QUARANTINE_DIRECTORY)
    os.makedirs(quarantine, exist_ok=True)
    with open(os.path.join(quarantine, REASON_FILE), "w", encoding="utf-8") as reason_file:
        reason_file.write(reason + "\n")
    sync_directory(directory)  # the quarantine must be durable before the store is moved
    kept = os.path.join(quarantine, STORE_FILE)
    os.replace(os.path.join(directory, STORE_FILE), kept)
    if os.stat(kept).st_size > MAX_QUARANTINE_BYTES:
        os.remove(kept)
    sync_directory(quarantine)
    sync_directory(directory)
    logger.error("store: {}: {}; moved to quarantine, this controller has lost its state", directory, reason)


def quarantined_bytes(directory: str) -> int:
    """Return the size in bytes of the store in the quarantine; 0 if there is none.

    :param directory: the controller's data directory
    """
    kept = os.path.join(directory, QUARANTINE_DIRECTORY, STORE_FILE)
    return os.stat(kept).st_size if os.path.exists(kept) else 0

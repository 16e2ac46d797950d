"""The names under which operation keys and their holders are claimed and stored. Performs no I/O.

The `Operation-Key` of a request may be nearly as long as its head, but the key of a record on disk may not.
So a long operation key is named by its digest, and any other by itself. The name of a digest begins with a
character that no header value contains, so it is never the name of another operation key.

>>> key_name(b"k-5512"), len(key_name(b"k" * 600))
('k-5512', 72)
"""

from __future__ import annotations

import hashlib

MAX_NAME_BYTES = 511  # the length limit of a record's key on disk, which is LMDB's
DIGEST_PREFIX = "\0sha256:"


def key_name(operation_key: bytes) -> str:
    """Return the name of an operation key.

    :param operation_key: the value of the `Operation-Key` header, not empty.
    """
    if len(operation_key) > MAX_NAME_BYTES:
        return DIGEST_PREFIX + hashlib.sha256(operation_key).hexdigest()
    return operation_key.decode("latin-1")


def holder_name(attempt_id: str) -> str:
    """Return the name of an attempt as the holder of operation keys, which is as short as that of a key.

    :param attempt_id: the value of the `Attempt-Id` header.
    """
    return key_name(attempt_id.encode("latin-1"))


def is_storable(name: str) -> bool:
    """Return whether a name from another process can be the key of a record on disk.

    Earlier builds send long and empty operation keys as they are; they can't have granted any of these.
    """
    if not 0 < len(name) <= MAX_NAME_BYTES:
        return False
    return name.isascii() or max(name) <= "\xff"

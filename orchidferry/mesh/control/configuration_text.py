"""A configuration's text as it is kept and passed on: compressed once, when it is taken, expanded by readers.

The text is the operator's very bytes; replicas, stores, snapshots and relays handle the compressed form only.
Stores of earlier builds hold text as it came. The two differ in their first byte: that of a zlib stream with
a window of 32 KiB is 0x78, an "x", and no JSON text begins so, in any encoding that `json.loads` takes.
"""

from __future__ import annotations

import zlib

from orchidferry.mesh.control.control_api import CONTROL_BODY

LEVEL = 6
MAX_TEXT = CONTROL_BODY  # bytes of an expanded text; no operator could have sent more
_ZLIB = b"\x78"


def compress(text: bytes) -> bytes:
    """The form that is kept.

    >>> expand(compress(b"{}"))
    b'{}'
    """
    return zlib.compress(text, LEVEL)


def expand(kept: bytes) -> bytes:
    """The operator's bytes; `ValueError` for what is damaged or would grow beyond `MAX_TEXT`.

    >>> expand(b'{"of": "an earlier build"}')
    b'{"of": "an earlier build"}'
    """
    if not kept.startswith(_ZLIB):
        return kept
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(kept, MAX_TEXT + 1)
    except zlib.error as problem:
        raise ValueError(f"configuration: its text is damaged: {problem}") from None
    if len(text) > MAX_TEXT:
        raise ValueError(f"configuration: its text has more than {MAX_TEXT} bytes")
    if not stream.eof or stream.unused_data:
        raise ValueError("configuration: its text is not whole")
    return text

"""The stored form of a configuration's text, which is compressed once on arrival and expanded by its readers.

The text is the exact bytes that the operator sent; replicas, stores, snapshots and relays handle only the
compressed form. Stores written by earlier builds contain uncompressed text. The first byte distinguishes the
two forms: a zlib stream (RFC 1950) with a window of 32 KiB begins with 0x78, an "x", and no JSON text begins
with that byte in any encoding that `json.loads` accepts.
"""

from __future__ import annotations

import zlib

from orchidferry.mesh.control.control_api import MAX_BODY_BYTES

COMPRESSION_LEVEL = 6
MAX_TEXT_BYTES = MAX_BODY_BYTES  # maximum size of an expanded text; operators can't send more
ZLIB_PREFIX = b"\x78"


def compress(text: bytes) -> bytes:
    """Return the stored form of a text.

    >>> expand(compress(b"{}"))
    b'{}'
    """
    return zlib.compress(text, COMPRESSION_LEVEL)


def expand(stored: bytes) -> bytes:
    """Return the text as the operator sent it.

    :param stored: compressed text, or uncompressed text stored by an earlier build.
    :raises ValueError: if the stored text is damaged or would expand to more than `MAX_TEXT_BYTES`.

    >>> expand(b'{"of": "an earlier build"}')
    b'{"of": "an earlier build"}'
    """
    if not stored.startswith(ZLIB_PREFIX):
        return stored
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(stored, MAX_TEXT_BYTES + 1)
    except zlib.error as problem:
        raise ValueError(f"configuration: text is damaged: {problem}") from None
    if len(text) > MAX_TEXT_BYTES:
        raise ValueError(f"configuration: text has more than {MAX_TEXT_BYTES} bytes")
    if not stream.eof or stream.unused_data:
        raise ValueError("configuration: text is truncated or followed by other data")
    return text

"""The stored form of a configuration's text: compressed once, when it is taken, and expanded by its readers.

The text is the operator's very bytes; replicas, stores, snapshots and relays handle the compressed form only.
Stores of earlier builds hold text as it came. The two differ in their first byte: that of a zlib stream
(RFC 1950) with a window of 32 KiB is 0x78, an "x", and no JSON text begins so, in any encoding that
`json.loads` takes.
"""

from __future__ import annotations

import zlib

from orchidferry.mesh.control.control_api import MAX_BODY_BYTES

COMPRESSION_LEVEL = 6
MAX_TEXT_BYTES = MAX_BODY_BYTES  # of an expanded text; no operator could have sent more
ZLIB_PREFIX = b"\x78"


def compress(text: bytes) -> bytes:
    """The stored form of a text.

    >>> expand(compress(b"{}"))
    b'{}'
    """
    return zlib.compress(text, COMPRESSION_LEVEL)


def expand(stored: bytes) -> bytes:
    """The operator's bytes.

    :param stored: compressed, or a text as an earlier build stored it.
    :raises ValueError: for what is damaged or would grow beyond `MAX_TEXT_BYTES`.

    >>> expand(b'{"of": "an earlier build"}')
    b'{"of": "an earlier build"}'
    """
    if not stored.startswith(ZLIB_PREFIX):
        return stored
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(stored, MAX_TEXT_BYTES + 1)
    except zlib.error as problem:
        raise ValueError(f"configuration: its text is damaged: {problem}") from None
    if len(text) > MAX_TEXT_BYTES:
        raise ValueError(f"configuration: its text has more than {MAX_TEXT_BYTES} bytes")
    if not stream.eof or stream.unused_data:
        raise ValueError("configuration: its text is not complete")
    return text

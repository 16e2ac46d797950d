"""Messages between nodes as bytes: msgpack within a keyed BLAKE2b tag.

Formats only add fields. A message says which format its sender writes (`v`) and the least that can read it
(`l`); fields of an entry that this program does not know are handed on as they came, those that an older one
leaves out have their defaults. Whatever is not whole, not known or not proven is `DatagramError`, and changes
nothing.
"""

from __future__ import annotations

import functools
import hashlib
import hmac
from collections.abc import Generator
from typing import Any

import msgpack

from orchidferry.balancing.fleet.members import Entry, Phase, Status, problem_of
from orchidferry.balancing.fleet.messages import Kind, Message
from orchidferry.errors import OrchidferryError
from orchidferry.node.incremental import run_to_completion
from orchidferry.node.shared_keys import Keys

# that this program writes; of one that can read it
FORMAT = 1
LEAST = 1
MAGIC = b"\xf5\x0f"
# bytes that name the key, and of the tag: forging one takes 2^127 tries
KEY_ID = 4
TAG = 16
HEAD = len(MAGIC) + KEY_ID + TAG
MAX_DATAGRAM = 1_400
STEP = 64  # entries that are read in one go: under 1 ms
PERSON = b"fleet"  # what the tag is for: the keys may serve elsewhere too

FIELDS: dict[str, tuple[str, type]] = {
    "n": ("name", str),
    "h": ("host", str),
    "p": ("port", int),
    "l": ("life", int),
    "i": ("incarnation", int),
    "s": ("status", int),
    "f": ("phase", str),
    "z": ("zone", str),
    "v": ("version", str),
    "b": ("by", str),
}
NEEDED = ("n", "h", "p", "l")
PHASES = {phase.value: phase for phase in Phase}
KINDS = {kind.value: kind for kind in Kind}


class DatagramError(OrchidferryError):
    """What came can't be used. `kind` counts it: foreign, forged, garbled, later."""

    def __init__(self, kind: str, why: str) -> None:
        super().__init__(why)
        self.kind = kind


class Sealer:
    """The keys: what goes out is tagged with one, what comes in is believed by each."""

    def __init__(self, keys: Keys) -> None:
        self.names = [name for name, _ in keys]
        self._keys: dict[bytes, bytes] = {}
        for name, secret in keys:
            id_ = hashlib.blake2b(name.encode(), digest_size=KEY_ID).digest()
            self._keys[id_] = hashlib.blake2b(secret, person=PERSON).digest()
        self.first = next(iter(self._keys))  # the id of the key that signs

    def seal(self, body: bytes, key: bytes | None = None) -> bytes:
        """With the first key, or with that one where it is still valid."""
        id_ = key if key is not None and key in self._keys else self.first
        return MAGIC + id_ + self._tag(id_, body) + body

    def open(self, data: bytes) -> tuple[bytes, bytes]:
        """The body, and which key it came with; `DatagramError` if it is not proven."""
        if len(data) <= HEAD or not data.startswith(MAGIC):
            raise DatagramError("foreign", "is no message of a fleet")
        id_ = data[len(MAGIC) : len(MAGIC) + KEY_ID]
        tag = data[len(MAGIC) + KEY_ID : HEAD]
        body = data[HEAD:]
        if id_ not in self._keys:
            raise DatagramError("forged", "is tagged with a key that is not known here")
        if not hmac.compare_digest(tag, self._tag(id_, body)):
            raise DatagramError("forged", "does not fit its tag")
        return body, id_

    def _tag(self, id_: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=TAG, key=self._keys[id_], person=PERSON).digest()


@functools.lru_cache(maxsize=4096)
def entry_bytes(entry: Entry) -> bytes:
    """An entry is written often, and seldom anew."""
    found: dict[str, Any] = {"n": entry.name, "h": entry.host, "p": entry.port, "l": entry.life}
    if entry.incarnation:
        found["i"] = entry.incarnation
    if entry.status:
        found["s"] = int(entry.status)
    found["f"] = entry.phase.value
    for key, text in (("z", entry.zone), ("v", entry.version), ("b", entry.by)):
        if text:
            found[key] = text
    if entry.unknown_fields:
        found |= msgpack.unpackb(entry.unknown_fields)
    return bytes(msgpack.packb(found))


def encode(message: Message) -> bytes:
    """A message's body."""
    pack = msgpack.packb
    parts = [
        b"",
        pack("v"),
        pack(FORMAT),
        pack("l"),
        pack(LEAST),
        pack("k"),
        pack(message.kind.value),
        pack("s"),
        entry_bytes(message.sender),
        pack("t"),
        pack(message.to_life),
        pack("n"),
        pack(message.serial),
    ]
    count = 6
    if message.number:
        parts += [pack("p"), pack(message.number)]
        count += 1
    if message.target is not None:
        parts += [pack("g"), entry_bytes(message.target)]
        count += 1
    if message.updates:
        parts += [pack("w"), msgpack.Packer().pack_array_header(len(message.updates))]
        parts += [entry_bytes(entry) for entry in message.updates]
        count += 1
    parts[0] = msgpack.Packer().pack_map_header(count)
    return b"".join(parts)


def decode(body: bytes) -> Message:
    """A message from its body, at once; `DatagramError` if it is none that can be meant."""
    return run_to_completion(decode_in_steps(body))


def decode_in_steps(body: bytes) -> Generator[None, None, Message]:
    """The same in steps of `STEP` entries, so that requests come between: a view of 1,000 takes some 10
    ms.
    """
    try:
        obj = msgpack.unpackb(body, strict_map_key=True)
    except Exception as problem:  # the library's own kinds, and what its checks raise
        raise DatagramError("garbled", f"can't be read: {type(problem).__name__}") from None
    if not isinstance(obj, dict):
        raise DatagramError("garbled", "is no map")
    if _whole(obj, "l", 1) > FORMAT:
        raise DatagramError("later", f"needs format {obj['l']}, and this program reads {FORMAT}")
    kind = obj.get("k")
    if not isinstance(kind, str) or kind not in KINDS:
        raise DatagramError("garbled" if "k" not in obj else "later", f"is of a kind not known: {kind!r:.40}")
    news = obj.get("w", ())
    if not isinstance(news, list | tuple):
        raise DatagramError("garbled", "w: is no list")
    target = obj.get("g")
    found = []
    for n, one in enumerate(news, 1):
        found.append(read_entry(one))
        if n % STEP == 0:
            yield
    return Message(
        KINDS[kind],
        read_entry(obj.get("s")),
        _whole(obj, "t"),
        _whole(obj, "n"),
        _whole(obj, "p"),
        read_entry(target) if target is not None else None,
        tuple(found),
    )


def _whole(obj: dict[str, Any], key: str, default: int = 0) -> int:
    value = obj.get(key, default)
    if type(value) is not int or not 0 <= value < 2**64:
        raise DatagramError("garbled", f"{key}: {value!r:.40} is no whole number")
    return value


def read_entry(obj: object) -> Entry:
    """An entry from its map; `DatagramError` if it can't be meant."""
    if not isinstance(obj, dict):
        raise DatagramError("garbled", "an entry is no map")
    values: dict[str, Any] = {}
    for key, (name, kind) in FIELDS.items():
        if key in obj:
            if type(obj[key]) is not kind:
                raise DatagramError("garbled", f"{name}: {obj[key]!r:.40} is no {kind.__name__}")
            values[name] = obj[key]
        elif key in NEEDED:
            raise DatagramError("garbled", f"{name}: is missing")
    if len(obj) > len(values):
        unknown = {key: value for key, value in obj.items() if key not in FIELDS}
        values["unknown_fields"] = bytes(msgpack.packb(unknown))
    if not 0 <= (status := values.get("status", 0)) <= Status.LEFT:
        raise DatagramError("garbled", f"status: {status} is none")
    values["status"] = Status(status)
    # A phase that a later program knows is none in which this one would send it work.
    values["phase"] = PHASES.get(values.get("phase", ""), Phase.STARTING)
    entry = Entry(**values)
    if problem := problem_of(entry):
        raise DatagramError("garbled", problem)
    return entry

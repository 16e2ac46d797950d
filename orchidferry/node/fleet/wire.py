"""Messages between nodes as bytes: msgpack within a keyed BLAKE2b tag.

Later formats only add fields. A message has the format of its sender (`v`) and the oldest one that can read
it (`l`). Fields of an entry that this program does not know are passed on as they came; those that an older
one omits have their defaults. A message that is incomplete, unknown or not authentic raises `DatagramError`,
and changes nothing.
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

FORMAT = 1  # that this program writes
MIN_READABLE_FORMAT = 1  # the oldest format that can read it
MAGIC = b"\xf5\x0f"
KEY_ID_BYTES = 4  # of a hash of the key's name
TAG_BYTES = 16  # forging one takes 2^127 attempts
HEADER_BYTES = len(MAGIC) + KEY_ID_BYTES + TAG_BYTES
MAX_DATAGRAM_BYTES = 1_400  # bytes
ENTRIES_PER_STEP = 64  # entries that are decoded in one go: under 1 ms
PERSON = b"fleet"  # personalization of the hash, as the keys may be used elsewhere too

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
REQUIRED = ("n", "h", "p", "l")
PHASES = {phase.value: phase for phase in Phase}
KINDS = {kind.value: kind for kind in Kind}


class DatagramError(OrchidferryError):
    """A message that can't be used; `kind` is foreign, forged, garbled, later or flood."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class Sealer:
    """Authenticates messages: one key signs, tags made with any of them are accepted."""

    def __init__(self, keys: Keys) -> None:
        self.names = [name for name, _ in keys]
        self._keys: dict[bytes, bytes] = {}
        for name, secret in keys:
            key_id = hashlib.blake2b(name.encode(), digest_size=KEY_ID_BYTES).digest()
            self._keys[key_id] = hashlib.blake2b(secret, person=PERSON).digest()
        self.first = next(iter(self._keys))  # id of the key that signs

    def seal(self, body: bytes, key: bytes | None = None) -> bytes:
        """Return a body with its tag.

        :param key: id of the key to use if it is still valid; else the first key is used.
        """
        key_id = key if key is not None and key in self._keys else self.first
        return MAGIC + key_id + self._tag(key_id, body) + body

    def open(self, data: bytes) -> tuple[bytes, bytes]:
        """Check a message.

        :returns: its body, and the id of its key.
        :raises DatagramError: if it is not authentic.
        """
        if len(data) <= HEADER_BYTES or not data.startswith(MAGIC):
            raise DatagramError("foreign", "is no message of a fleet")
        key_id = data[len(MAGIC) : len(MAGIC) + KEY_ID_BYTES]
        tag = data[len(MAGIC) + KEY_ID_BYTES : HEADER_BYTES]
        body = data[HEADER_BYTES:]
        if key_id not in self._keys:
            raise DatagramError("forged", "is tagged with a key that is not known here")
        if not hmac.compare_digest(tag, self._tag(key_id, body)):
            raise DatagramError("forged", "does not fit its tag")
        return body, key_id

    def _tag(self, key_id: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=TAG_BYTES, key=self._keys[key_id], person=PERSON).digest()


@functools.lru_cache(maxsize=4096)
def entry_bytes(entry: Entry) -> bytes:
    """Return an entry as bytes; cached, as an entry is sent often and changes rarely."""
    fields: dict[str, Any] = {"n": entry.name, "h": entry.host, "p": entry.port, "l": entry.life}
    if entry.incarnation:
        fields["i"] = entry.incarnation
    if entry.status:
        fields["s"] = int(entry.status)
    fields["f"] = entry.phase.value
    for key, text in (("z", entry.zone), ("v", entry.version), ("b", entry.by)):
        if text:
            fields[key] = text
    if entry.unknown_fields:
        fields |= msgpack.unpackb(entry.unknown_fields)
    return bytes(msgpack.packb(fields))


def encode(message: Message) -> bytes:
    """Return a message's body."""
    pack = msgpack.packb
    parts = [
        b"",
        pack("v"),
        pack(FORMAT),
        pack("l"),
        pack(MIN_READABLE_FORMAT),
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
    """Return the message in a body.

    :raises DatagramError: if there is none.
    """
    return run_to_completion(decode_stepwise(body))


def decode_stepwise(body: bytes) -> Generator[None, None, Message]:
    """Like `decode`, in steps of `ENTRIES_PER_STEP` entries: a state of 1,000 takes some 10 ms."""
    try:
        obj = msgpack.unpackb(body, strict_map_key=True)
    except Exception as problem:  # the library's own kinds, and what its checks raise
        raise DatagramError("garbled", f"can't be read: {type(problem).__name__}") from None
    if not isinstance(obj, dict):
        raise DatagramError("garbled", "is no map")
    if _integer(obj, "l", 1) > FORMAT:
        raise DatagramError("later", f"needs format {obj['l']}, and this program reads {FORMAT}")
    kind = obj.get("k")
    if not isinstance(kind, str) or kind not in KINDS:
        raise DatagramError("garbled" if "k" not in obj else "later", f"is of a kind not known: {kind!r:.40}")
    updates = obj.get("w", ())
    if not isinstance(updates, list | tuple):
        raise DatagramError("garbled", "w: is no list")
    target = obj.get("g")
    entries = []
    for n, item in enumerate(updates, 1):
        entries.append(read_entry(item))
        if n % ENTRIES_PER_STEP == 0:
            yield
    return Message(
        KINDS[kind],
        read_entry(obj.get("s")),
        _integer(obj, "t"),
        _integer(obj, "n"),
        _integer(obj, "p"),
        read_entry(target) if target is not None else None,
        tuple(entries),
    )


def _integer(obj: dict[str, Any], key: str, default: int = 0) -> int:
    value = obj.get(key, default)
    if type(value) is not int or not 0 <= value < 2**64:
        raise DatagramError("garbled", f"{key}: {value!r:.40} is no whole number")
    return value


def read_entry(obj: object) -> Entry:
    """Return the entry in a map.

    :raises DatagramError: if there is none.
    """
    if not isinstance(obj, dict):
        raise DatagramError("garbled", "an entry is no map")
    values: dict[str, Any] = {}
    for key, (name, kind) in FIELDS.items():
        if key in obj:
            if type(obj[key]) is not kind:
                raise DatagramError("garbled", f"{name}: {obj[key]!r:.40} is no {kind.__name__}")
            values[name] = obj[key]
        elif key in REQUIRED:
            raise DatagramError("garbled", f"{name}: is missing")
    if len(obj) > len(values):
        unknown = {key: value for key, value in obj.items() if key not in FIELDS}
        values["unknown_fields"] = bytes(msgpack.packb(unknown))
    if not 0 <= (status := values.get("status", 0)) <= Status.LEFT:
        raise DatagramError("garbled", f"status: {status} is none")
    values["status"] = Status(status)
    # To a member in a phase that only a later program knows nothing is sent.
    values["phase"] = PHASES.get(values.get("phase", ""), Phase.STARTING)
    entry = Entry(**values)
    if problem := problem_of(entry):
        raise DatagramError("garbled", problem)
    return entry

"""The encoding of messages between nodes: MessagePack, authenticated by a keyed BLAKE2b tag.

Later formats only add fields. A message names the format of its sender (`v`) and the oldest format that can
read it (`l`). Fields of an entry that this program does not know are forwarded unchanged; fields that an
older program omits get their defaults. A message that is incomplete, unknown or not authentic raises
`DatagramError` and has no effect.
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

FORMAT = 1  # format of the messages that this program writes
MIN_READABLE_FORMAT = 1  # the oldest format that can read these messages
MAGIC = b"\xf5\x0f"  # the first bytes of each message
KEY_ID_BYTES = 4  # a key is identified by a hash of its name, of this size
TAG_BYTES = 16  # forging a tag of this size takes 2^127 attempts on average
HEADER_BYTES = len(MAGIC) + KEY_ID_BYTES + TAG_BYTES
MAX_DATAGRAM_BYTES = 1_400  # largest datagram
ENTRIES_PER_STEP = 64  # entries that are decoded in one step, which takes less than 1 ms
HASH_PERSONALIZATION = b"fleet"  # separates these tags from other uses of the same keys

# The keys of an entry's map in a message, with the name and the type of the field of `Entry`.
FIELD_BY_KEY: dict[str, tuple[str, type]] = {
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
REQUIRED_KEYS = ("n", "h", "p", "l")
PHASE_BY_VALUE = {phase.value: phase for phase in Phase}
KIND_BY_VALUE = {kind.value: kind for kind in Kind}


class DatagramError(OrchidferryError):
    """A message can't be used; the text is one line.

    :ivar kind: `foreign` (not a message of a fleet), `forged` (not authentic), `garbled` (malformed), `later`
        (of a later format) or `flood` (over the rate limit)
    """

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class Sealer:
    """Authenticates messages: the first key signs, the tags of all keys are accepted.

    :ivar names: names of the keys
    :ivar first: id of the key that signs
    """

    def __init__(self, keys: Keys) -> None:
        self.names = [name for name, _ in keys]
        self._keys: dict[bytes, bytes] = {}
        for name, secret in keys:
            key_id = hashlib.blake2b(name.encode(), digest_size=KEY_ID_BYTES).digest()
            self._keys[key_id] = hashlib.blake2b(secret, person=HASH_PERSONALIZATION).digest()
        self.first = next(iter(self._keys))

    def seal(self, body: bytes, key: bytes | None = None) -> bytes:
        """Return a message: a body with the header that authenticates it.

        :param body: the body.
        :param key: id of the key to sign with; the first key is used if there is no such key.
        """
        key_id = key if key is not None and key in self._keys else self.first
        return MAGIC + key_id + self._tag(key_id, body) + body

    def open(self, data: bytes) -> tuple[bytes, bytes]:
        """Verify a message.

        :param data: the message, as `seal` returns it.
        :returns: the body of the message, and the id of the key that signed it.
        :raises DatagramError: if the message is not authentic.
        """
        if len(data) <= HEADER_BYTES or not data.startswith(MAGIC):
            raise DatagramError("foreign", "not a fleet message")
        key_id = data[len(MAGIC) : len(MAGIC) + KEY_ID_BYTES]
        tag = data[len(MAGIC) + KEY_ID_BYTES : HEADER_BYTES]
        body = data[HEADER_BYTES:]
        if key_id not in self._keys:
            raise DatagramError("forged", "signed with an unknown key")
        if not hmac.compare_digest(tag, self._tag(key_id, body)):
            raise DatagramError("forged", "the tag does not match the message")
        return body, key_id

    def _tag(self, key_id: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, digest_size=TAG_BYTES, key=self._keys[key_id], person=HASH_PERSONALIZATION
        ).digest()


@functools.lru_cache(maxsize=4096)
def entry_bytes(entry: Entry) -> bytes:
    """Encode an entry; the result is cached, as an entry is sent often and changes rarely."""
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
    """Return the body of a message, without the header that authenticates it."""
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
    """Decode the body of a message.

    :raises DatagramError: if the body is malformed or of a format that this program can't read.
    """
    return run_to_completion(decode_stepwise(body))


def decode_stepwise(body: bytes) -> Generator[None, None, Message]:
    """Decode like `decode`, in steps of `ENTRIES_PER_STEP` entries: a state of 1,000 takes about 10 ms."""
    try:
        obj = msgpack.unpackb(body, strict_map_key=True)
    except Exception as problem:  # msgpack raises many types of exceptions, both its own and built-in ones
        raise DatagramError("garbled", f"can't be decoded: {type(problem).__name__}") from None
    if not isinstance(obj, dict):
        raise DatagramError("garbled", "not a map")
    if _integer(obj, "l", 1) > FORMAT:
        raise DatagramError("later", f"format {obj['l']} is needed, but this program reads format {FORMAT}")
    kind = obj.get("k")
    if not isinstance(kind, str) or kind not in KIND_BY_VALUE:
        raise DatagramError("garbled" if "k" not in obj else "later", f"unknown kind {kind!r:.40}")
    updates = obj.get("w", ())
    if not isinstance(updates, list | tuple):
        raise DatagramError("garbled", "w is not a list")
    target = obj.get("g")
    entries = []
    for n, item in enumerate(updates, 1):
        entries.append(read_entry(item))
        if n % ENTRIES_PER_STEP == 0:
            yield
    return Message(
        KIND_BY_VALUE[kind],
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
        raise DatagramError("garbled", f"{key} is {value!r:.40}, not an unsigned 64-bit integer")
    return value


def read_entry(obj: object) -> Entry:
    """Decode an entry.

    :param obj: the map that encodes the entry.
    :raises DatagramError: if the entry is malformed.
    """
    if not isinstance(obj, dict):
        raise DatagramError("garbled", "an entry is not a map")
    values: dict[str, Any] = {}
    for key, (name, field_type) in FIELD_BY_KEY.items():
        if key in obj:
            if type(obj[key]) is not field_type:
                raise DatagramError(
                    "garbled", f"{name} of an entry is {obj[key]!r:.40}, not of type {field_type.__name__}"
                )
            values[name] = obj[key]
        elif key in REQUIRED_KEYS:
            raise DatagramError("garbled", f"{name} of an entry is missing")
    if len(obj) > len(values):
        unknown = {key: value for key, value in obj.items() if key not in FIELD_BY_KEY}
        values["unknown_fields"] = bytes(msgpack.packb(unknown))
    if not 0 <= (status := values.get("status", 0)) <= Status.LEFT:
        raise DatagramError("garbled", f"unknown status {status} of an entry")
    values["status"] = Status(status)
    # A phase that only a later program knows is read as STARTING: such a member must not be sent requests.
    values["phase"] = PHASE_BY_VALUE.get(values.get("phase", ""), Phase.STARTING)
    entry = Entry(**values)
    if problem := problem_of(entry):
        raise DatagramError("garbled", problem)
    return entry
